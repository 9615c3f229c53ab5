package gate

import (
	"sync"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/table"
)

// durationSamples is how many of the latest answers of a route are kept.
const durationSamples = 64

// durationRoutes bounds the routes that are remembered.
const durationRoutes = 256

// durations remembers how long the answers of each route took, so that a
// stopping process knows what it can still finish. It is safe for concurrent
// use.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]*ring
}

// ring holds the latest durations; n counts all that came.
type ring struct {
	last [durationSamples]clock.Millis
	n    int
}

func newDurations() *durations { return &durations{byRoute: map[string]*ring{}} }

// note records an answer.
func (d *durations) note(route string, took clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.byRoute[route]
	if r == nil {
		if len(d.byRoute) >= durationRoutes {
			return
		}
		r = &ring{}
		d.byRoute[route] = r
	}
	r.last[r.n%durationSamples] = took
	r.n++
}

// longest returns the longest of the latest answers of a route. A route that
// had none yet may take its whole timeout.
func (d *durations) longest(route *table.Route) clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.byRoute[route.Name]
	if r == nil {
		return route.Timeout
	}
	longest := clock.Millis(0)
	for _, took := range r.last[:min(r.n, durationSamples)] {
		longest = max(longest, took)
	}
	return longest
}
