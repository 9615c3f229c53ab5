package route

import (
	"cmp"
	"math"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/wire"
)

// Report is the latest known load of an engine.
type Report struct {
	// Requests is the number running or waiting, as reported.
	Requests int
	// Own is the number this process sent that the report does not include.
	Own int
	// At is when the report was true, as near as is known.
	At clock.Millis
}

// Loads is what one process knows of the loads of a pool. It is not safe for
// concurrent use.
type Loads struct {
	reports map[string]Report
	// stale is the age at which a report no longer counts.
	stale clock.Millis
}

// StaleAfter is the age at which a load report no longer counts, in
// milliseconds. Engines report with a lag of seconds; the daemons' own counts
// come with each answer.
const StaleAfter clock.Millis = 5000

// NewLoads returns an empty table.
func NewLoads() *Loads {
	return &Loads{reports: map[string]Report{}, stale: StaleAfter}
}

// Observe takes a report that was true at the given time; older ones than the
// known one are dropped.
func (l *Loads) Observe(engine string, requests int, at clock.Millis) {
	r, ok := l.reports[engine]
	if ok && at < r.At {
		return
	}
	l.reports[engine] = Report{Requests: requests, At: max(1, at)}
}

// Sent counts a request that this process just sent to engine.
func (l *Loads) Sent(engine string) {
	r := l.reports[engine]
	r.Own++
	l.reports[engine] = r
}

// Ended takes back one request that this process sent to engine.
func (l *Loads) Ended(engine string) {
	r := l.reports[engine]
	if r.Own > 0 {
		r.Own--
	} else if r.Requests > 0 {
		r.Requests--
	}
	l.reports[engine] = r
}

// Get returns the estimated requests at engine and whether it is based on a
// report that still counts.
func (l *Loads) Get(engine string, now clock.Millis) (requests int, fresh bool) {
	r, ok := l.reports[engine]
	if !ok || r.At == 0 {
		return r.Own, false
	}
	if now-r.At > l.stale {
		return r.Own, false
	}
	return r.Requests + r.Own, true
}

// Freshest returns up to n reports that still count, youngest first, for
// handing on to a peer. What this process sent is not in them.
func (l *Loads) Freshest(n int, now clock.Millis) []wire.Load {
	out := make([]wire.Load, 0, len(l.reports))
	for e, r := range l.reports {
		if age := now - r.At; r.At > 0 && age <= l.stale {
			out = append(out, wire.Load{Engine: e, Requests: r.Requests, Age: age})
		}
	}
	slices.SortFunc(out, func(a, b wire.Load) int { return cmp.Compare(a.Age, b.Age) })
	return out[:min(n, len(out))]
}

// Forget drops engines that keep does not want.
func (l *Loads) Forget(keep func(engine string) bool) {
	for e := range l.reports {
		if !keep(e) {
			delete(l.reports, e)
		}
	}
}

// Mean returns the estimated requests per slot over the targets and the share
// of targets with a report that still counts.
func (l *Loads) Mean(targets []Target, now clock.Millis) (perSlot, known float64) {
	requests, slots, n := 0, 0, 0
	for _, t := range targets {
		if r, fresh := l.Get(t.id, now); fresh {
			requests += r
			slots += t.slots
			n++
		}
	}
	if n == 0 {
		return 0, 0
	}
	return float64(requests) / float64(slots), float64(n) / float64(len(targets))
}

// Limit is the number of requests that an engine with the given slots may
// carry: bound times the mean, rounded up to whole requests, and never under
// floor. The request that asks counts into the mean.
func Limit(bound, meanPerSlot float64, floor, slots, engines int) int {
	share := 1 / float64(max(1, engines))
	fair := meanPerSlot*float64(slots) + share
	return max(floor, int(math.Ceil(bound*fair-1e-9)))
}
