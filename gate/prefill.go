package gate

import (
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/prefill"
)

// maxPrefillSpeeds is the maximum number of services whose prefill speed is kept, 1 KB
// each.
const maxPrefillSpeeds = 64

// learnPrefill records the time to the first event of a response. A retried request is not
// counted, because how much the earlier engine had prefilled is unknown.
func (g *Gate) learnPrefill(c *call, now clock.Millis) {
	if len(c.tried) != 1 || len(c.prefixKeys) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.prefillSpeeds[c.service]
	if s == nil {
		if len(g.prefillSpeeds) >= maxPrefillSpeeds {
			clear(g.prefillSpeeds)
		}
		s = &prefill.Estimator{}
		g.prefillSpeeds[c.service] = s
	}
	s.Observe(c.suffixTokens, now-c.sentAt)
}

// prefillMillis returns the time that an engine of a service takes to prefill one token, in
// milliseconds, 0 if that is unknown. The caller holds mu.
func (g *Gate) prefillMillis(service string) float64 {
	if s := g.prefillSpeeds[service]; s != nil {
		return s.MillisPerToken()
	}
	return 0
}
