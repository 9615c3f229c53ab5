package gate

import (
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/prefill"
)

// maxPrefillSpeeds bounds the services whose speed of reading is remembered, of 1 KB each.
const maxPrefillSpeeds = 64

// learnPrefill records when the first event of an answer came. Of a request that went out
// again it tells nothing: what the engine before had read is not known.
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
		s = &prefill.Speed{}
		g.prefillSpeeds[c.service] = s
	}
	s.Note(c.suffixTokens, now-c.sentAt)
}

// prefillMillis returns the milliseconds in which an engine of a service reads one token, 0 if
// that is not known. The caller holds mu.
func (g *Gate) prefillMillis(service string) float64 {
	if s := g.prefillSpeeds[service]; s != nil {
		return s.PerToken()
	}
	return 0
}
