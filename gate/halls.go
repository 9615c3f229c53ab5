package gate

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/attempt"
	"github.com/weldfall/weldfall/engines/locality"
	"github.com/weldfall/weldfall/table"
)

// maxSpills is the maximum number of services whose way to other data halls is kept, 200
// bytes each.
const maxSpills = 64

// spill returns what is known of leaving the data hall for a service, nil if halls are not
// heeded. The caller holds mu.
func (g *Gate) spill(service string) *locality.Spill {
	cfg := g.bounds().Locality
	if !cfg.Enabled() || g.cfg.Hall == "" {
		return nil
	}
	s := g.spills[service]
	if s == nil {
		if len(g.spills) >= maxSpills {
			clear(g.spills)
		}
		s = locality.New(cfg)
		g.spills[service] = s
	}
	return s
}

// recordHall records the response time, the rejection or the failure of a request without a
// prompt, by the side on which its engine is. Times of prompts differ too much to compare halls.
func (g *Gate) recordHall(c *call, e engines.Info, o attempt.Outcome) {
	if len(c.prefixKeys) > 0 {
		return
	}
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.spill(c.service)
	if s == nil {
		return
	}
	own := e.Hall == g.cfg.Hall
	switch o.(type) {
	case attempt.Answered:
		arrived := now
		if first := c.reply.FirstAt(); c.route.Kind == table.Stream && first > 0 {
			arrived = first
		}
		bytes := int64(len(c.body)) + c.reply.BytesWritten()
		s.Observe(own, arrived-c.sentAt, bytes, now)
		if !own {
			metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_hall_left_bytes_total{service=%q}`, c.service)).Add(int(bytes))
		}
	case attempt.Refused:
		s.ObserveRejected(own, now)
	case attempt.Broken, attempt.Failed:
		s.ObserveFailed(own, now)
	case attempt.CallerGone:
		if !c.reply.Started() {
			s.ObserveGone(own, now-c.sentAt, now)
		}
	case attempt.Unsent:
	}
}

// hallMetric counts a choice by its reason.
func hallMetric(r locality.Reason) {
	if r != "" {
		metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_hall_choices_total{reason=%q}`, r)).Inc()
	}
}
