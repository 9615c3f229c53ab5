package soak

import (
	"bufio"
	"cmp"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/internal/proxy"
	"github.com/weldfall/weldfall/platform/standin"
)

// Schedule draws the steps of a run.
func Schedule(seed uint64, length time.Duration, play Play) []Step {
	return newSchedule(seed, length, play)
}

// LongEvents returns the number of events of the response to a request that states the
// given number of tokens.
func LongEvents(id string, tokens int) int { return longEvents(id, tokens) }

// LongTokens is the maximum that requests state.
const LongTokens = longTokens

// BrokenResponse is a response that broke around a stop at time 0.
type BrokenResponse struct {
	Path           string
	Gate           int
	Sent, Ended    time.Duration
	Whole, GaveUp  bool
	TroubleGate    int
	Trouble, Until time.Duration
}

// JudgeBrokenResponse checks one response against a stop of gate 0 at time 0 and further
// stops, and returns the number of violations and of excused responses. Each stopped
// process exits after 4.6 s. There is no disturbance if Until is 0.
func JudgeBrokenResponse(c BrokenResponse, again ...time.Duration) (broken, excused int) {
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

// EveryGate marks a disturbance that affects all gates.
const EveryGate = everyGate

// ReadMessage reads a response as a caller on a TCP connection does.
func ReadMessage(answer, by string) (body string, end framing.Completeness, fault string) {
	m := readMessage(bufio.NewReader(strings.NewReader(answer)), proto(by))
	return string(m.body), m.ending, m.fault
}

// WantBody returns the complete body of the response to request a for a path.
func WantBody(path string) string { return request{id: "a", path: path}.wantBody() }

// EndedResponse is a response with status 200 to request a, which ended 100 ms after the
// request was sent if Took is 0, and the single run of the request. There is no disturbance
// if Until is 0.
type EndedResponse struct {
	Path, By string
	// Body is the received body, and Sent the number of bytes that the engine sent; zero
	// values stand for the complete response.
	Body        string
	Sent        int
	End, Ran    framing.Completeness
	Unsigned    bool
	Fault       string
	Took        time.Duration
	Trouble     Kind
	From, Until time.Duration
	// Late is true if the disturbance is the kill of a gate that did not stop in time.
	Late bool
	// Before is the framing of an earlier, broken run, "" if there was none.
	Before framing.Framing
	// LateRun is true if another engine received the request later and sent nothing.
	LateRun bool
}

// JudgeCompleteness returns the violations by the end of a response.
func JudgeCompleteness(c EndedResponse) []string {
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
	if c.LateRun {
		runs = append(runs, &standin.Run{ArrivedAt: start.Add(time.Millisecond)})
	}
	if c.Before != "" {
		runs = append(runs, &standin.Run{ArrivedAt: start.Add(-time.Millisecond), Framed: c.Before, Ended: framing.Incomplete})
	}
	r.judgeCompleteness(a, runs)
	return r.violations
}

// BreakVariants are the ways in which engines end responses.
var BreakVariants = breakVariants

// SilencesOf returns the silences of a step by the index of the engine, among n.
func SilencesOf(s Step, n int) map[int][]standin.Silence { return s.silencesOf(n) }

// SilentEngines is the number of engines of each service in a silent play.
const SilentEngines = silentEngines

// ResponseOfSound is the response to a request to gate 0, which was sent to a sound engine after
// Sent and ended after Ended. Its gate got a stop signal at time 0 if Stopped is true, and was
// killed at KilledAt if that is not zero.
type ResponseOfSound struct {
	Path                 string
	Status               int
	Complete             bool
	Sent, Written, Ended time.Duration
	Closing, Unwritten   bool
	Reached, Stopped     bool
	KilledAt             time.Duration
}

// JudgeWhole returns the number of violations and of excused responses.
func JudgeWhole(c ResponseOfSound) (broken, excused int) {
	start := time.Now()
	r := &record{sound: true}
	if c.Stopped {
		r.stops = []plannedStop{{signaledAt: start, exitedAt: start.Add(standin.Grace)}}
	}
	if c.KilledAt != 0 {
		r.disturbances = []disturbance{{kind: Kill, from: start.Add(c.KilledAt), until: start.Add(c.KilledAt)}}
	}
	a := request{id: "a", path: cmp.Or(c.Path, longPath+"x"), status: c.Status, complete: c.Complete, closing: c.Closing, sent: start.Add(c.Sent), ended: start.Add(c.Ended)}
	if !c.Unwritten {
		a.written = start.Add(c.Written)
	}
	r.judgeWhole(a, c.Reached)
	return len(r.violations), r.excused
}

// JudgeHeldBack returns the violations by the log of a gate beside sound engines.
func JudgeHeldBack(log *os.File) []string {
	r := &record{sound: true}
	r.judgeHeldBack([]*gate{{logs: log}})
	return r.violations
}

// CutOffFault returns the fault of the link by which one gate calls another if a fault cuts the
// given gates off, "" if it has none.
func CutOffFault(from, to int, gates []int, f proxy.Fault) proxy.Fault {
	fault, ok := pair{from, to}.cutOffFault(gates, f)
	if !ok {
		return ""
	}
	return fault
}

// CountedResumptions returns how many resumed streams count of one that began at gate 0 from 0 to
// 1 s, and was resumed at gate 1 from 5 to 6 s, if a gate was cut off for a time.
func CountedResumptions(cut int, from, until time.Duration) int {
	at := func(gate int, from time.Duration) streamAttempt {
		start := time.Unix(0, 0).Add(from)
		return streamAttempt{request: request{gate: gate, sent: start, ended: start.Add(time.Second)}, events: 1, expected: true}
	}
	r := &record{streams: []stream{{events: []event{{id: "1"}, {id: "2"}}, attempts: []streamAttempt{at(0, 0), at(1, 5*time.Second)}}}}
	r.addDisturbance(disturbance{kind: CutOff, gate: cut, from: time.Unix(0, 0).Add(from), until: time.Unix(0, 0).Add(until)})
	r.judgeStreams()
	return r.resumed.total
}
