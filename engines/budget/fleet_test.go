package budget_test

import (
	"container/heap"
	"flag"
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
	// parts is the least number of parts of the extra, lives how many each entry has.
	parts = 32
	lives = 4
	// aim is the part of what operators allow that repeats may come to in the worst window.
	aim = 0.8
)

const (
	// heldMost is how long a connection keeps what nobody acknowledges.
	heldMost clock.Millis = 1500
	// failsAfter is how long an engine takes at most to fail.
	failsAfter = 300
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
	// extra is what operators allow beyond the ratio.
	extra float64
	// held are spans in which nothing arrives at engines until their ends.
	held []span
	// sent has when callers sent requests, arrived when attempts arrived at engines, by
	// request.
	sent    []clock.Millis
	arrived [][]clock.Millis
}

type span struct{ from, to clock.Millis }

func (s span) has(t clock.Millis) bool { return t >= s.from && t < s.to }

// entry is a process and the one that is started in its place.
type entry struct {
	budget *budget.Budget
	// life counts the starts; down is true while there is no process.
	life int
	down bool
	// still is until when the process stands still, waiting what it finds then.
	still   clock.Millis
	waiting []func()
	// slow is a span in which the process reads at a part of the pace at which callers
	// send, and after which it catches up.
	slow     span
	slowPace float64
}

// newFleet returns a fleet of n entries.
func newFleet(seed uint64, n int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), failing: 0.6, mostRepeats: 1, extra: extra}
	for range n {
		f.add()
	}
	return f
}

// add starts another entry.
func (f *fleet) add() *entry {
	e := &entry{}
	f.start(e)
	f.entries = append(f.entries, e)
	return e
}

func (f *fleet) start(e *entry) {
	e.budget = budget.New(budget.Config{Ratio: ratio, Extra: f.extra / float64(max(parts, lives*len(f.entries))), Window: window, Lag: heldMost, StartedAt: f.now})
	e.down = false
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

// callers send at a rate in requests a second, each to an entry by chance.
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
	f.atEntry(e, 1+e.lag(f.now), func() {
		e.budget.RecordRequest(f.now)
		f.attempt(e, id, 0)
	})
}

// lag is how much later than usual a slow process reads what is sent now.
func (e *entry) lag(now clock.Millis) clock.Millis {
	behind := func(t clock.Millis) float64 { return float64(t-e.slow.from) * (1/e.slowPace - 1) }
	switch {
	case e.slowPace == 0 || now < e.slow.from:
		return 0
	case now < e.slow.to:
		return clock.Millis(behind(now))
	}
	// It catches up at twice the pace of callers.
	return max(0, clock.Millis(behind(e.slow.to)-float64(now-e.slow.to)/2))
}

// atEntry has a process do something after a time, or when it no longer stands still. It
// takes a millisecond for each of what it finds then. What it would do later is lost with
// it.
func (f *fleet) atEntry(e *entry, after clock.Millis, do func()) {
	if e.down {
		return
	}
	life := e.life
	f.at(f.now+after, func() {
		switch {
		case e.life != life:
		case f.now < e.still:
			e.waiting = append(e.waiting, do)
		default:
			do()
		}
	})
}

// standStill has a process stand still.
func (f *fleet) standStill(e *entry, s span) {
	f.at(s.from, func() { e.still = max(e.still, s.to) })
	f.at(s.to, func() {
		if f.now < e.still {
			return
		}
		waiting := e.waiting
		e.waiting = nil
		for i, do := range waiting {
			f.atEntry(e, clock.Millis(i), do)
		}
	})
}

// kill ends a process, and starts another in its place at the end of the span.
func (f *fleet) kill(e *entry, s span) {
	f.at(s.from, func() {
		e.life++
		e.down, e.still, e.waiting = true, 0, nil
	})
	f.at(s.to, func() { f.start(e) })
}

// attempt sends a request to an engine, and again if it fails.
func (f *fleet) attempt(e *entry, id, repeats int) {
	if at, ok := f.arrives(f.now + 1); ok {
		f.at(at, func() { f.arrived[id] = append(f.arrived[id], f.now) })
	}
	if f.rng.Float64() >= f.failing {
		return
	}
	f.atEntry(e, 2+clock.Millis(f.rng.IntN(failsAfter)), func() {
		if repeats < f.mostRepeats && e.budget.Spend(f.now) {
			f.attempt(e, id, repeats+1)
		}
	})
}

// arrives returns when an attempt arrives that is sent now, if it does.
func (f *fleet) arrives(now clock.Millis) (clock.Millis, bool) {
	at := now
	for _, s := range f.held {
		if s.has(at) {
			at = s.to
		}
	}
	return at, at-now <= heldMost
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
	allowed = f.extra
	for _, start := range again {
		got := within(again, start)
		requests := max(within(f.sent, start), within(f.sent, start-window/2), within(f.sent, start-window))
		if most := ratio*float64(requests) + f.extra; float64(got)/most > part {
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

// check holds the repeats of each window against the aim.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	got, most, from := f.worst()
	if float64(got) > aim*most {
		t.Errorf("got %d repeats in the window from %d ms on, want at most %.0f of the %.0f allowed", got, from, aim*most, most)
	}
	t.Logf("worst window: %d repeats, %.0f allowed (%.2f), from %d ms on", got, most, float64(got)/most, from)
}

// day is how long traffic lasts.
const day = clock.Millis(34_000)

// Guards against more repeats than a window's callers allow, after entries stood still: what
// callers sent meanwhile is read at once.
func TestRequestsThatAreReadLateAllowNoMoreRepeats(t *testing.T) {
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

// The repeats of all entries stay within their bound whatever happens to entries, to what
// they sent, and to traffic.
func TestTheRepeatsOfAFleetStayWithinTheirBound(t *testing.T) {
	everyone := func(f *fleet, do func(i int, e *entry)) {
		for i, e := range f.entries {
			do(i, e)
		}
	}
	for _, tc := range []struct {
		name    string
		entries int
		rate    float64
		// extra is another than that of other fleets.
		extra   float64
		trouble func(f *fleet)
	}{
		{name: "none", entries: 4, rate: 400, trouble: func(*fleet) {}},
		{name: "requests that may be repeated twice", entries: 4, rate: 400, trouble: func(f *fleet) { f.mostRepeats = 2 }},
		{name: "what is sent is held up", entries: 4, rate: 400, trouble: func(f *fleet) {
			for t := clock.Millis(2000); t < day; t += 3000 {
				f.held = append(f.held, span{t, t + heldMost})
			}
		}},
		{name: "what is sent is held up once in a window", entries: 4, rate: 6000, trouble: func(f *fleet) {
			f.held = []span{{3000, 3000 + heldMost}, {13_500, 13_500 + heldMost}}
		}},
		{name: "entries that are killed in turn", entries: 4, rate: 400, trouble: func(f *fleet) {
			everyone(f, func(i int, e *entry) {
				for t := clock.Millis(1000 + 500*i); t < day; t += 2000 {
					f.kill(e, span{t, t + 700})
				}
			})
		}},
		{name: "all are killed soon after engines begin to fail", entries: 4, rate: 400, trouble: func(f *fleet) {
			f.failing = 0
			f.at(12_000, func() { f.failing = 0.7 })
			everyone(f, func(_ int, e *entry) { f.kill(e, span{14_500, 15_500}) })
		}},
		{name: "thirty entries that are killed again and again", entries: 30, rate: 400, trouble: func(f *fleet) {
			everyone(f, func(_ int, e *entry) {
				for t := clock.Millis(1000); t < day; t += 1500 {
					f.kill(e, span{t, t + 700})
				}
			})
		}},
		{name: "a fleet that grows tenfold", entries: 4, rate: 400, trouble: func(f *fleet) {
			for i := range clock.Millis(36) {
				f.at(5000+i*100, func() { f.add() })
			}
		}},
		{name: "a burst", entries: 4, rate: 200, trouble: func(f *fleet) { f.callers(span{12_000, 15_000}, 1500) }},
		{name: "traffic that ends", entries: 4, rate: 50, trouble: func(f *fleet) {
			f.callers(span{0, 12_000}, 1500)
			f.failing = 0
			f.at(12_200, func() { f.failing = 1 })
		}},
		{name: "a process that falls behind and catches up", entries: 4, rate: 400, trouble: func(f *fleet) {
			everyone(f, func(_ int, e *entry) { e.slow, e.slowPace = span{8000, 14_000}, 0.6 })
		}},
		{name: "entries that stand still while nothing succeeds", entries: 4, rate: 2000, trouble: func(f *fleet) {
			f.failing, f.mostRepeats = 0, 2
			f.at(12_000, func() { f.failing = 1 })
			everyone(f, func(_ int, e *entry) { f.standStill(e, span{12_000, 17_000}) })
		}},
		{name: "all are killed while nothing succeeds", entries: 4, rate: 2000, trouble: func(f *fleet) {
			f.failing, f.mostRepeats = 0, 2
			f.at(12_000, func() { f.failing = 1 })
			everyone(f, func(_ int, e *entry) { f.kill(e, span{17_000, 17_100}) })
		}},
		{name: "all are killed while nothing succeeds, after a cut", entries: 4, rate: 2000, trouble: func(f *fleet) {
			f.failing, f.mostRepeats = 0, 2
			f.at(12_000, func() { f.failing = 1 })
			f.held = []span{{12_000, 12_000 + heldMost}}
			everyone(f, func(_ int, e *entry) { f.kill(e, span{17_000, 17_100}) })
		}},
		{name: "entries that begin again and again while much is allowed beyond the ratio", entries: 4, rate: 100, trouble: func(f *fleet) {
			f.failing, f.mostRepeats = 1, 10
			everyone(f, func(_ int, e *entry) {
				for t := clock.Millis(1000); t < day; t += 1000 {
					f.kill(e, span{t, t + 100})
				}
			})
		}, extra: 540},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(1, tc.entries)
			if tc.extra != 0 {
				f.extra = tc.extra
				for _, e := range f.entries {
					f.start(e)
				}
			}
			f.callers(span{0, day}, tc.rate)
			tc.trouble(f)
			f.run(day + window)
			f.check(t)
		})
	}
}

// seeds is how many fleets are drawn.
var seeds = flag.Uint64("seeds", 40, "how many fleets TestTheRepeatsOfAnyFleetStayWithinTheirBound draws")

// Whatever comes together, drawn from seeds.
func TestTheRepeatsOfAnyFleetStayWithinTheirBound(t *testing.T) {
	most := 0.0
	for seed := range *seeds {
		f := drawFleet(seed)
		f.run(day + window)
		got, allowed, from := f.worst()
		if float64(got) > aim*allowed {
			t.Errorf("seed %d: got %d repeats in the window from %d ms on, want at most %.0f of the %.0f allowed", seed, got, from, aim*allowed, allowed)
		}
		if part := float64(got) / allowed; part > most {
			most = part
			t.Logf("seed %d: %d repeats, %.0f allowed (%.2f), from %d ms on", seed, got, allowed, part, from)
		}
	}
}

// drawFleet returns a fleet with one to five troubles.
func drawFleet(seed uint64) *fleet {
	rng := rand.New(rand.NewPCG(seed, 1))
	f := newFleet(seed, 1+rng.IntN(40))
	f.failing = 0.3 + 0.7*rng.Float64()
	f.mostRepeats = 1 + rng.IntN(2)
	if rng.IntN(2) == 0 {
		later := f.failing
		f.failing = 0
		f.at(clock.Millis(rng.Int64N(int64(day))), func() { f.failing = later })
	}
	f.callers(span{0, day}, 50+950*rng.Float64())
	// some returns entries by chance, all of them in every other draw.
	some := func() []*entry {
		if rng.IntN(2) == 0 {
			return f.entries
		}
		var out []*entry
		for _, e := range f.entries {
			if rng.IntN(3) == 0 {
				out = append(out, e)
			}
		}
		return out
	}
	draw := func(most clock.Millis) span {
		from := rng.Int64N(int64(day))
		return span{clock.Millis(from), clock.Millis(from + 200 + rng.Int64N(int64(most)))}
	}
	for range 1 + rng.IntN(5) {
		switch rng.IntN(7) {
		case 0:
			s := draw(5000)
			for _, e := range some() {
				f.standStill(e, s)
			}
		case 1:
			s := draw(3000)
			for _, e := range some() {
				f.kill(e, s)
			}
		case 2:
			every := 500 + clock.Millis(rng.Int64N(3000))
			for _, e := range some() {
				f.kill(e, span{every, every + 300})
				every += 300
			}
		case 3:
			s := draw(1500)
			for t := s.from; t < day; t += 3000 {
				f.held = append(f.held, span{t, t + s.to - s.from})
			}
		case 4:
			f.callers(draw(5000), 2000*rng.Float64())
		case 5:
			s, pace := draw(6000), 0.5+0.5*rng.Float64()
			for _, e := range some() {
				e.slow, e.slowPace = s, pace
			}
		case 6:
			s := draw(3000)
			f.at(s.from, func() { f.add() })
		}
	}
	return f
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
