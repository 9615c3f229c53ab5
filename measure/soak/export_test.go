package soak

import "time"

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
	r := &record{stops: []stopped{{gate: 0, at: start, gone: start.Add(takes)}}}
	for _, d := range again {
		r.stops = append(r.stops, stopped{gate: 0, at: start.Add(d), gone: start.Add(d + takes)})
	}
	if c.Until != 0 {
		r.troubles = append(r.troubles, trouble{gate: c.TroubleGate, from: start.Add(c.Trouble), until: start.Add(c.Until)})
	}
	r.judgeStop(asked{gate: c.Gate, id: "a", path: c.Path, sent: start.Add(c.Sent), ended: start.Add(c.Ended), whole: c.Whole, gaveUp: c.GaveUp})
	return len(r.broken), r.excused
}

// EveryGate is a trouble that reaches all gates.
const EveryGate = everyGate
