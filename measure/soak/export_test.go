package soak

import (
	"bufio"
	"cmp"
	"net/http"
	"strings"
	"time"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/platform/standin"
)

// Schedule draws the steps of a run.
func Schedule(seed uint64, length time.Duration, play Play) []Step {
	return newSchedule(seed, length, play)
}

// LongEvents returns how many events answer a request that told so many tokens.
func LongEvents(id string, tokens int) int { return longEvents(id, tokens) }

// LongTokens is the most that callers tell.
const LongTokens = longTokens

// CutAnswer is an answer that broke off around a stop at a start.
type CutAnswer struct {
	Path           string
	Gate           int
	Sent, Ended    time.Duration
	Whole, GaveUp  bool
	TroubleGate    int
	Trouble, Until time.Duration
}

// JudgeCut judges one answer against a stop of gate 0 at the start and further
// ones, and returns how many promises it breaks and how many cuts are excused.
// Each stopped process is gone after 4.6 s. There is no trouble where Until is 0.
func JudgeCut(c CutAnswer, again ...time.Duration) (broken, excused int) {
	const takes = 4600 * time.Millisecond
	start := time.Now()
	r := &record{stops: []plannedStop{{gate: 0, signaledAt: start, exitedAt: start.Add(takes)}}}
	for _, d := range again {
		r.stops = append(r.stops, plannedStop{gate: 0, signaledAt: start.Add(d), exitedAt: start.Add(d + takes)})
	}
	if c.Until != 0 {
		r.disturbances = append(r.disturbances, disturbance{gate: c.TroubleGate, from: start.Add(c.Trouble), until: start.Add(c.Until)})
	}
	r.judgeStop(request{gate: c.Gate, id: "a", path: c.Path, sent: start.Add(c.Sent), ended: start.Add(c.Ended), complete: c.Whole, gaveUp: c.GaveUp})
	return len(r.violations), r.excused
}

// EveryGate is a trouble that reaches all gates.
const EveryGate = everyGate

// ReadMessage reads an answer as a caller on a plain socket does.
func ReadMessage(answer, by string) (body string, end framing.Completeness, fault string) {
	m := readMessage(bufio.NewReader(strings.NewReader(answer)), proto(by))
	return string(m.body), m.ending, m.fault
}

// WantOf returns the whole answer to request a of a path.
func WantOf(path string) string { return request{id: "a", path: path}.wantBody() }

// EndedAnswer is an answer with status 200 to request a, 100 ms after it was sent if Took is
// 0, and the one run of it. There is no trouble where Until is 0.
type EndedAnswer struct {
	Path, By string
	// Body is what came, and Sent how much the engine sent: all if they are zero.
	Body        string
	Sent        int
	End, Ran    framing.Completeness
	Unsigned    bool
	Fault       string
	Took        time.Duration
	Trouble     Kind
	From, Until time.Duration
	// Late is true where the trouble is that a gate was killed that did not stop in time.
	Late bool
	// Before is how an earlier run was framed that broke off, "" if there was none.
	Before framing.Framing
}

// JudgeEnd returns the promises that the end of an answer breaks.
func JudgeEnd(c EndedAnswer) []string {
	start := time.Now()
	a := request{id: "a", path: cmp.Or(c.Path, "/unsafe/x"), proto: proto(cmp.Or(c.By, "HTTP/1.1")), sent: start, status: http.StatusOK, ending: c.End, signature: "sig-a", fault: c.Fault}
	a.body = cmp.Or(c.Body, a.wantBody())
	a = a.finish()
	a.ended = start.Add(cmp.Or(c.Took, 100*time.Millisecond))
	if c.Unsigned {
		a.signature = ""
	}
	r := &record{}
	if c.Until != 0 {
		note := r.addDisturbance
		if c.Late {
			note = r.addLateKill
		}
		note(disturbance{kind: c.Trouble, gate: everyGate, from: start.Add(c.From), until: start.Add(c.Until)})
	}
	runs := []*standin.Run{{ArrivedAt: start, Ended: c.Ran, Sent: cmp.Or(c.Sent, len(a.wantBody()))}}
	if c.Before != "" {
		runs = append(runs, &standin.Run{ArrivedAt: start.Add(-time.Millisecond), Framed: c.Before, Ended: framing.Incomplete})
	}
	r.judgeCompleteness(a, runs)
	return r.violations
}

// BreakWays are the ways in which engines break.
var BreakVariants = breakVariants
