package gate

import (
	"cmp"
	"context"
	"net"
	"net/http"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/common/clock"
)

// Limits on callers until those of the operators are known.
const (
	maxHeaderBytes = 64 << 10
	// headerTimeout is how long a request header may take to arrive.
	headerTimeout clock.Millis = 5000
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout clock.Millis = 60_000
)

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	c := g.newCall(w, r)
	defer c.received.Release()
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	c.cancel = cancel
	defer g.shutdown.done(c)
	callers.SetRequest(ctx, r.Header.Get(g.wire.RequestID), g.tableVersion())
	defer callers.OnDisconnect(ctx, cancel)()
	g.serve(ctx, c)
	if c.reply.Aborted() && !c.failureWritten {
		callers.Abort(w, r)
	}
}

// newCall returns the call for a request whose header has been read.
func (g *Gate) newCall(w http.ResponseWriter, r *http.Request) *call {
	now := g.clk.Now()
	c := &call{w: w, rc: http.NewResponseController(w), r: r, start: now, giveUpAt: now + maxRequestTime}
	c.received = g.bodies.Body(c.interruptRead)
	c.reply = g.replyTo(c)
	return c
}

// Run serves callers on ln until ctx is done, and then until the requests in flight have
// ended or the grace is over.
func (g *Gate) Run(ctx context.Context, ln net.Listener) error {
	srv := callers.New(callers.Config{
		Handler: g, MaxHeaderBytes: maxHeaderBytes, MaxConns: g.cfg.MaxConns, Limits: g.callerLimits, Link: g.cfg.Link, Clock: g.clk, Log: g.log,
	})
	sweepCtx, stopSweep := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSweep()
	self := newSelfCheck(g.clk.Now())
	go clock.Every(sweepCtx, sweepPeriod, func() {
		g.sweep()
		self.check(g.clk.Now(), g.log)
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ctx.Done()
		g.drain(srv)
	}()
	if err := srv.Serve(ln); err != nil {
		return err
	}
	<-done
	return nil
}

// callerLimits returns the limits of the table in force on connections of callers.
func (g *Gate) callerLimits() callers.Limits {
	l := callers.Limits{Idle: idleTimeout, Header: headerTimeout}
	if t := g.table.Load(); t != nil {
		l = callers.Limits{Idle: cmp.Or(t.Limits().Idle, l.Idle), Header: cmp.Or(t.Limits().Header, l.Header), Version: t.Version()}
	}
	return l
}

// tableVersion returns the version of the table in force, 0 if there is none.
func (g *Gate) tableVersion() int64 {
	if t := g.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// sweep discards expired state and logs retries.
func (g *Gate) sweep() {
	g.pool.CloseExpired()
	g.guard.Sweep()
	g.origins.Sweep(g.clk.Now())
	g.logRetries()
}

// sweepPeriod is the interval of sweeps and self-checks.
const sweepPeriod clock.Millis = 1000
