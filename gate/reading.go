package gate

import (
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/prefill"
)

// speedsMost bounds the services whose speed of reading is remembered, of 1 KB each.
const speedsMost = 64

// learnReading records when the first event of an answer came. Of a request that went out
// again it tells nothing: what the engine before had read is not known.
func (g *Gate) learnReading(c *call, now clock.Millis) {
	if len(c.tried) != 1 || len(c.keys) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.speeds[c.service]
	if s == nil {
		if len(g.speeds) >= speedsMost {
			clear(g.speeds)
		}
		s = &prefill.Estimator{}
		g.speeds[c.service] = s
	}
	s.Observe(c.own, now-c.sentAt)
}

// readTime returns the milliseconds in which an engine of a service reads one token, 0 if
// that is not known. The caller holds mu.
func (g *Gate) readTime(service string) float64 {
	if s := g.speeds[service]; s != nil {
		return s.MillisPerToken()
	}
	return 0
}
