package gate

import (
	"context"
	"errors"

	"github.com/weldfall/weldfall/common/clock"
)

// errOverdue is the cancellation cause of requests whose deadline passed while the instance
// was suspended.
var errOverdue = errors.New("the deadline of the request passed while this entry was suspended")

// overdueDelay is the time after a suspension for reading responses that arrived meanwhile,
// before overdue requests are cancelled.
const overdueDelay clock.Millis = 200

// onSuspend handles the end of a suspension of the instance. Ages include the gap by
// themselves. Idle connections may be dead, and timers fire late by the gap, so overdue
// requests are cancelled here.
func (g *Gate) onSuspend(gap clock.Millis) {
	g.log.Warn("suspended", "gap_ms", gap)
	g.pool.CloseIdle()
	clock.Sleep(context.Background(), overdueDelay)
	if n := g.shutdown.abortOverdue(g.clk.Now()); n > 0 {
		g.log.Warn("overdue", "requests", n, "gap_ms", gap)
	}
}

// abortOverdue cancels the exchanges of calls in flight whose deadline has passed and
// returns their number.
func (s *shutdown) abortOverdue(now clock.Millis) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.inFlight {
		if c.timeLeft(now) > 0 {
			continue
		}
		n++
		c.cancel(errOverdue)
		if c.readingBody.Load() {
			// A connection that does not support deadlines is bounded by the request's context.
			_ = c.rc.SetReadDeadline(clock.Deadline(0))
		}
	}
	return n
}
