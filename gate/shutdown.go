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

// Times of a shutdown.
const (
	// graceMargin is the part of the grace that is reserved for the end of the process: for
	// errors to callers whose responses have not begun, and for the last log lines.
	graceMargin clock.Millis = 250
	// finalErrorsTimeout is how long sending those errors may take.
	finalErrorsTimeout clock.Millis = 100
)

// errGraceOver is the cancellation cause of requests that are still in flight when the
// process must end.
var errGraceOver = errors.New("this entry is stopping and its grace period is over")

// shutdown is the state of a stopping process. It is safe for concurrent use.
type shutdown struct {
	// startedAt is when the process was asked to stop, endsBy when it ends at the latest.
	// Both are 0 before.
	startedAt, endsBy atomic.Int64
	// idleClosed is true once the load balancer had time to notice and idle connections are
	// closed.
	idleClosed atomic.Bool
	// admittedAt is when a request was last admitted.
	admittedAt atomic.Int64
	// aborting is true once the process aborts what is still in flight.
	aborting atomic.Bool

	// estimate returns the estimated duration of the response to a call. It sorts some
	// hundred samples, so it is called only while the process is stopping.
	estimate func(c *call) duration.Estimate

	mu sync.Mutex
	// inFlight holds the calls that were admitted and have not ended.
	inFlight map[*call]struct{}
}

// started reports whether the process is stopping.
func (s *shutdown) started() bool { return s.endsBy.Load() != 0 }

// admit records a call as in flight. It returns false once the process aborts what is in
// flight, since the call would be missed.
func (s *shutdown) admit(c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aborting.Load() {
		return false
	}
	s.admittedAt.Store(int64(c.start))
	s.inFlight[c] = struct{}{}
	return true
}

// done removes a call that has ended.
func (s *shutdown) done(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, c)
}

// estimateFor returns the estimated duration of the response to a call, as estimated when
// the stopping process first needed it.
func (s *shutdown) estimateFor(c *call) duration.Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimateLocked(c)
}

// estimateLocked is estimateFor for callers that hold mu.
func (s *shutdown) estimateLocked(c *call) duration.Estimate {
	if c.estimate == nil {
		e := s.estimate(c)
		c.estimate = &e
	}
	return *c.estimate
}

// busyUntil returns when all calls in flight have ended at the latest unless an engine is
// silent, zero if there are none.
func (s *shutdown) busyUntil() clock.Millis { return s.lastEnd(duration.Estimate.MaxIfNotSilent) }

// lastEnd returns the latest end of the calls in flight, where length selects the
// duration from an estimate.
func (s *shutdown) lastEnd(length func(duration.Estimate) clock.Millis) clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	var at clock.Millis
	for c := range s.inFlight {
		at = max(at, c.start+length(s.estimateLocked(c)))
	}
	return at
}

// abortAll cancels the exchanges of all calls in flight.
func (s *shutdown) abortAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aborting.Store(true)
	for c := range s.inFlight {
		c.cancel(errGraceOver)
	}
}

// Stop implements peers.Host. The process ends when the calls in flight have ended, by
// their typical duration, but not before the load balancer has noticed.
func (g *Gate) Stop() peers.Stop {
	since := clock.Millis(g.shutdown.startedAt.Load())
	if since == 0 {
		return peers.Stop{}
	}
	busy := g.shutdown.lastEnd(func(e duration.Estimate) clock.Millis { return e.Typical })
	end := max(busy, since+g.bounds().BalancerLag+callers.QuietPeriod)
	return peers.Stop{Since: since, End: min(end, clock.Millis(g.shutdown.endsBy.Load()))}
}

// drain makes the process unready at once. It still serves new requests, since the load
// balancer needs some time to notice. Then it closes idle connections and returns when all
// responses are complete or the grace is over.
func (g *Gate) drain(srv *callers.Server) {
	start := g.clk.Now()
	b := g.bounds()
	end := start + b.Grace - graceMargin
	g.shutdown.startedAt.Store(int64(max(1, start)))
	g.shutdown.endsBy.Store(int64(end))
	g.log.Info("leaving", "cause", "stop", "active", g.active.Load(), "grace_ms", b.Grace)
	g.handOverOrigins()
	clock.Sleep(context.Background(), min(b.BalancerLag, end-start))
	g.log.Info("idle_closed", "connections", srv.CloseIdle())
	g.shutdown.idleClosed.Store(true)
	busy := func() bool { return g.active.Load() > 0 }
	srv.Drain(end, busy, func() clock.Millis { return clock.Millis(g.shutdown.admittedAt.Load()) })
	left := g.active.Load()
	g.shutdown.abortAll()
	for deadline := g.clk.Now() + finalErrorsTimeout; (busy() || srv.ActiveConns() > 0) && g.clk.Now() < deadline; {
		clock.Sleep(context.Background(), finalErrorsTimeout/10)
	}
	g.counts.cutAtStop.Add(int(left))
	// Connections that are still open are closed with the process.
	srv.Close()
	g.log.Info("left", "cut_off", left, "took_ms", g.clk.Now()-start)
}
