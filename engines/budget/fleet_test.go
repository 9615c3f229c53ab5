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

// Limits of the fleet and of each entry.
const (
	ratio  = 0.2
	extra  = 54.0
	window = clock.Millis(10_000)
	// The extra retries are divided into minExtraShares shares at least, sharesPerEntry for
	// each entry.
	minExtraShares = 32
	sharesPerEntry = 4
	// maxUse is the share of the allowed retries that the worst window may reach.
	maxUse = 0.8
)

const (
	// maxHold is how long a connection retains unacknowledged data.
	maxHold clock.Millis = 1500
	// maxFailureTime is the longest time until an engine reports a failure.
	maxFailureTime = 300
)

// fleet simulates a fleet of entries. Clients send requests to entries, which send them to
// engines and retry failed attempts as long as their budgets allow it.
type fleet struct {
	rng     *rand.Rand
	now     clock.Millis
	events  events
	entries []*entry
	// failureRate is the share of attempts that fail.
	failureRate float64
	// maxRetries is the maximum number of retries of a request.
	maxRetries int
	// extra is the number of retries that the fleet may add to the ratio.
	extra float64
	// holds are times during which attempts are held in the network.
	holds []span
	// sent holds the times at which clients sent requests, arrived those at which the attempts
	// of each request arrived at engines.
	sent    []clock.Millis
	arrived [][]clock.Millis
}

type span struct{ from, to clock.Millis }

func (s span) contains(t clock.Millis) bool { return t >= s.from && t < s.to }

// entry is a process that may be restarted.
type entry struct {
	budget *budget.Budget
	// starts counts the restarts; down is true while no process is running.
	starts int
	down   bool
	// pausedUntil is when a paused process resumes and runs the queued functions.
	pausedUntil clock.Millis
	queued      []func()
	// slowSpan is a time during which the process reads more slowly than clients send, at the
	// share slowPace of their rate. It catches up afterwards.
	slowSpan span
	slowPace float64
}

// newFleet returns a fleet of n entries.
func newFleet(seed uint64, n int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), failureRate: 0.6, maxRetries: 1, extra: extra}
	for range n {
		f.addEntry()
	}
	return f
}

// addEntry starts another entry.
func (f *fleet) addEntry() *entry {
	e := &entry{}
	f.start(e)
	f.entries = append(f.entries, e)
	return e
}

func (f *fleet) start(e *entry) {
	e.budget = budget.New(budget.Config{Ratio: ratio, Extra: f.extra / float64(max(minExtraShares, sharesPerEntry*len(f.entries))), Window: window, Lag: maxHold, StartedAt: f.now})
	e.down = false
}

// at schedules do at a time.
func (f *fleet) at(t clock.Millis, do func()) { heap.Push(&f.events, event{at: t, do: do}) }

// run processes all events up to a time.
func (f *fleet) run(until clock.Millis) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = max(f.now, e.at)
		e.do()
	}
}

// addClients adds clients that send requests to random entries during s.
func (f *fleet) addClients(s span, perSecond float64) {
	for t := float64(s.from); ; {
		t += f.rng.ExpFloat64() * 1000 / perSecond
		if t >= float64(s.to) {
			return
		}
		f.at(clock.Millis(t), func() { f.send(f.entries[f.rng.IntN(len(f.entries))]) })
	}
}

// send sends a request from a client to an entry.
func (f *fleet) send(e *entry) {
	id := len(f.sent)
	f.sent = append(f.sent, f.now)
	f.arrived = append(f.arrived, nil)
	f.after(e, 1+e.readDelay(f.now), func() {
		e.budget.RecordRequest(f.now)
		f.attempt(e, id, 0)
	})
}

// readDelay returns how much later than usual a slow process reads a request sent now.
func (e *entry) readDelay(now clock.Millis) clock.Millis {
	behind := func(t clock.Millis) float64 { return float64(t-e.slowSpan.from) * (1/e.slowPace - 1) }
	switch {
	case e.slowPace == 0 || now < e.slowSpan.from:
		return 0
	case now < e.slowSpan.to:
		return clock.Millis(behind(now))
	}
	// The process catches up at twice the rate at which clients send.
	return max(0, clock.Millis(behind(e.slowSpan.to)-float64(now-e.slowSpan.to)/2))
}

// after schedules do at a process after a delay, or when it resumes. A resumed process takes
// a millisecond for each queued function. Scheduled functions are lost with the process.
func (f *fleet) after(e *entry, delay clock.Millis, do func()) {
	if e.down {
		return
	}
	starts := e.starts
	f.at(f.now+delay, func() {
		switch {
		case e.starts != starts:
		case f.now < e.pausedUntil:
			e.queued = append(e.queued, do)
		default:
			do()
		}
	})
}

// pause suspends a process during s.
func (f *fleet) pause(e *entry, s span) {
	f.at(s.from, func() { e.pausedUntil = max(e.pausedUntil, s.to) })
	f.at(s.to, func() {
		if f.now < e.pausedUntil {
			return
		}
		queued := e.queued
		e.queued = nil
		for i, do := range queued {
			f.after(e, clock.Millis(i), do)
		}
	})
}

// restart kills a process at the start of s and replaces it at the end of s.
func (f *fleet) restart(e *entry, s span) {
	f.at(s.from, func() {
		e.starts++
		e.down, e.pausedUntil, e.queued = true, 0, nil
	})
	f.at(s.to, func() { f.start(e) })
}

// attempt sends a request to an engine, and retries it if it fails.
func (f *fleet) attempt(e *entry, id, retries int) {
	if at, ok := f.arrivalTime(f.now + 1); ok {
		f.at(at, func() { f.arrived[id] = append(f.arrived[id], f.now) })
	}
	if f.rng.Float64() >= f.failureRate {
		return
	}
	f.after(e, 2+clock.Millis(f.rng.IntN(maxFailureTime)), func() {
		if retries < f.maxRetries && e.budget.Spend(f.now) {
			f.attempt(e, id, retries+1)
		}
	})
}

// arrivalTime returns when an attempt sent now arrives, and false if it is lost.
func (f *fleet) arrivalTime(now clock.Millis) (clock.Millis, bool) {
	at := now
	for _, s := range f.holds {
		if s.contains(at) {
			at = s.to
		}
	}
	return at, at-now <= maxHold
}

// worstWindow returns the retries, the allowed retries and the start of the window with the
// highest ratio of the two.
func (f *fleet) worstWindow() (retries int, allowed float64, from clock.Millis) {
	var times []clock.Millis
	for _, arrived := range f.arrived {
		if len(arrived) > 1 {
			times = append(times, arrived[1:]...)
		}
	}
	slices.Sort(times)
	worst := 0.0
	allowed = f.extra
	for _, start := range times {
		got := countInWindow(times, start)
		requests := max(countInWindow(f.sent, start), countInWindow(f.sent, start-window/2), countInWindow(f.sent, start-window))
		if limit := ratio*float64(requests) + f.extra; float64(got)/limit > worst {
			worst, retries, allowed, from = float64(got)/limit, got, limit, start
		}
	}
	return retries, allowed, from
}

// countInWindow counts the times, which are sorted, in the window that begins at from.
func countInWindow(times []clock.Millis, from clock.Millis) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearch(times, from+window)
	return end - first
}

// check fails the test if the retries of any window exceed maxUse.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	got, allowed, from := f.worstWindow()
	if float64(got) > maxUse*allowed {
		t.Errorf("got %d retries in the window from %d ms on, want at most %.0f of the %.0f allowed", got, from, maxUse*allowed, allowed)
	}
	t.Logf("worst window: %d retries, %.0f allowed (%.2f), from %d ms on", got, allowed, float64(got)/allowed, from)
}

// trafficTime is how long clients send requests.
const trafficTime = clock.Millis(34_000)

// Guards against too many retries in a window after entries were suspended: they then read
// at once all requests that clients sent in the meantime.
func TestLateReadRequestsAllowNoMoreRetries(t *testing.T) {
	for _, tc := range []struct {
		name    string
		entries int
		pauses  []span
		// all is true if all entries are paused at once.
		all bool
	}{
		{name: "in the first second", entries: 4, pauses: []span{{630, 4630}}, all: true},
		{name: "later", entries: 4, pauses: []span{{15_000, 19_000}}, all: true},
		{name: "twice", entries: 4, pauses: []span{{3000, 7000}, {17_000, 21_000}}, all: true},
		{name: "repeatedly", entries: 30, pauses: []span{{2000, 4000}, {6000, 8000}, {10_000, 12_000}, {14_000, 16_000}, {18_000, 20_000}}, all: true},
		{name: "half of them", entries: 4, pauses: []span{{3000, 7000}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(1, tc.entries)
			f.addClients(span{0, trafficTime}, 400)
			for i, e := range f.entries {
				for _, s := range tc.pauses {
					if tc.all || i%2 == 0 {
						f.pause(e, s)
					}
				}
			}
			f.run(trafficTime)
			f.check(t)
		})
	}
}

// Checks that the retries of all entries stay within the budget under faults of entries,
// network and engines, and under changes of traffic.
func TestFleetRetriesStayWithinBudget(t *testing.T) {
	each := func(f *fleet, do func(i int, e *entry)) {
		for i, e := range f.entries {
			do(i, e)
		}
	}
	for _, tc := range []struct {
		name    string
		entries int
		rate    float64
		// extra replaces the default if it is not zero.
		extra float64
		fault func(f *fleet)
	}{
		{name: "none", entries: 4, rate: 400, fault: func(*fleet) {}},
		{name: "two retries per request", entries: 4, rate: 400, fault: func(f *fleet) { f.maxRetries = 2 }},
		{name: "network holds attempts", entries: 4, rate: 400, fault: func(f *fleet) {
			for t := clock.Millis(2000); t < trafficTime; t += 3000 {
				f.holds = append(f.holds, span{t, t + maxHold})
			}
		}},
		{name: "network holds attempts once per window", entries: 4, rate: 6000, fault: func(f *fleet) {
			f.holds = []span{{3000, 3000 + maxHold}, {13_500, 13_500 + maxHold}}
		}},
		{name: "entries killed in turn", entries: 4, rate: 400, fault: func(f *fleet) {
			each(f, func(i int, e *entry) {
				for t := clock.Millis(1000 + 500*i); t < trafficTime; t += 2000 {
					f.restart(e, span{t, t + 700})
				}
			})
		}},
		{name: "all killed soon after engines begin to fail", entries: 4, rate: 400, fault: func(f *fleet) {
			f.failureRate = 0
			f.at(12_000, func() { f.failureRate = 0.7 })
			each(f, func(_ int, e *entry) { f.restart(e, span{14_500, 15_500}) })
		}},
		{name: "30 entries killed repeatedly", entries: 30, rate: 400, fault: func(f *fleet) {
			each(f, func(_ int, e *entry) {
				for t := clock.Millis(1000); t < trafficTime; t += 1500 {
					f.restart(e, span{t, t + 700})
				}
			})
		}},
		{name: "fleet grows tenfold", entries: 4, rate: 400, fault: func(f *fleet) {
			for i := range clock.Millis(36) {
				f.at(5000+i*100, func() { f.addEntry() })
			}
		}},
		{name: "burst", entries: 4, rate: 200, fault: func(f *fleet) { f.addClients(span{12_000, 15_000}, 1500) }},
		{name: "traffic ends", entries: 4, rate: 50, fault: func(f *fleet) {
			f.addClients(span{0, 12_000}, 1500)
			f.failureRate = 0
			f.at(12_200, func() { f.failureRate = 1 })
		}},
		{name: "process falls behind and catches up", entries: 4, rate: 400, fault: func(f *fleet) {
			each(f, func(_ int, e *entry) { e.slowSpan, e.slowPace = span{8000, 14_000}, 0.6 })
		}},
		{name: "entries paused while all attempts fail", entries: 4, rate: 2000, fault: func(f *fleet) {
			f.failureRate, f.maxRetries = 0, 2
			f.at(12_000, func() { f.failureRate = 1 })
			each(f, func(_ int, e *entry) { f.pause(e, span{12_000, 17_000}) })
		}},
		{name: "all killed while all attempts fail", entries: 4, rate: 2000, fault: func(f *fleet) {
			f.failureRate, f.maxRetries = 0, 2
			f.at(12_000, func() { f.failureRate = 1 })
			each(f, func(_ int, e *entry) { f.restart(e, span{17_000, 17_100}) })
		}},
		{name: "all killed while all attempts fail, after a network outage", entries: 4, rate: 2000, fault: func(f *fleet) {
			f.failureRate, f.maxRetries = 0, 2
			f.at(12_000, func() { f.failureRate = 1 })
			f.holds = []span{{12_000, 12_000 + maxHold}}
			each(f, func(_ int, e *entry) { f.restart(e, span{17_000, 17_100}) })
		}},
		{name: "entries killed repeatedly with many extra retries", entries: 4, rate: 100, fault: func(f *fleet) {
			f.failureRate, f.maxRetries = 1, 10
			each(f, func(_ int, e *entry) {
				for t := clock.Millis(1000); t < trafficTime; t += 1000 {
					f.restart(e, span{t, t + 100})
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
			f.addClients(span{0, trafficTime}, tc.rate)
			tc.fault(f)
			f.run(trafficTime + window)
			f.check(t)
		})
	}
}

// seeds is the number of random fleets.
var seeds = flag.Uint64("seeds", 40, "number of random fleets of TestRandomFleetRetriesStayWithinBudget")

// Checks random combinations of faults.
func TestRandomFleetRetriesStayWithinBudget(t *testing.T) {
	worst := 0.0
	for seed := range *seeds {
		f := randomFleet(seed)
		f.run(trafficTime + window)
		got, allowed, from := f.worstWindow()
		if float64(got) > maxUse*allowed {
			t.Errorf("seed %d: got %d retries in the window from %d ms on, want at most %.0f of the %.0f allowed", seed, got, from, maxUse*allowed, allowed)
		}
		if use := float64(got) / allowed; use > worst {
			worst = use
			t.Logf("seed %d: %d retries, %.0f allowed (%.2f), from %d ms on", seed, got, allowed, use, from)
		}
	}
}

// randomFleet returns a fleet with one to five faults.
func randomFleet(seed uint64) *fleet {
	rng := rand.New(rand.NewPCG(seed, 1))
	f := newFleet(seed, 1+rng.IntN(40))
	f.failureRate = 0.3 + 0.7*rng.Float64()
	f.maxRetries = 1 + rng.IntN(2)
	if rng.IntN(2) == 0 {
		later := f.failureRate
		f.failureRate = 0
		f.at(clock.Millis(rng.Int64N(int64(trafficTime))), func() { f.failureRate = later })
	}
	f.addClients(span{0, trafficTime}, 50+950*rng.Float64())
	// some returns random entries, or all of them with a probability of one half.
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
		from := rng.Int64N(int64(trafficTime))
		return span{clock.Millis(from), clock.Millis(from + 200 + rng.Int64N(int64(most)))}
	}
	for range 1 + rng.IntN(5) {
		switch rng.IntN(7) {
		case 0:
			s := draw(5000)
			for _, e := range some() {
				f.pause(e, s)
			}
		case 1:
			s := draw(3000)
			for _, e := range some() {
				f.restart(e, s)
			}
		case 2:
			every := 500 + clock.Millis(rng.Int64N(3000))
			for _, e := range some() {
				f.restart(e, span{every, every + 300})
				every += 300
			}
		case 3:
			s := draw(1500)
			for t := s.from; t < trafficTime; t += 3000 {
				f.holds = append(f.holds, span{t, t + s.to - s.from})
			}
		case 4:
			f.addClients(draw(5000), 2000*rng.Float64())
		case 5:
			s, pace := draw(6000), 0.5+0.5*rng.Float64()
			for _, e := range some() {
				e.slowSpan, e.slowPace = s, pace
			}
		case 6:
			s := draw(3000)
			f.at(s.from, func() { f.addEntry() })
		}
	}
	return f
}

// events is a heap ordered by time.
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
