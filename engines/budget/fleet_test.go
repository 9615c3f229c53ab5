package budget_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/budget"
)

// What operators allow all entries together, and what an entry takes of it.
const (
	ratio  = 0.2
	extra  = 54.0
	window = clock.Millis(10_000)
	share  = 0.9
	parts  = 32
)

// fleet is a fleet of entries in simulated time. Callers send requests to entries, which
// send them to engines and repeat what failed as often as their budgets let them.
type fleet struct {
	rng     *rand.Rand
	now     clock.Millis
	events  events
	entries []*entry
	// failing is the part of the attempts that fail.
	failing float64
	// mostRepeats is how often a request may be repeated.
	mostRepeats int
	// held are spans in which nothing arrives at engines until their ends.
	held []span
	// sent has when callers sent requests, arrived when attempts arrived at engines, by
	// request.
	sent    []clock.Millis
	arrived [][]clock.Millis
}

type span struct{ from, to clock.Millis }

// entry is a process.
type entry struct {
	budget *budget.Budget
	// still is until when the process stands still, waiting what it finds then.
	still   clock.Millis
	waiting []func()
}

// newFleet returns a fleet of n entries.
func newFleet(seed uint64, n int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), failing: 0.6, mostRepeats: 1}
	for range n {
		f.entries = append(f.entries, &entry{budget: newBudget()})
	}
	return f
}

func newBudget() *budget.Budget {
	return budget.New(budget.Config{Ratio: ratio * share, Extra: extra / parts, Window: window})
}

// at has do called at a time.
func (f *fleet) at(t clock.Millis, do func()) { heap.Push(&f.events, event{at: t, do: do}) }

// run plays all events up to a time.
func (f *fleet) run(until clock.Millis) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = max(f.now, e.at)
		e.do()
	}
}

// callers send at a rate in requests a second, to each entry as many.
func (f *fleet) callers(s span, perSecond float64) {
	for t := float64(s.from); ; {
		t += f.rng.ExpFloat64() * 1000 / perSecond
		if t >= float64(s.to) {
			return
		}
		f.at(clock.Millis(t), func() { f.send(f.entries[f.rng.IntN(len(f.entries))]) })
	}
}

// send has a caller send a request.
func (f *fleet) send(e *entry) {
	id := len(f.sent)
	f.sent = append(f.sent, f.now)
	f.arrived = append(f.arrived, nil)
	f.atEntry(e, 1, func() {
		e.budget.Request(f.now)
		f.attempt(e, id, 0)
	})
}

// atEntry has a process do something after a time, or when it no longer stands still. It
// takes a millisecond for each of what it finds then.
func (f *fleet) atEntry(e *entry, after clock.Millis, do func()) {
	f.at(f.now+after, func() {
		if f.now < e.still {
			e.waiting = append(e.waiting, do)
			return
		}
		do()
	})
}

// standStill has a process stand still.
func (f *fleet) standStill(e *entry, s span) {
	f.at(s.from, func() { e.still = s.to })
	f.at(s.to, func() {
		for i, do := range e.waiting {
			f.at(f.now+clock.Millis(i), do)
		}
		e.waiting = nil
	})
}

// attempt sends a request to an engine, and again if it fails.
func (f *fleet) attempt(e *entry, id, repeats int) {
	arrives := f.now + 1
	for _, s := range f.held {
		if arrives >= s.from && arrives < s.to {
			arrives = s.to
		}
	}
	f.at(arrives, func() { f.arrived[id] = append(f.arrived[id], f.now) })
	if f.rng.Float64() >= f.failing {
		return
	}
	f.atEntry(e, 2+clock.Millis(f.rng.IntN(300)), func() {
		if repeats < f.mostRepeats && e.budget.Spend(f.now) {
			f.attempt(e, id, repeats+1)
		}
	})
}

// worst returns the repeats of the window in which they came nearest to what operators
// allow, that, and when the window begins.
func (f *fleet) worst() (repeats int, allowed float64, from clock.Millis) {
	var again []clock.Millis
	for _, times := range f.arrived {
		if len(times) > 1 {
			again = append(again, times[1:]...)
		}
	}
	slices.Sort(again)
	part := 0.0
	for _, start := range again {
		got := within(again, start)
		requests := max(within(f.sent, start), within(f.sent, start-window/2), within(f.sent, start-window))
		if most := ratio*float64(requests) + extra; float64(got)/most > part {
			part, repeats, allowed, from = float64(got)/most, got, most, start
		}
	}
	return repeats, allowed, from
}

// within counts the sorted times of the window that begins at from.
func within(times []clock.Millis, from clock.Millis) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearch(times, from+window)
	return end - first
}

// check holds the repeats of each window against what operators allow.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	got, most, from := f.worst()
	if float64(got) > most {
		t.Errorf("got %d repeats in the window from %d ms on, want at most %.0f", got, from, most)
	}
	t.Logf("worst window: %d repeats, %.0f allowed, from %d ms on", got, most, from)
}

// Guards against more repeats than a window's callers allow, after entries stood still: what
// callers sent meanwhile is read at once.
func TestRequestsThatAreReadLateAllowNoMoreRepeats(t *testing.T) {
	const day = clock.Millis(34_000)
	for _, tc := range []struct {
		name    string
		entries int
		stills  []span
		// all is true if all entries stand still at once.
		all bool
	}{
		{name: "in the first second", entries: 4, stills: []span{{630, 4630}}, all: true},
		{name: "later", entries: 4, stills: []span{{15_000, 19_000}}, all: true},
		{name: "twice", entries: 4, stills: []span{{3000, 7000}, {17_000, 21_000}}, all: true},
		{name: "again and again", entries: 30, stills: []span{{2000, 4000}, {6000, 8000}, {10_000, 12_000}, {14_000, 16_000}, {18_000, 20_000}}, all: true},
		{name: "half of them", entries: 4, stills: []span{{3000, 7000}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(1, tc.entries)
			f.callers(span{0, day}, 400)
			for i, e := range f.entries {
				for _, s := range tc.stills {
					if tc.all || i%2 == 0 {
						f.standStill(e, s)
					}
				}
			}
			f.run(day)
			f.check(t)
		})
	}
}

// events are in order of their times.
type events []event

type event struct {
	at clock.Millis
	do func()
}

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
