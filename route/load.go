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
	// Requests is the number running or waiting, as reported.
	Requests int
	// Unreported is the number this process sent that the report does not include.
	Unreported int
	// ValidAt is when the report was true, as near as is known.
	ValidAt clock.Millis
	// Sampled, SampledUnreported and SampledAt are the same without the loads that
	// came with a refusal. Those are high, so a mean over them is too high.
	Sampled, SampledUnreported int
	SampledAt                  clock.Millis
}

// Loads is what one process knows of the loads of a pool. It is not safe for
// concurrent use.
type Loads struct {
	reports map[string]LoadReport
	// stale is the age at which a report no longer counts.
	stale clock.Millis
}

// StaleAfter is the age at which a load report no longer counts, in
// milliseconds. Engines report with a lag of seconds; the daemons' own counts
// come with each answer.
const StaleAfter clock.Millis = 5000

// NewLoads returns an empty table.
func NewLoads() *Loads {
	return &Loads{reports: map[string]LoadReport{}, stale: StaleAfter}
}

// ObserveRefusal takes a load that came with a refusal; older ones than the known one
// are dropped.
func (l *Loads) ObserveRefusal(engine string, requests int, at clock.Millis) {
	r, ok := l.reports[engine]
	if ok && at < r.ValidAt {
		return
	}
	r.Requests, r.Unreported, r.ValidAt = requests, 0, max(1, at)
	l.reports[engine] = r
}

// Sample takes a load that came with an answer or at a time of its own.
func (l *Loads) Sample(engine string, requests int, at clock.Millis) {
	l.ObserveRefusal(engine, requests, at)
	r := l.reports[engine]
	if at >= r.SampledAt {
		r.Sampled, r.SampledUnreported, r.SampledAt = requests, 0, max(1, at)
		l.reports[engine] = r
	}
}

// RecordSent counts a request that this process just sent to engine.
func (l *Loads) RecordSent(engine string) {
	r := l.reports[engine]
	r.Unreported++
	r.SampledUnreported++
	l.reports[engine] = r
}

// RecordEnded takes back one request that this process sent to engine.
func (l *Loads) RecordEnded(engine string) {
	r := l.reports[engine]
	takeBack(&r.Unreported, &r.Requests)
	takeBack(&r.SampledUnreported, &r.Sampled)
	l.reports[engine] = r
}

func takeBack(own, reported *int) {
	if *own > 0 {
		*own--
	} else if *reported > 0 {
		*reported--
	}
}

// Estimate returns the estimated requests at engine and whether it is based on a
// report that still counts.
func (l *Loads) Estimate(engine string, now clock.Millis) (requests int, fresh bool) {
	r, ok := l.reports[engine]
	if !ok || r.ValidAt == 0 {
		return r.Unreported, false
	}
	if now-r.ValidAt > l.stale {
		return r.Unreported, false
	}
	return r.Requests + r.Unreported, true
}

// MaxAttachedLoads is how many loads of other engines go with each request and
// each answer, so that entries hear of each other's traffic through daemons.
const MaxAttachedLoads = 4

// Freshest returns up to n reports that still count, youngest first, for
// handing on to a peer. What this process sent is not in them.
func (l *Loads) Freshest(n int, now clock.Millis) []wire.Load {
	out := make([]wire.Load, 0, len(l.reports))
	for e, r := range l.reports {
		if age := now - r.SampledAt; r.SampledAt > 0 && age <= l.stale {
			out = append(out, wire.Load{Engine: e, Requests: r.Sampled, Age: age})
		}
	}
	// Of equally old ones a different few go along each time.
	turn := func(l wire.Load) uint64 { return mix(xxh3.HashString(l.Engine) ^ uint64(now)) }
	slices.SortFunc(out, func(a, b wire.Load) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(turn(a), turn(b)))
	})
	return out[:min(n, len(out))]
}

// Retain drops engines that keep does not want.
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
	// KnownShare is the share of targets with a report that still counts.
	KnownShare float64
}

// enoughKnown is the share of a pool that must be known for its mean to count.
const enoughKnown = 0.5

// Reliable reports whether the mean is based on enough of the pool.
func (m Mean) Reliable() bool { return m.KnownShare >= enoughKnown }

// Mean estimates the load of the pool of the targets.
func (l *Loads) Mean(targets []Target, now clock.Millis) Mean {
	requests, slots, n := 0, 0, 0
	for _, t := range targets {
		if r, ok := l.reports[t.id]; ok && r.SampledAt > 0 && now-r.SampledAt <= l.stale {
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

// Limit is the number of requests that an engine with the given slots may
// carry: bound times the mean, rounded up to whole requests, and never under
// floor. The request that asks counts into the mean.
func Limit(bound, meanPerSlot float64, floor, slots, engines int) int {
	share := 1 / float64(max(1, engines))
	fair := meanPerSlot*float64(slots) + share
	return max(floor, int(math.Ceil(bound*fair-1e-9)))
}
