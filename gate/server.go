package gate

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"

	"github.com/weldfall/weldfall/common/clock"
)

// Bounds towards callers that hold before the operators' are known.
const (
	maxHeader = 64 << 10
	// headerTimeout bounds the time in which a head must arrive.
	headerTimeout clock.Millis = 5000
	// idleTimeout is how long an idle connection is kept.
	idleTimeout clock.Millis = 60_000
)

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	now := g.clk.Now()
	g.lastSeen.Store(int64(now))
	c := &call{w: w, rc: http.NewResponseController(w), r: r, start: now, until: now + longestHold}
	g.serve(r.Context(), c)
	if c.cut {
		// The library closes the connection in mid-answer, so that it cannot
		// look whole.
		panic(http.ErrAbortHandler)
	}
}

// Run serves callers on ln until ctx is done, and then until what is in
// flight has finished or the grace is over.
func (g *Gate) Run(ctx context.Context, ln net.Listener) error {
	conns := newCallerConns(ln, g.clk)
	srv := &http.Server{
		ConnState: conns.state, Handler: g, MaxHeaderBytes: maxHeader,
		ErrorLog: slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
	sweepCtx, stopSweep := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSweep()
	go clock.Every(sweepCtx, sweepPeriod, func() {
		g.pool.Sweep()
		conns.sweep(g.callerTimeouts())
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ctx.Done()
		g.drain(srv, conns)
	}()
	if err := srv.Serve(conns); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers on %s: %w", ln.Addr(), err)
	}
	<-done
	return nil
}

// callerTimeouts returns how long a caller's connection may rest, and how long
// a head may take, by the table in force.
func (g *Gate) callerTimeouts() (idle, head clock.Millis) {
	idle, head = idleTimeout, headerTimeout
	if t := g.table.Load(); t != nil {
		idle, head = cmp.Or(t.Limits().Idle, idle), cmp.Or(t.Limits().Header, head)
	}
	return idle, head
}

// sweepPeriod is how often the connections are looked through.
const sweepPeriod clock.Millis = 1000

// Stopping.
const (
	// drainPeriod is how often a stopping process looks whether it may end.
	drainPeriod clock.Millis = 50
	// drainQuiet is how long nothing must have come in before a stopping
	// process ends, once it has closed its idle connections: a few round trips
	// to callers.
	drainQuiet clock.Millis = 300
	// graceMargin is left of the grace for the end of the process itself.
	graceMargin clock.Millis = 400
)

// drain turns unready at once and answers what comes in nevertheless, since
// the balancer needs a while to notice. Then it closes idle connections, and
// ends when all answers are out.
func (g *Gate) drain(srv *http.Server, conns *callerConns) {
	start := g.clk.Now()
	b := g.bounds()
	end := start + b.Grace - graceMargin
	g.leaveBy.Store(int64(end))
	g.log.Info("leaving", "cause", "stop", "active", g.active.Load(), "grace_ms", b.Grace)
	clock.Sleep(context.Background(), min(b.BalancerLag, end-start))
	g.log.Info("idle_closed", "connections", conns.closeIdle())
	closed := g.clk.Now()
	for g.clk.Now() < end {
		quiet := g.clk.Now() - max(closed, clock.Millis(g.lastSeen.Load()))
		if g.active.Load() == 0 && quiet >= drainQuiet {
			break
		}
		conns.closeIdle()
		clock.Sleep(context.Background(), drainPeriod)
	}
	left := g.active.Load()
	// What is still open is closed with the process.
	_ = srv.Close()
	g.log.Info("left", "cut_off", left, "took_ms", g.clk.Now()-start)
}
