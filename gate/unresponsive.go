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
	// healthCheckTimeout is how long an engine with a free slot may take to respond to a health
	// check.
	healthCheckTimeout clock.Millis = 100
	// healthCheckGoalPart is the fraction of its goal that an attempt waits at least for a
	// response before the health of its engine is checked.
	healthCheckGoalPart = 0.5
)

// watchForSilence checks whether the engine is unresponsive if the attempt gets no response
// for healthCheckGoalPart of its goal and for longer than recent responses of its route took.
// Once the header of the response has arrived, or none will arrive, the caller must call the
// returned function, which ends the watch.
func (g *Gate) watchForSilence(ctx context.Context, c *call, e engines.Info, sent clock.Millis) (answered func()) {
	check := g.healthCheck(c, e)
	if check == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	wait := max(clock.Millis(healthCheckGoalPart*float64(c.route.GoalOrDefault())), g.durations.MaxTimeToFirstOutput(c.route))
	stop := clock.AfterFuncWithStop(wait, func() {
		defer close(done)
		if g.isUnresponsive(ctx, e, check, sent) {
			c.guardMu.Lock()
			defer c.guardMu.Unlock()
			g.guard.RecordUnresponsive(c.suspect(), e.Incarnation().Hash(), e.ID, sent)
		}
	})
	return func() {
		cancel()
		if !stop() {
			<-done
		}
	}
}

// isUnresponsive reports whether an engine has sent nothing since the given time and does not
// respond to a health check, although its machine accepts connections. Without contact to other
// entries the fault may be at this entry, unless it received data from another engine since then.
func (g *Gate) isUnresponsive(ctx context.Context, e engines.Info, check *upstream.Request, since clock.Millis) bool {
	g.mu.Lock()
	known := g.registry.Find(e.Incarnation())
	now := g.clk.Now()
	reachable := g.contactNow() != quarantine.Isolated || g.registry.AnotherActiveSince(e.Incarnation(), since)
	silent := known != nil && reachable && known.SilentSince(since, now) && known.AllowHealthCheck(now)
	g.mu.Unlock()
	if !silent {
		return false
	}
	return g.pool.Unresponsive(ctx, e.Addr, check, since, healthCheckTimeout)
}

// healthCheck returns the health check of an engine of the call's service, nil if the service has
// none.
func (g *Gate) healthCheck(c *call, e engines.Info) *upstream.Request {
	service, _ := c.table.Service(c.service)
	if !strings.HasPrefix(service.HealthPath, "/") {
		return nil
	}
	return &upstream.Request{Engine: e.ID, Method: http.MethodGet, URI: service.HealthPath, Host: e.Addr, Header: http.Header{g.wire.ExpectEngine: {e.ID}}}
}

// skipUnresponsive keeps the request from engines that became unresponsive while they ran it.
// Running it there again would show nothing new.
func (g *Gate) skipUnresponsive(c *call) {
	hashes := g.guard.UnresponsiveIncarnations(c.suspect())
	if len(hashes) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, hash := range hashes {
		if e := g.registry.ByHash(hash); e != nil {
			c.tried = append(c.tried, e.Info().ID)
		}
	}
}
