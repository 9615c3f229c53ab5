// Package duration learns how long answers take, and estimates how long one may
// take that has not begun. How many events a stream can have follows from what
// the request and the operators tell; the pace of events is learned, and kept
// by nine of ten runs of them. Where either is unknown the published timeout
// stands. The longest of the answers seen is no bound: the next is longer with
// a chance of one in their number, and a process that came up a while ago has
// seen none that takes longer than that.
package duration

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/table"
)

const (
	// RunEvents is the number of events over which a pace is measured. Single pauses
	// of a stream differ by more than ten times, runs of eight by about two.
	RunEvents = 8
	// leastRuns is how many runs must have been seen of a service before its
	// usual pace is known.
	leastRuns = 4
	// boundRuns is how many must have been seen before the pace of a bound is:
	// those of several streams. By the runs of one, which may come from a fast
	// engine, 3 of 90 drawn answers lasted longer.
	boundRuns = 32
	// slowRuns is the part of all runs that the pace of a bound covers. An answer
	// of full length has ten runs and more, which are not all slow: of 13,000
	// streams of four deployments 15 took longer than this pace and the longest
	// first event make, 4 of them among the longest route's.
	slowRuns = 0.9
	// firstGoals is what the first event may take in goals of the route, or, if
	// that is longer, firstShare of the longest seen.
	firstGoals = 2
	firstShare = 1.5
	// plainShare and plainMargin allow for a plain answer that takes longer than
	// the longest seen.
	plainShare               = 1.25
	plainMargin clock.Millis = 300
	// DefaultTimeout is for how long any request is held whose route publishes no
	// timeout.
	DefaultTimeout clock.Millis = 600_000
	// routesMost and servicesMost bound what is remembered: 4 KB each.
	routesMost   = 256
	servicesMost = 64
)

// Basis says what an estimate rests on.
type Basis string

const (
	// BasisEvents is the most events that the answer can have, at the pace of the
	// service.
	BasisEvents Basis = "events"
	// BasisTimeout is the route's published timeout: nothing better is known.
	BasisTimeout Basis = "timeout"
	// BasisObserved is the longest of the plain answers seen. It is no bound: one that is
	// not whole in time is answered as a failure.
	BasisObserved Basis = "seen"
)

// Request is what is known of an answer before it begins.
type Request struct {
	Route *table.Route
	// Service names what the pace was recorded for.
	Service string
	// MaxEvents is the most events that the answer can have, 0 if that is not known.
	MaxEvents int
}

// Estimate says how long an answer takes.
type Estimate struct {
	// Max is what it does not exceed by its Basis: by Events one of 79,749 answers
	// did that were drawn in a test; by Seen, some will.
	Max clock.Millis
	// Typical is what one of full length takes at the usual pace; at most Most.
	Typical clock.Millis
	Basis   Basis
	// Samples is how many measurements the estimate rests on.
	Samples int
}

// Estimator remembers how long answers took. It is safe for concurrent use.
type Estimator struct {
	mu       sync.Mutex
	routes   map[string]*route
	services map[string]*pace
}

// pace is what was seen of the pace of events.
type pace struct {
	runs latest
	// rest is how many events, in restTook, came at the ends of streams, after
	// their last runs. They make a run once there are enough.
	rest     int
	restTook clock.Millis
}

// end takes the events after the last run of a stream.
func (p *pace) end(events int, took clock.Millis) {
	p.rest += events
	p.restTook += took
	if p.rest >= RunEvents {
		p.runs.add(RunEvents * p.restTook / clock.Millis(p.rest))
		p.rest, p.restTook = 0, 0
	}
}

// slower returns what the given part of the runs keep at each of two paces, the
// longer of the two. A pace of which too little is known does not count.
func (p *pace) slower(o *pace, part float64) clock.Millis {
	took := p.runs.quantile(part)
	if o.runs.n >= leastRuns {
		took = max(took, o.runs.quantile(part))
	}
	return took
}

// route is what was seen of one route.
type route struct {
	pace
	firsts latest
	// wholes are whole answers, from the request to their end.
	wholes latest
	// long is true once a plain answer was too long to be held until it is whole.
	long bool
}

// NewEstimator returns Answers that have seen nothing.
func NewEstimator() *Estimator {
	return &Estimator{routes: map[string]*route{}, services: map[string]*pace{}}
}

// RecordFirstEvent records the time until the first event of a stream.
func (a *Estimator) RecordFirstEvent(name string, took clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.route(name); r != nil {
		r.firsts.add(took)
	}
}

// MaxTimeToFirstOutput returns the longest time until one of the latest answers of a route showed a
// sign: the first event of a stream, all of a plain answer. It is 0 if none came.
func (a *Estimator) MaxTimeToFirstOutput(r *table.Route) clock.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := a.routes[r.Name]
	switch {
	case seen == nil:
		return 0
	case r.Kind == table.Stream:
		return seen.firsts.longest()
	}
	return seen.wholes.longest()
}

// RecordResponse records the time of a whole answer.
func (a *Estimator) RecordResponse(name string, took clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.route(name); r != nil {
		r.wholes.add(took)
	}
}

// RecordPassThrough records that a route has plain answers that are passed on as they come.
// One that ends early cannot be told as a failure, so only the timeout bounds
// them.
func (a *Estimator) RecordPassThrough(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.route(name); r != nil {
		r.long = true
	}
}

// RecordRun records the time of a run of events of a route at a service. It is told
// while a stream goes on, so that long ones count as much as those that have
// ended.
func (a *Estimator) RecordRun(name, service string, took clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.paces(name, service) {
		p.runs.add(took)
	}
}

// RecordTail records the time of the events that came after the last run of a stream.
// Without them nothing would be known of a service whose streams are shorter
// than a run.
func (a *Estimator) RecordTail(name, service string, events int, took clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.paces(name, service) {
		p.end(events, took)
	}
}

// paces returns what is known of the pace of a service and of a route, without
// those of which no more can be remembered. The caller holds mu.
func (a *Estimator) paces(name, service string) []*pace {
	var out []*pace
	s := a.services[service]
	if s == nil && len(a.services) < servicesMost {
		s = &pace{}
		a.services[service] = s
	}
	if s != nil {
		out = append(out, s)
	}
	if r := a.route(name); r != nil {
		out = append(out, &r.pace)
	}
	return out
}

// route returns what is known of a route, nil if no more can be remembered.
// The caller holds mu.
func (a *Estimator) route(name string) *route {
	r := a.routes[name]
	if r == nil && len(a.routes) < routesMost {
		r = &route{}
		a.routes[name] = r
	}
	return r
}

// Estimate says how long the answer to a request takes.
func (a *Estimator) Estimate(req Request) Estimate {
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := a.routes[req.Route.Name]
	if seen == nil {
		seen = &route{}
	}
	if req.Route.Kind != table.Stream {
		return plain(req.Route, seen)
	}
	s := a.services[req.Service]
	if req.MaxEvents == 0 || s == nil || s.runs.n < leastRuns {
		return unknown(req.Route)
	}
	return stream(req, seen, s)
}

// held is for how long a request of a route is held.
func held(r *table.Route) clock.Millis { return cmp.Or(r.Timeout, DefaultTimeout) }

// unknown is the estimate where nothing better than that is known.
func unknown(r *table.Route) Estimate {
	return Estimate{Max: held(r), Typical: held(r), Basis: BasisTimeout}
}

func plain(r *table.Route, seen *route) Estimate {
	if seen.wholes.n == 0 || seen.long {
		return unknown(r)
	}
	most := min(held(r), clock.Millis(plainShare*float64(seen.wholes.longest()))+plainMargin)
	return Estimate{Max: most, Typical: most, Basis: BasisObserved, Samples: seen.wholes.n}
}

// stream estimates a stream whose length is known. Its pace is that of the
// service, of which more is known, or that of its route if that is slower.
func stream(req Request, seen *route, s *pace) Estimate {
	goal := req.Route.GoalOrUsual()
	first := max(firstGoals*goal, clock.Millis(firstShare*float64(seen.firsts.longest())))
	usual := min(held(req.Route), goal+events(req.MaxEvents, s.slower(&seen.pace, 0.5)))
	if s.runs.n < boundRuns {
		return Estimate{Max: held(req.Route), Typical: usual, Basis: BasisTimeout, Samples: s.runs.n}
	}
	most := min(held(req.Route), max(first+events(req.MaxEvents, s.slower(&seen.pace, slowRuns))+req.Route.PauseGoal, seen.wholes.longest()))
	return Estimate{Max: most, Typical: min(usual, most), Basis: BasisEvents, Samples: s.runs.n}
}

// events is how long n events take where a run takes so long.
func events(n int, run clock.Millis) clock.Millis {
	return clock.Millis(math.Ceil(float64(n) * float64(run) / RunEvents))
}

// latestMost is how many measurements are remembered of each kind: a few
// seconds' worth where much is going on.
const latestMost = 256

// latest holds the latest measurements.
type latest struct {
	took [latestMost]int32
	// n is how many are held, next where the next goes.
	n, next int
}

func (l *latest) add(took clock.Millis) {
	l.took[l.next] = int32(min(took, math.MaxInt32))
	l.next = (l.next + 1) % latestMost
	l.n = min(latestMost, l.n+1)
}

func (l *latest) longest() clock.Millis {
	if l.n == 0 {
		return 0
	}
	return clock.Millis(slices.Max(l.took[:l.n]))
}

// quantile returns the value that the given part of the measurements does not
// exceed. There must be one.
func (l *latest) quantile(part float64) clock.Millis {
	sorted := slices.Clone(l.took[:l.n])
	slices.Sort(sorted)
	return clock.Millis(sorted[min(l.n-1, int(part*float64(l.n)))])
}
