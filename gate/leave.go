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
	// finalAnswersTime is how long that word may take.
	finalAnswersTime clock.Millis = 100
)

// errGraceOver is why the request of a process ends that has to end itself.
var errGraceOver = errors.New("this entry's grace is over")

// shutdown is how far a process is with stopping. It is safe for concurrent use.
type shutdown struct {
	// startedAt is when it was told to stop, endsBy when it ends at the latest; both
	// are 0 before.
	startedAt, endsBy atomic.Int64
	// idleClosed is true once the balancer had the time to notice and idle
	// connections are closed.
	idleClosed atomic.Bool
	// admittedAt is when a request was last taken.
	admittedAt atomic.Int64
	// aborting is true once the process cuts off what is still running.
	aborting atomic.Bool

	// estimate says how long the answer to a call takes. It sorts some hundred
	// measurements, so no call is asked about before the process stops.
	estimate func(c *call) duration.Estimate

	mu sync.Mutex
	// inFlight holds the calls that were taken and are not done.
	inFlight map[*call]struct{}
}

// started reports whether the process is stopping.
func (l *shutdown) started() bool { return l.endsBy.Load() != 0 }

// admit records a call that was taken. It reports false once the process cuts
// off what runs: a call that came to it then would not be among that.
func (l *shutdown) admit(c *call) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aborting.Load() {
		return false
	}
	l.admittedAt.Store(int64(c.start))
	l.inFlight[c] = struct{}{}
	return true
}

// done records the end of a call.
func (l *shutdown) done(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inFlight, c)
}

// estimateFor returns how long the answer to a call estimateFor, as expected when a stopping
// process first asked.
func (l *shutdown) estimateFor(c *call) duration.Estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimateLocked(c)
}

// estimateLocked is takes for those who hold mu.
func (l *shutdown) estimateLocked(c *call) duration.Estimate {
	if c.estimate == nil {
		e := l.estimate(c)
		c.estimate = &e
	}
	return *c.estimate
}

// busyUntil returns when all that runs is done at the latest; zero if nothing
// does.
func (l *shutdown) busyUntil() clock.Millis {
	return l.lastEnd(func(e duration.Estimate) clock.Millis { return e.Max })
}

// lastEnd returns the lastEnd of the ends of all that runs, where an answer takes what
// of its estimate says.
func (l *shutdown) lastEnd(duration func(duration.Estimate) clock.Millis) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	var at clock.Millis
	for c := range l.inFlight {
		at = max(at, c.start+duration(l.estimateLocked(c)))
	}
	return at
}

// abortAll ends the exchanges of all that runs.
func (l *shutdown) abortAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.aborting.Store(true)
	for c := range l.inFlight {
		c.cancel(errGraceOver)
	}
}

// Stop implements peers.Host. The process ends when what runs has ended as it
// usually does, but not before the balancer has noticed.
func (g *Gate) Stop() peers.Stop {
	since := clock.Millis(g.shutdown.startedAt.Load())
	if since == 0 {
		return peers.Stop{}
	}
	busy := g.shutdown.lastEnd(func(e duration.Estimate) clock.Millis { return e.Typical })
	end := max(busy, since+g.bounds().BalancerLag+callers.Quiet)
	return peers.Stop{Since: since, End: min(end, clock.Millis(g.shutdown.endsBy.Load()))}
}

// drain turns unready at once and answers what comes in nevertheless, since
// the balancer needs a while to notice. Then it closes idle connections, and
// ends when all answers are out.
func (g *Gate) drain(srv *callers.Server) {
	start := g.clk.Now()
	b := g.bounds()
	end := start + b.Grace - graceMargin
	g.shutdown.startedAt.Store(int64(max(1, start)))
	g.shutdown.endsBy.Store(int64(end))
	g.log.Info("leaving", "cause", "stop", "active", g.active.Load(), "grace_ms", b.Grace)
	clock.Sleep(context.Background(), min(b.BalancerLag, end-start))
	g.log.Info("idle_closed", "connections", srv.CloseIdle())
	g.shutdown.idleClosed.Store(true)
	busy := func() bool { return g.active.Load() > 0 }
	srv.Drain(end, busy, func() clock.Millis { return clock.Millis(g.shutdown.admittedAt.Load()) })
	left := g.active.Load()
	g.shutdown.abortAll()
	for deadline := g.clk.Now() + finalAnswersTime; (busy() || srv.UnderWay() > 0) && g.clk.Now() < deadline; {
		clock.Sleep(context.Background(), finalAnswersTime/10)
	}
	g.counts.cutAtStop.Add(int(left))
	// What is still open is closed with the process.
	srv.Close()
	g.log.Info("left", "cut_off", left, "took_ms", g.clk.Now()-start)
}
