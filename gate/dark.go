package gate

import (
	"context"
	"net/http"
	"strings"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/quarantine"
	"github.com/weldfall/weldfall/engines/upstream"
)

const (
	// healthCheckTimeout is how long an engine with a free slot may take to say that it is healthy.
	healthCheckTimeout clock.Millis = 100
	// healthCheckGoalPart is the part of its goal that an attempt is left without a sign at least
	// before its engine is asked.
	healthCheckGoalPart = 0.5
)

// watchForSilence finds out whether an engine is dark that leaves an attempt without a sign for
// a part of its goal, and for longer than the latest answers of its route took. The function that it returns ends that, and must be called when the
// head of the answer has come, or none will.
func (g *Gate) watchForSilence(ctx context.Context, c *call, e engines.Info, sent clock.Millis) (answered func()) {
	service, _ := c.table.Service(c.service)
	if !strings.HasPrefix(service.HealthPath, "/") {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	over := make(chan struct{})
	wait := max(clock.Millis(healthCheckGoalPart*float64(c.route.GoalOrUsual())), g.durations.MaxTimeToFirstOutput(c.route))
	stop := clock.AfterUnless(wait, func() {
		defer close(over)
		if g.isUnresponsive(ctx, e, service.HealthPath, sent) {
			g.guard.RecordUnresponsive(c.suspect(), e.Incarnation().Mark(), e.ID, sent)
		}
	})
	return func() {
		cancel()
		if !stop() {
			<-over
		}
	}
}

// isUnresponsive reports whether an engine gives no sign of life since a time: nothing that it was
// sent is answered, and its machine takes connections. An entry that hears no others cannot
// tell.
func (g *Gate) isUnresponsive(ctx context.Context, e engines.Info, healthPath string, since clock.Millis) bool {
	if g.contact() == quarantine.Isolated {
		return false
	}
	g.mu.Lock()
	known := g.book.Find(e.Incarnation())
	now := g.clk.Now()
	quiet := known != nil && known.QuietSince(since, now) && known.MayAsk(now)
	g.mu.Unlock()
	if !quiet {
		return false
	}
	req := &upstream.Request{Method: http.MethodGet, URI: healthPath, Host: e.Addr, Header: http.Header{g.wire.ExpectEngine: {e.ID}}}
	return g.pool.Dark(ctx, e.Addr, req, since, healthCheckTimeout)
}

// skipUnresponsive keeps the request from engines that went dark under it: what it does there
// shows nothing more.
func (g *Gate) skipUnresponsive(c *call) {
	lives := g.guard.UnresponsiveIncarnations(c.suspect())
	if len(lives) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, life := range lives {
		if e := g.book.Marked(life); e != nil {
			c.tried = append(c.tried, e.Info().ID)
		}
	}
}
