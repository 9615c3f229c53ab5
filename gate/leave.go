package gate

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/duration"
	"github.com/weldfall/weldfall/peers"
)

// Stopping.
const (
	// graceMargin is left of the grace for the end of the process itself: for
	// word to the callers whose answers have not begun, and for the last lines
	// of the log.
	graceMargin clock.Millis = 250
	// lastWords is how long that word may take.
	lastWords clock.Millis = 100
)

// errGraceOver is why the request of a process ends that has to end itself.
var errGraceOver = errors.New("this entry's grace is over")

// leave is how far a process is with stopping. It is safe for concurrent use.
type leave struct {
	// since is when it was told to stop, by when it ends at the latest; both
	// are 0 before.
	since, by atomic.Int64
	// idleClosed is true once the balancer had the time to notice and idle
	// connections are closed.
	idleClosed atomic.Bool
	// tookAt is when a request was last taken.
	tookAt atomic.Int64
	// over is true once the process cuts off what is still running.
	over atomic.Bool

	// estimate says how long the answer to a call takes. It sorts some hundred
	// measurements, so no call is asked about before the process stops.
	estimate func(c *call) duration.Estimate

	mu sync.Mutex
	// running holds the calls that were taken and are not done.
	running map[*call]struct{}
}

// begun reports whether the process is stopping.
func (l *leave) begun() bool { return l.by.Load() != 0 }

// take records a call that was taken. It reports false once the process cuts
// off what runs: a call that came to it then would not be among that.
func (l *leave) take(c *call) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over.Load() {
		return false
	}
	l.tookAt.Store(int64(c.start))
	l.running[c] = struct{}{}
	return true
}

// done records the end of a call.
func (l *leave) done(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, c)
}

// takes returns how long the answer to a call takes, as expected when a stopping
// process first asked.
func (l *leave) takes(c *call) duration.Estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.takesOf(c)
}

// takesOf is takes for those who hold mu.
func (l *leave) takesOf(c *call) duration.Estimate {
	if c.takes == nil {
		e := l.estimate(c)
		c.takes = &e
	}
	return *c.takes
}

// busyUntil returns when all that runs is done at the latest; zero if nothing
// does.
func (l *leave) busyUntil() clock.Millis {
	return l.last(func(e duration.Estimate) clock.Millis { return e.Max })
}

// last returns the last of the ends of all that runs, where an answer takes what
// of its estimate says.
func (l *leave) last(of func(duration.Estimate) clock.Millis) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	var at clock.Millis
	for c := range l.running {
		at = max(at, c.start+of(l.takesOf(c)))
	}
	return at
}

// cutOff ends the exchanges of all that runs.
func (l *leave) cutOff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over.Store(true)
	for c := range l.running {
		c.cancel(errGraceOver)
	}
}

// Stop implements peers.Host. The process ends when what runs has ended as it
// usually does, but not before the balancer has noticed.
func (g *Gate) Stop() peers.Stop {
	since := clock.Millis(g.leave.since.Load())
	if since == 0 {
		return peers.Stop{}
	}
	busy := g.leave.last(func(e duration.Estimate) clock.Millis { return e.Typical })
	end := max(busy, since+g.bounds().BalancerLag+callers.Quiet)
	return peers.Stop{Since: since, End: min(end, clock.Millis(g.leave.by.Load()))}
}

// drain turns unready at once and answers what comes in nevertheless, since
// the balancer needs a while to notice. Then it closes idle connections, and
// ends when all answers are out.
func (g *Gate) drain(srv *callers.Server) {
	start := g.clk.Now()
	b := g.bounds()
	end := start + b.Grace - graceMargin
	g.leave.since.Store(int64(max(1, start)))
	g.leave.by.Store(int64(end))
	g.log.Info("leaving", "cause", "stop", "active", g.active.Load(), "grace_ms", b.Grace)
	clock.Sleep(context.Background(), min(b.BalancerLag, end-start))
	g.log.Info("idle_closed", "connections", srv.CloseIdle())
	g.leave.idleClosed.Store(true)
	busy := func() bool { return g.active.Load() > 0 }
	srv.Drain(end, busy, func() clock.Millis { return clock.Millis(g.leave.tookAt.Load()) })
	left := g.active.Load()
	g.leave.cutOff()
	for said := g.clk.Now() + lastWords; (busy() || srv.UnderWay() > 0) && g.clk.Now() < said; {
		clock.Sleep(context.Background(), lastWords/10)
	}
	g.counts.cutAtStop.Add(int(left))
	// What is still open is closed with the process.
	srv.Close()
	g.log.Info("left", "cut_off", left, "took_ms", g.clk.Now()-start)
}
