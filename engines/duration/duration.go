// Package duration learns how long responses take, and estimates how long a
// response may take before it begins. The maximum number of events of a stream
// follows from the request and the configuration. The pace of events is learned
// from runs of consecutive events, and the estimate uses a pace that nine of ten
// runs reach. If either is unknown, the published timeout applies. The longest
// response observed is not a bound: after n responses the next one is longer
// with a probability of about 1/n, and a process that started recently has only
// observed responses shorter than its uptime.
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
	// RunEvents is the number of events over which a pace is measured. Single
	// pauses of a stream vary by more than a factor of ten, runs of eight events
	// by about two.
	RunEvents = 8
	// minTypicalRuns is the number of runs of a service that are needed for its
	// typical pace.
	minTypicalRuns = 4
	// minBoundRuns is the number of runs that are needed for an upper bound, so
	// that they come from several streams. Bounds from the runs of one stream,
	// which may come from a fast engine, were exceeded by 3 of 90 simulated
	// responses.
	minBoundRuns = 32
	// boundQuantile is the share of runs that the pace of an upper bound covers, and of first
	// events and plain responses to which a silence is added. A
	// response of full length has ten or more runs, which are not all slow: of
	// 13,000 streams of four deployments, 15 took longer than this pace plus the
	// longest first event, 4 of them on the longest route.
	boundQuantile = 0.9
	// The first event may take firstEventGoals goals of the route or, if that is
	// longer, firstEventFactor times the longest first event observed. Beside a silence it
	// may take firstEventFactor times the longest of nine of ten.
	firstEventGoals  = 2
	firstEventFactor = 1.5
	// plainFactor and plainMargin extend the longest plain response observed to
	// allow for a longer one. plainSilenceFactor extends the longest of nine of ten to which
	// a silence is added.
	plainFactor                     = 1.25
	plainSilenceFactor              = 1.5
	plainMargin        clock.Millis = 300
	// DefaultTimeout applies to routes that publish no timeout.
	DefaultTimeout = table.DefaultTimeout
	// maxRoutes and maxServices limit memory use, at 4 KB per route or service.
	maxRoutes   = 256
	maxServices = 64
)

// Basis tells what an estimate is based on.
type Basis string

const (
	// BasisEvents is the maximum number of events of the response at the pace of
	// the service.
	BasisEvents Basis = "events"
	// BasisTimeout is the route's published timeout, used if nothing better is
	// known.
	BasisTimeout Basis = "timeout"
	// BasisObserved is the longest plain response observed. It is not a bound: a
	// response that is incomplete by then is reported as a failure.
	BasisObserved Basis = "seen"
)

// Request describes a response before it begins.
type Request struct {
	Route *table.Route
	// Service is the name under which the pace was recorded.
	Service string
	// MaxEvents is the maximum number of events of the response, 0 if unknown.
	MaxEvents int
	// Silence is how long a sound engine may send nothing once during the response, 0 if it
	// is never silent.
	Silence clock.Millis
	// Now is when the estimate is made.
	Now clock.Millis
}

// Estimate tells how long a response takes.
type Estimate struct {
	// Max is the time that the response does not exceed, as far as Basis allows: with
	// BasisEvents, one of 79,749 simulated responses exceeded it; with
	// BasisObserved, some will.
	Max clock.Millis
	// Silence is the part of Max that only a silence of the engine takes.
	Silence clock.Millis
	// Typical is the time of a response of full length at the typical pace. It is
	// at most Max.
	Typical clock.Millis
	Basis   Basis
	// Samples is the number of measurements behind the estimate.
	Samples int
}

// MaxIfNotSilent returns the time that the response does not exceed if its engine is not
// silent.
func (e Estimate) MaxIfNotSilent() clock.Millis { return e.Max - e.Silence }

// Cap returns the estimate for a response that ends after d at the latest.
func (e Estimate) Cap(d clock.Millis) Estimate {
	steady := min(e.MaxIfNotSilent(), d)
	e.Max, e.Typical = min(e.Max, d), min(e.Typical, d)
	e.Silence = e.Max - steady
	return e
}

// Estimator records how long responses took and estimates further ones. It is
// safe for concurrent use.
type Estimator struct {
	mu       sync.Mutex
	routes   map[string]*routeStats
	services map[string]*paceStats
}

// paceStats holds the measured pace of events.
type paceStats struct {
	runs samples
	// tailEvents counts the events after the last full runs of streams, and
	// tailTime is their total time. They are combined into a run once there are
	// enough of them.
	tailEvents int
	tailTime   clock.Millis
}

// addTail records the events after the last full run of a stream.
func (p *paceStats) addTail(events int, took clock.Millis) {
	p.tailEvents += events
	p.tailTime += took
	if p.tailEvents >= RunEvents {
		p.runs.add(RunEvents * p.tailTime / clock.Millis(p.tailEvents))
		p.tailEvents, p.tailTime = 0, 0
	}
}

// slowerQuantile returns the given quantile of the run times of p or of o,
// whichever is longer. It ignores o if that has too few runs.
func (p *paceStats) slowerQuantile(o *paceStats, q float64) clock.Millis {
	took := p.runs.quantile(q)
	if o.runs.n >= minTypicalRuns {
		took = max(took, o.runs.quantile(q))
	}
	return took
}

// routeStats holds the measurements of one route.
type routeStats struct {
	paceStats
	firstEvents samples
	// responses holds the times of complete responses, from the request to the end.
	responses samples
	// passThrough is set once a plain response was too long to be buffered.
	passThrough bool
	// longSilence is the longest silence seen that was longer than a sound engine's,
	// longSilenceAt when it was seen.
	longSilence   clock.Millis
	longSilenceAt clock.Millis
	// silentTime is the time that was taken out of the pace of the latest streams because
	// their engines were silent, gaps the number of pauses of these streams. Both decay by one
	// part in maxSamples with each stream.
	silentTime, gaps float64
}

// NewEstimator returns an Estimator without measurements.
func NewEstimator() *Estimator {
	return &Estimator{routes: map[string]*routeStats{}, services: map[string]*paceStats{}}
}

// RecordFirstEvent records the time until the first event of a stream.
func (e *Estimator) RecordFirstEvent(route string, took clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.routeStats(route); r != nil {
		r.firstEvents.add(took)
	}
}

// MaxTimeToFirstOutput returns the longest time that one of the latest
// responses of a route took to produce output: the first event of a stream, or a
// complete plain response. It returns 0 if there was no response.
func (e *Estimator) MaxTimeToFirstOutput(r *table.Route) clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.routes[r.Name]
	switch {
	case stats == nil:
		return 0
	case r.Kind == table.Stream:
		return stats.firstEvents.longest()
	}
	return stats.responses.longest()
}

// RecordResponse records the time of a complete response.
func (e *Estimator) RecordResponse(route string, took clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.routeStats(route); r != nil {
		r.responses.add(took)
	}
}

// RecordPassThrough records that a route has plain responses that are passed on
// while they arrive. A truncated one cannot be reported as a failure anymore, so
// only the timeout is a safe bound for them.
func (e *Estimator) RecordPassThrough(route string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.routeStats(route); r != nil {
		r.passThrough = true
	}
}

// RecordRun records the time of a run of RunEvents events. It is called while
// the stream is in progress, so that long streams count as much as completed
// ones.
func (e *Estimator) RecordRun(route, service string, took clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.paceStats(route, service) {
		p.runs.add(took)
	}
}

// RecordTail records the time of the events after the last full run of a
// stream. It provides the pace of services whose streams are shorter than a run.
func (e *Estimator) RecordTail(route, service string, events int, took clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.paceStats(route, service) {
		p.addTail(events, took)
	}
}

// paceStats returns the stats of a service and of a route, creating them as
// needed. It omits those that would exceed maxServices or maxRoutes. The caller
// holds mu.
func (e *Estimator) paceStats(route, service string) []*paceStats {
	var out []*paceStats
	s := e.services[service]
	if s == nil && len(e.services) < maxServices {
		s = &paceStats{}
		e.services[service] = s
	}
	if s != nil {
		out = append(out, s)
	}
	if r := e.routeStats(route); r != nil {
		out = append(out, &r.paceStats)
	}
	return out
}

// routeStats returns the stats of a route, creating them as needed, or nil if
// that would exceed maxRoutes. The caller holds mu.
func (e *Estimator) routeStats(route string) *routeStats {
	r := e.routes[route]
	if r == nil && len(e.routes) < maxRoutes {
		r = &routeStats{}
		e.routes[route] = r
	}
	return r
}

// Estimate returns how long the response to a request takes.
func (e *Estimator) Estimate(req Request) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.routes[req.Route.Name]
	if stats == nil {
		stats = &routeStats{}
	}
	req.Silence = stats.silenceAllowed(req.Silence, req.Now)
	if req.Route.Kind != table.Stream {
		return plainEstimate(req, stats)
	}
	s := e.services[req.Service]
	if req.MaxEvents == 0 || s == nil || s.runs.n < minTypicalRuns {
		return timeoutEstimate(req.Route)
	}
	return streamEstimate(req, stats, s)
}

// timeoutOf returns the timeout of a route.
func timeoutOf(r *table.Route) clock.Millis { return cmp.Or(r.Timeout, DefaultTimeout) }

// timeoutEstimate returns the estimate for a route without usable measurements.
func timeoutEstimate(r *table.Route) Estimate {
	return Estimate{Max: timeoutOf(r), Typical: timeoutOf(r), Basis: BasisTimeout}
}

// plainEstimate returns the estimate for a plain response. Its maximum has room for a
// response that takes longer than all others or for a silence in a common one, whichever
// takes longer.
func plainEstimate(req Request, stats *routeStats) Estimate {
	r := req.Route
	if stats.responses.n == 0 || stats.passThrough {
		return timeoutEstimate(r)
	}
	steady := scale(plainFactor, stats.responses.longestBeyond(req.Silence)) + plainMargin
	longest := max(steady, scale(plainSilenceFactor, stats.responses.quantile(boundQuantile))+req.Silence)
	return Estimate{Max: longest, Silence: longest - steady, Typical: steady, Basis: BasisObserved, Samples: stats.responses.n}.Cap(timeoutOf(r))
}

// streamEstimate returns the estimate for a stream with a known maximum number of
// events. It uses the pace of the service, which has more measurements, or that of
// the route if that is slower.
func streamEstimate(req Request, stats *routeStats, service *paceStats) Estimate {
	timeout := timeoutOf(req.Route)
	typical := min(timeout, req.Route.GoalOrDefault()+eventsTime(req.MaxEvents, service.slowerQuantile(&stats.paceStats, 0.5)))
	if service.runs.n < minBoundRuns {
		return Estimate{Max: timeout, Typical: typical, Basis: BasisTimeout, Samples: service.runs.n}
	}
	events := eventsTime(req.MaxEvents, service.slowerQuantile(&stats.paceStats, boundQuantile))
	late, silent := allowances(req, stats)
	steady := max(events+late, stats.responses.longestBeyond(req.Silence))
	longest := max(steady, events+silent, stats.responses.longest())
	return Estimate{Max: longest, Silence: longest - steady, Typical: typical, Basis: BasisEvents, Samples: service.runs.n}.Cap(timeout)
}

// allowances returns what a stream may take beyond its events at the pace of the bound: for a
// late first event and a pause, or for a silence. Both are rare and seldom meet in one stream.
func allowances(req Request, stats *routeStats) (late, silent clock.Millis) {
	late = max(firstEventGoals*req.Route.GoalOrDefault(), scale(firstEventFactor, stats.firstEvents.longestBeyond(req.Silence))) + req.Route.PauseGoal
	return late, scale(firstEventFactor, stats.firstEvents.quantile(boundQuantile)) + max(req.Silence, stats.expectedSilence(req.MaxEvents))
}

// scale returns d times f.
func scale(f float64, d clock.Millis) clock.Millis { return clock.Millis(f * float64(d)) }

// eventsTime returns the time of n events, given the time of a run.
func eventsTime(n int, run clock.Millis) clock.Millis {
	return clock.Millis(math.Ceil(float64(n) * float64(run) / RunEvents))
}

// maxSamples is the number of measurements kept of each kind. A busy process
// takes that many in a few seconds.
const maxSamples = 256

// samples is a ring buffer of the latest measurements.
type samples struct {
	values [maxSamples]int32
	// n is the number of values in use, next the index of the next write.
	n, next int
}

func (s *samples) add(took clock.Millis) {
	s.values[s.next] = int32(min(took, math.MaxInt32))
	s.next = (s.next + 1) % maxSamples
	s.n = min(maxSamples, s.n+1)
}

func (s *samples) longest() clock.Millis {
	if s.n == 0 {
		return 0
	}
	return clock.Millis(slices.Max(s.values[:s.n]))
}

// longestBeyond returns the longest measurement, or the longest of nine of ten if a silence
// of the given length explains the others.
func (s *samples) longestBeyond(silence clock.Millis) clock.Millis {
	longest, common := s.longest(), s.quantile(boundQuantile)
	if longest > common+silence {
		return longest
	}
	return common
}

// subtract removes a silence from the latest measurement that may contain it.
func (s *samples) subtract(silence clock.Millis) {
	for n := 1; n <= s.n; n++ {
		v := &s.values[(s.next-n+maxSamples)%maxSamples]
		if rest := clock.Millis(*v) - silence; rest >= 0 {
			*v = int32(rest)
			return
		}
	}
}

// quantile returns the value that the share q of the measurements does not
// exceed. It returns 0 without measurements.
func (s *samples) quantile(q float64) clock.Millis {
	if s.n == 0 {
		return 0
	}
	sorted := slices.Clone(s.values[:s.n])
	slices.Sort(sorted)
	return clock.Millis(sorted[min(s.n-1, int(q*float64(s.n)))])
}
