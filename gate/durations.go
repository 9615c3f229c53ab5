package gate

import (
	"sync"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/table"
)

// durationSamples is how many answers of a route are looked at together. The
// longest of the latest 256 to 512 is remembered: by the longest of 64 a stop
// took an answer that it then had to cut.
const durationSamples = 256

// durationRoutes bounds the routes that are remembered.
const durationRoutes = 256

// durations remembers how long the answers of each route took, so that a
// stopping process knows what it can still finish. It is safe for concurrent
// use.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]*longest
}

// longest is the longest answer of a route.
type longest struct {
	// now is the longest of the latest n answers, n at most durationSamples, and
	// before that of as many before these.
	now, before clock.Millis
	n           int
	// all counts every answer of the route that was noted.
	all int
}

func newDurations() *durations { return &durations{byRoute: map[string]*longest{}} }

// note records an answer.
func (d *durations) note(route string, took clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.byRoute[route]
	if l == nil {
		if len(d.byRoute) >= durationRoutes {
			return
		}
		l = &longest{}
		d.byRoute[route] = l
	}
	if l.n == durationSamples {
		l.before, l.now, l.n = l.now, 0, 0
	}
	l.now = max(l.now, took)
	l.n++
	l.all++
}

// longest returns the longest of the latest answers of a route, and how many
// were noted. A route that had none yet may take its whole timeout.
func (d *durations) longest(route *table.Route) (took clock.Millis, answers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.byRoute[route.Name]; l != nil {
		return max(l.now, l.before), l.all
	}
	return route.Timeout, 0
}
