package route

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link/wire"
)

// LoadReport is the latest known load of an engine.
type LoadReport struct {
	// Requests is the reported number of running and waiting requests.
	Requests int
	// Unreported is the number of requests that this process sent since the report.
	Unreported int
	// ValidAt is the estimated time at which the report was valid.
	ValidAt clock.Millis
	// Sampled, SampledUnreported and SampledAt are the same without the loads reported in
	// refusals. Only busy engines refuse, so a mean that included those would be too high.
	Sampled, SampledUnreported int
	SampledAt                  clock.Millis
}

// Loads has the latest known loads of a pool's engines, as one process knows them. It is
// not safe for concurrent use.
type Loads struct {
	reports map[string]LoadReport
	// maxAge is the age beyond which a report is ignored.
	maxAge clock.Millis
}

// StaleAfter is the age beyond which a load report is ignored, in milliseconds. Engines
// report with a lag of seconds, while the daemons send their own counts with each response.
const StaleAfter clock.Millis = 5000

// NewLoads returns Loads without any reports.
func NewLoads() *Loads {
	return &Loads{reports: map[string]LoadReport{}, maxAge: StaleAfter}
}

// ObserveRefusal records the load that an engine reported with a refusal. It is ignored if
// it is older than the known one.
func (l *Loads) ObserveRefusal(engine string, requests int, at clock.Millis) {
	r, ok := l.reports[engine]
	if ok && at < r.ValidAt {
		return
	}
	r.Requests, r.Unreported, r.ValidAt = requests, 0, max(1, at)
	l.reports[engine] = r
}

// Sample records a load that was reported independently of a refusal: with a response or
// by a peer.
func (l *Loads) Sample(engine string, requests int, at clock.Millis) {
	l.ObserveRefusal(engine, requests, at)
	r := l.reports[engine]
	if at >= r.SampledAt {
		r.Sampled, r.SampledUnreported, r.SampledAt = requests, 0, max(1, at)
		l.reports[engine] = r
	}
}

// RecordSent adds a request that this process sent to engine.
func (l *Loads) RecordSent(engine string) {
	r := l.reports[engine]
	r.Unreported++
	r.SampledUnreported++
	l.reports[engine] = r
}

// RecordEnded removes a request that this process sent to engine.
func (l *Loads) RecordEnded(engine string) {
	r := l.reports[engine]
	decrement(&r.Unreported, &r.Requests)
	decrement(&r.SampledUnreported, &r.Sampled)
	l.reports[engine] = r
}

// decrement removes one request from unreported, or else from reported.
func decrement(unreported, reported *int) {
	if *unreported > 0 {
		*unreported--
	} else if *reported > 0 {
		*reported--
	}
}

// Estimate returns the estimated number of requests at engine. It is fresh if it is based
// on a report that is not stale.
func (l *Loads) Estimate(engine string, now clock.Millis) (requests int, fresh bool) {
	r, ok := l.reports[engine]
	if !ok || r.ValidAt == 0 {
		return r.Unreported, false
	}
	if now-r.ValidAt > l.maxAge {
		return r.Unreported, false
	}
	return r.Requests + r.Unreported, true
}

// MaxAttachedLoads limits the loads of other engines that are sent with each request and
// response. They report the traffic of one entry to the others through the daemons.
const MaxAttachedLoads = 4

// Freshest returns up to n reports that are not stale, the latest first, to be sent to a
// peer. They don't include the requests that this process sent.
func (l *Loads) Freshest(n int, now clock.Millis) []wire.Load {
	out := make([]wire.Load, 0, len(l.reports))
	for e, r := range l.reports {
		if age := now - r.SampledAt; r.SampledAt > 0 && age <= l.maxAge {
			out = append(out, wire.Load{Engine: e, Requests: r.Sampled, Age: age})
		}
	}
	// The order of equally old reports varies, so that different ones are sent each time.
	tieBreak := func(l wire.Load) uint64 { return mix(xxh3.HashString(l.Engine) ^ uint64(now)) }
	slices.SortFunc(out, func(a, b wire.Load) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(tieBreak(a), tieBreak(b)))
	})
	return out[:min(n, len(out))]
}

// Retain removes the engines for which keep returns false.
func (l *Loads) Retain(keep func(engine string) bool) {
	for e := range l.reports {
		if !keep(e) {
			delete(l.reports, e)
		}
	}
}

// Mean is the estimated load of a pool.
type Mean struct {
	// PerSlot is requests per slot.
	PerSlot float64
	// KnownShare is the share of targets with a report that is not stale.
	KnownShare float64
}

// minKnownShare is the share of a pool whose load must be known for a reliable mean.
const minKnownShare = 0.5

// Reliable reports whether the loads of enough targets are known.
func (m Mean) Reliable() bool { return m.KnownShare >= minKnownShare }

// Mean estimates the mean load of a pool of targets.
func (l *Loads) Mean(targets []Target, now clock.Millis) Mean {
	requests, slots, n := 0, 0, 0
	for _, t := range targets {
		if r, ok := l.reports[t.id]; ok && r.SampledAt > 0 && now-r.SampledAt <= l.maxAge {
			requests += r.Sampled + r.SampledUnreported
			slots += t.slots
			n++
		}
	}
	if n == 0 {
		return Mean{}
	}
	return Mean{float64(requests) / float64(slots), float64(n) / float64(len(targets))}
}

// Limit returns the maximum number of requests for an engine with the given slots: bound
// times the mean, rounded up, and at least floor. The mean includes the new request, of
// which each engine has an equal share.
func Limit(bound, meanPerSlot float64, floor, slots, engines int) int {
	newShare := 1 / float64(max(1, engines))
	even := meanPerSlot*float64(slots) + newShare
	return max(floor, int(math.Ceil(bound*even-1e-9)))
}
