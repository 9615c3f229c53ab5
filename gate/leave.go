package gate

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/verdict"
)

// Stopping.
const (
	// drainPeriod is how often a stopping process looks whether it may end.
	drainPeriod clock.Millis = 50
	// drainQuiet is how long nothing must have been taken before a stopping
	// process ends, once it has closed its idle connections: a few round trips
	// to callers.
	drainQuiet clock.Millis = 300
	// graceMargin is left of the grace for the end of the process itself.
	graceMargin clock.Millis = 400
	// stayShare and stayMargin allow for an answer that takes longer than the
	// longest that a stopping process has seen of a route: of a hundred answers
	// one is longer than the ninety-nine, by a tenth or so, and the load may be
	// higher now.
	stayShare               = 1.25
	stayMargin clock.Millis = 300
)

// leave is how far a process is with stopping. It is safe for concurrent use.
type leave struct {
	// since is when it was told to stop, by when it ends at the latest; both
	// are 0 before.
	since, by atomic.Int64
	// idleClosed is true once the balancer had the time to notice and idle
	// connections are closed.
	idleClosed atomic.Bool
	// busyUntil is when all that was taken so far is expected to be done.
	busyUntil atomic.Int64
	// tookAt is when a request was last taken.
	tookAt atomic.Int64
	// over is true once the process cuts off what is still running.
	over atomic.Bool
}

// begun reports whether the process is stopping.
func (l *leave) begun() bool { return l.by.Load() != 0 }

// take records a request that is expected to be done at the given time.
func (l *leave) take(now, done clock.Millis) {
	l.tookAt.Store(int64(now))
	for {
		until := l.busyUntil.Load()
		if int64(done) <= until || l.busyUntil.CompareAndSwap(until, int64(done)) {
			return
		}
	}
}

// LeavingSince implements peers.Facts.
func (g *Gate) LeavingSince() clock.Millis { return clock.Millis(g.leave.since.Load()) }

// stay refuses what a stopping process would have to cut off, and, if others
// can take it, what would keep the process from ending. It has run nowhere and
// can be sent elsewhere at once. Entries that are stopped one after the other
// are so back sooner: stopped a second apart, four of them refused 686 of 7,277
// requests while each took what came until its grace was nearly over.
func (g *Gate) stay(_ context.Context, c *call) *verdict.Error {
	now := c.start
	longest, answers := g.durations.longest(c.route)
	need := min(clock.Millis(stayShare*float64(longest))+stayMargin, c.left(now))
	if g.leave.begun() {
		end := g.servesUntil()
		taken := now+need <= end
		g.logStay(c, taken, need, end, answers)
		if !taken {
			return verdict.New(verdict.NotRun, verdict.Leaving, "this entry takes what ends within %d ms, the request may take %d", max(0, end-now), need).WithRetryAfter(retryAtOnce)
		}
	}
	g.leave.take(now, now+need)
	return nil
}

// logStay tells what a stopping process does with a request: how long it may
// take, on how many answers that rests, how old the process is, which has seen
// no answer that takes longer, by when it must be done, and when the process
// ends at the latest.
func (g *Gate) logStay(c *call, taken bool, need, end clock.Millis, answers int) {
	g.counts.stopping[taken].Inc()
	g.log.Info("stopping", "request", c.id, "route", c.route.Name, "taken", taken, "need_ms", need, "answers", answers,
		"process_age_ms", c.start-g.began, "room_ms", max(0, end-c.start), "ends_in_ms", clock.Millis(g.leave.by.Load())-c.start)
}

// servesUntil returns by when a request must be done that a stopping process
// takes: by its own end, or, if others serve in its place, by the end of what
// it is doing anyway.
func (g *Gate) servesUntil() clock.Millis {
	by := clock.Millis(g.leave.by.Load())
	if !g.leave.idleClosed.Load() || !g.replaced() {
		return by
	}
	if g.active.Load() <= 1 {
		// Nothing else is under way.
		return 0
	}
	return min(by, clock.Millis(g.leave.busyUntil.Load()))
}

// replaced reports whether others serve in place of this stopping entry. A
// caller who is refused comes back to another by chance, and often only once,
// so of those that are stopping no more refuse than others serve, the first of
// them at least, if another stays longer. Without word of others none does.
func (g *Gate) replaced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.fleet
	return f.Serving+f.Later > 0 && f.Earlier < max(1, f.Serving)
}

// drain turns unready at once and answers what comes in nevertheless, since
// the balancer needs a while to notice. Then it closes idle connections, and
// ends when all answers are out.
func (g *Gate) drain(srv *http.Server, conns *callerConns) {
	start := g.clk.Now()
	b := g.bounds()
	end := start + b.Grace - graceMargin
	g.leave.since.Store(int64(max(1, start)))
	g.leave.by.Store(int64(end))
	g.log.Info("leaving", "cause", "stop", "active", g.active.Load(), "grace_ms", b.Grace)
	clock.Sleep(context.Background(), min(b.BalancerLag, end-start))
	g.log.Info("idle_closed", "connections", conns.closeIdle())
	g.leave.idleClosed.Store(true)
	closed := g.clk.Now()
	for g.clk.Now() < end {
		quiet := g.clk.Now() - max(closed, clock.Millis(g.leave.tookAt.Load()))
		if g.active.Load() == 0 && quiet >= drainQuiet {
			break
		}
		conns.closeIdle()
		clock.Sleep(context.Background(), drainPeriod)
	}
	left := g.active.Load()
	g.leave.over.Store(true)
	// What is still open is closed with the process.
	_ = srv.Close()
	g.counts.cutAtStop.Add(int(left))
	g.log.Info("left", "cut_off", left, "took_ms", g.clk.Now()-start)
}
