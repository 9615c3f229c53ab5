package gate

import (
	"context"
	"errors"

	"github.com/weldfall/weldfall/common/clock"
)

// errOverdue is why the exchange of a request ends whose time was over while the instance
// was suspended.
var errOverdue = errors.New("the request's time was over while this entry was suspended")

// overdueDelay is how long after a suspension answers that had come meanwhile have to be
// read, before what is overdue is given up.
const overdueDelay clock.Millis = 200

// onSuspend takes word that the instance was onSuspend for a while. Ages count that by
// themselves. Connections that rested may have died, and timers are late by as long, so
// requests that are overdue are given up here.
func (g *Gate) onSuspend(gap clock.Millis) {
	g.log.Warn("suspended", "gap_ms", gap)
	g.pool.ForgetIdle()
	clock.Sleep(context.Background(), overdueDelay)
	if n := g.shutdown.abortOverdue(g.clk.Now()); n > 0 {
		g.log.Warn("overdue", "requests", n, "gap_ms", gap)
	}
}

// abortOverdue ends the exchanges of what runs and should have been given up, and returns
// how many there are.
func (l *shutdown) abortOverdue(now clock.Millis) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.inFlight {
		if c.timeLeft(now) > 0 {
			continue
		}
		n++
		c.cancel(errOverdue)
		if c.readingBody.Load() {
			// A connection without deadlines is bounded by the request's context.
			_ = c.rc.SetReadDeadline(clock.Deadline(0))
		}
	}
	return n
}
