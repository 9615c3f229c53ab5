package gate

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/statement"
	"github.com/weldfall/weldfall/engines/upstream"
)

// restSpread is the time after the end of a rest over which callers are told to return.
const restSpread clock.Millis = 1000

// allRest returns how many engines rest that could serve a call, and when the first of these
// rests ends. n is zero if one of them does not rest. The caller holds mu.
func (g *Gate) allRest(c *call, now clock.Millis) (n int, until clock.Millis) {
	if g.registry.HasUntried(c.service, c.requiredVersion(), nil, now) {
		return 0, 0
	}
	return g.registry.Resting(c.service, c.requiredVersion(), now)
}

// retryAfterRest returns when the caller of a request should return that has no engine before
// the given end of a rest.
func retryAfterRest(until, now clock.Millis) clock.Millis {
	return max(1, until-now) + clock.Millis(random()*float64(restSpread))
}

// errClosed means that the engine chosen for a request has meanwhile said that it wants none.
var errClosed = errors.New("the engine wants no requests")

// checkOpen returns errClosed if an incarnation said that it wants no requests.
func (g *Gate) checkOpen(n engines.Incarnation) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.registry.Closed(n, g.clk.Now()) {
		return errClosed
	}
	return nil
}

// recordStatement records what the head of a response says of its engine.
func (g *Gate) recordStatement(c *call, e engines.Info, a *upstream.Response) {
	if g.wire.Statement == nil {
		return
	}
	said := g.wire.Statement(a.StatusCode, a.Header)
	now := g.clk.Now()
	g.mu.Lock()
	change := g.registry.RecordStatement(e.Incarnation(), said, now)
	restLeft := max(0, g.registry.Said(e.Incarnation()).RestUntil()-now)
	listAge := g.listFreshness.Age(now)
	g.mu.Unlock()
	c.said = said
	switch change {
	case statement.Same:
		return
	case statement.Ignored:
		g.log.Warn("engine_says", "engine", e.ID, "service", c.service, "addr", e.Addr, "said", change, "value", said.Ignored, "cause", said.Reason, "status", a.StatusCode, "request", c.id)
	default:
		g.log.Info("engine_says", "engine", e.ID, "service", c.service, "addr", e.Addr, "said", change, "asked_ms", said.Rest, "rest_left_ms", restLeft,
			"status", a.StatusCode, "list_age_ms", listAge, "request", c.id)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_engine_statements_total{said=%q}`, change)).Inc()
}
