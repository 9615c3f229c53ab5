package engines

import (
	"math"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// beliefFor is how long after a rejection the requests of other entries at engines
	// without load reports are estimated.
	beliefFor clock.Millis = 5000
	// fullLoads is the number of requests by slot that an engine is assumed to have when it
	// rejects one. Engines do not publish the length of their queue.
	fullLoads = 3.0
	// fullHalfLife is the half-life of that assumption.
	fullHalfLife clock.Millis = 60
	// responseTimeWeight is the weight of a new response time in the mean.
	responseTimeWeight = 0.05
	// differencePart is the part of the difference that response times show which counts:
	// every entry sees it, and all would go to the fastest engine.
	differencePart = 0.25
	// responseTimeFor is how long a mean response time is used without a new response.
	responseTimeFor clock.Millis = 500
)

var fullDecay = newDecay(fullHalfLife)

// belief is what this entry's own requests tell about an engine that reports no load.
type belief struct {
	// responseTime is the mean of the latest response times, zero before the first.
	responseTime float64
	respondedAt  clock.Millis
	// rejectedAt is when the engine last rejected a request for lack of room, zero if never.
	rejectedAt clock.Millis
}

// RecordResponseTime records how long the engine took to respond.
func (e *Engine) RecordResponseTime(took, now clock.Millis) {
	b := &e.belief
	if b.responseTime == 0 || now-b.respondedAt > responseTimeFor {
		b.responseTime = float64(took)
	}
	b.responseTime += responseTimeWeight * (float64(took) - b.responseTime)
	b.respondedAt = now
}

// RecordRejection records that the engine rejected a request for lack of room.
func (e *Engine) RecordRejection(now clock.Millis) { e.belief.rejectedAt = now }

// ReportsLoad reports whether an engine of a service has reported its load.
func (r *Registry) ReportsLoad(service string) bool {
	p := r.byService[service]
	return p != nil && slices.ContainsFunc(p.engines, func(e *Engine) bool { return e.hasReport })
}

// addBeliefs adds the believed requests of other entries to the loads of engines that report
// none and whose slots count up to limit. It changes nothing unless one of the engines has
// rejected a request lately.
func addBeliefs(in []*Engine, loads []float64, limit float64, now clock.Millis) {
	fastest, rejected := math.Inf(1), false
	for _, e := range in {
		if e.hasReport {
			return
		}
		b := e.belief
		rejected = rejected || b.rejectedAt != 0 && now-b.rejectedAt < beliefFor
		if b.responseTime > 0 && now-b.respondedAt <= responseTimeFor {
			fastest = min(fastest, b.responseTime)
		}
	}
	if !rejected {
		return
	}
	for i, e := range in {
		loads[i] += e.belief.others(e.slots(limit), fastest, now)
	}
}

// others estimates how many more requests of other entries the engine has than the one with
// the mean response time fastest. By Little's law the requests at an engine grow with its
// response time.
func (b belief) others(slots, fastest float64, now clock.Millis) float64 {
	n := 0.0
	if b.responseTime > 0 && now-b.respondedAt <= responseTimeFor {
		n = differencePart * slots * (b.responseTime/max(1, fastest) - 1)
	}
	if b.rejectedAt != 0 {
		n = max(n, slots*fullLoads*fullDecay.weight(now-b.rejectedAt))
	}
	return min(n, slots*fullLoads)
}
