package gate

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/attempt"
	"github.com/weldfall/weldfall/engines/turn"
	"github.com/weldfall/weldfall/table"
	"github.com/weldfall/weldfall/verdict"
)

// turns holds the queues of the services.
type turns struct {
	// mu guards the fields below and all queues.
	mu       sync.Mutex
	services map[string]*serviceTurns
}

// serviceTurns is the queue of a service.
type serviceTurns struct {
	*turn.Queue
	service, label string
	limits         turn.Limits
	// granted holds a channel for each request that waits. It is closed when the request
	// is admitted.
	granted map[*turn.Ticket]chan struct{}
	waits   *metrics.Histogram
}

// turnPlace is the place of a request in the queue of its service.
type turnPlace struct {
	queue  *serviceTurns
	ticket *turn.Ticket
	// returning is true if the caller was refused before.
	returning bool
}

// of returns the queue of a service. The caller holds mu.
func (t *turns) of(service string) *serviceTurns {
	if s := t.services[service]; s != nil {
		return s
	}
	if t.services == nil {
		t.services = map[string]*serviceTurns{}
	}
	label := serviceLabel(service, len(t.services))
	s := &serviceTurns{
		Queue: turn.NewQueue(), service: service, label: label, granted: map[*turn.Ticket]chan struct{}{},
		waits: metrics.GetOrCreateHistogram(fmt.Sprintf("weldfall_turn_wait_seconds{service=%q}", label)),
	}
	t.services[service] = s
	return s
}

// grant tells requests that they are admitted. The caller holds mu of turns.
func (s *serviceTurns) grant(admitted []*turn.Ticket) {
	for _, t := range admitted {
		close(s.granted[t])
		delete(s.granted, t)
	}
}

// measure sets the gauges. The caller holds mu of turns.
func (s *serviceTurns) measure() {
	if s.label == otherServices {
		return
	}
	metrics.GetOrCreateGauge(fmt.Sprintf("weldfall_turn_window{service=%q}", s.label), nil).Set(s.Window())
	metrics.GetOrCreateGauge(fmt.Sprintf("weldfall_turn_queue{service=%q}", s.label), nil).Set(float64(s.Waiting()))
}

// request returns what the queue needs to know about a call.
func (c *call) turnRequest(now clock.Millis) turn.Request {
	callerLeft := clock.Millis(0)
	if c.callerTimeout > 0 {
		callerLeft = c.start + c.callerTimeout - now
	}
	return turn.Request{
		Priority: priority(c), OverShare: c.overShare, Returning: c.turn.returning, Elapsed: now - c.start,
		Goal: c.route.GoalOrDefault(), Left: c.timeLeft(now), CallerLeft: callerLeft, Random: random(),
	}
}

// awaitTurn waits until a request may be sent to a service whose engines report no load, or
// refuses it. Nothing is limited until an engine of the service has rejected a request for
// lack of room. Streams occupy an engine for long and need no turn.
func (g *Gate) awaitTurn(ctx context.Context, c *call) *verdict.Error {
	if c.route.Kind == table.Stream {
		return nil
	}
	now := g.clk.Now()
	granted, err := g.enterTurn(c, now)
	if err != nil || granted == nil {
		return err
	}
	err = g.waitForTurn(ctx, c, granted, now)
	c.turnWait = g.clk.Now() - now
	c.turn.queue.waits.Update(inSeconds(c.turnWait))
	return err
}

// admitPeriod is how often a returning request looks whether those that it leaves places to
// still come.
const admitPeriod clock.Millis = 20

// waitForTurn waits until a request is admitted, its wait is over or its caller leaves.
func (g *Gate) waitForTurn(ctx context.Context, c *call, granted <-chan struct{}, now clock.Millis) *verdict.Error {
	leaveAt := c.turn.ticket.LeaveAt()
	for {
		pause := max(0, leaveAt-now)
		if c.turn.returning {
			pause = min(pause, admitPeriod)
		}
		passed := make(chan struct{})
		stop := clock.AfterFuncWithStop(pause, func() { close(passed) })
		select {
		case <-granted:
			stop()
			return nil
		case <-ctx.Done():
			stop()
			return cancelled(ctx, c)
		case <-passed:
		}
		now = g.clk.Now()
		if now >= leaveAt {
			return g.leaveTurn(c)
		}
		g.turns.mu.Lock()
		c.turn.queue.grant(c.turn.queue.Admit(now))
		g.turns.mu.Unlock()
	}
}

// enterTurn gives a request its turn and returns nil, or a channel that is closed when it has
// its turn, or an error if it is refused.
func (g *Gate) enterTurn(c *call, now clock.Millis) (<-chan struct{}, *verdict.Error) {
	g.turns.mu.Lock()
	defer g.turns.mu.Unlock()
	s := g.turns.of(c.service)
	if over, admitted := s.Expire(now); over {
		s.grant(admitted)
		s.measure()
		g.log.Info("turn_window", "service", c.service, "in_force", false)
	}
	c.turn.queue = s
	c.turn.returning = s.limits.Record(c.route.Name, c.callerTimeout)
	t, refusal := s.Arrive(c.turnRequest(now), now)
	if t == nil {
		return nil, g.refuseTurn(c, refusal)
	}
	c.turn.ticket = t
	if t.Admitted() {
		return nil, nil
	}
	granted := make(chan struct{})
	s.granted[t] = granted
	s.measure()
	return granted, nil
}

// leaveTurn refuses a request whose wait is over, unless it was admitted meanwhile.
func (g *Gate) leaveTurn(c *call) *verdict.Error {
	now := g.clk.Now()
	g.turns.mu.Lock()
	defer g.turns.mu.Unlock()
	if c.turn.ticket.Admitted() {
		return nil
	}
	c.turnWait = now - c.start
	return g.refuseTurn(c, c.turn.queue.Refuse(c.turnRequest(now), now))
}

// refuseTurn logs and counts a refusal and returns its error.
func (g *Gate) refuseTurn(c *call, r turn.Refusal) *verdict.Error {
	g.logTurn(c, r, "queue")
	metrics.GetOrCreateCounter(fmt.Sprintf("weldfall_turn_refused_total{service=%q,priority=\"%d\"}", c.turn.queue.label, priority(c))).Inc()
	return verdict.New(c.verdict(), verdict.Overloaded, "the engines of %s are full, %d requests wait here, a turn takes %d ms", c.service, r.Queued, r.Wait).WithRetryAfter(r.Back)
}

// logTurn logs a refusal. by is "queue" if the request was not sent to an engine, "engines" if
// they rejected it.
func (g *Gate) logTurn(c *call, r turn.Refusal, by string) {
	g.log.Info("turn", "request", c.id, "service", c.service, "route", c.route.Name, "workspace", c.workspaceName(), "priority", priority(c), "over_share", c.overShare, "by", by,
		"queued", r.Queued, "window", tenths(r.Window), "pace", tenths(r.Pace), "wait_ms", r.Wait, "waited_ms", c.turnWait, "limit_ms", c.callerTimeout, "back_ms", r.Back, "returning", c.turn.returning)
}

// endTurn returns the place of a request that was given a turn, or takes it from the queue.
// Further calls do nothing.
func (g *Gate) endTurn(c *call) {
	s, t := c.turn.queue, c.turn.ticket
	if t == nil {
		return
	}
	c.turn.ticket = nil
	g.turns.mu.Lock()
	defer g.turns.mu.Unlock()
	delete(s.granted, t)
	s.grant(s.End(t, g.clk.Now()))
	if s.InForce() {
		s.measure()
	}
}

// observeRejection records that an engine rejected a request for lack of room.
func (g *Gate) observeRejection(c *call, e engines.Info, status int) {
	s := c.turn.queue
	if s == nil || status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return
	}
	now := g.clk.Now()
	g.mu.Lock()
	in := g.registry.Find(e.Incarnation())
	plain := in != nil && !g.registry.ReportsLoad(e.Service)
	if plain {
		in.RecordRejection(now)
	}
	g.mu.Unlock()
	if !plain {
		return
	}
	g.turns.mu.Lock()
	defer g.turns.mu.Unlock()
	if s.Rejected(now) {
		g.logWindow(c, e, "rejection")
	}
	s.measure()
}

// logWindow logs that the window of a service came into force.
func (g *Gate) logWindow(c *call, e engines.Info, cause string) {
	g.log.Info("turn_window", "service", c.service, "in_force", true, "window", tenths(c.turn.queue.Window()), "cause", cause, "engine", e.ID, "request", c.id)
}

// observeResponse records the response time of an engine for a request sent at sentAt.
func (g *Gate) observeResponse(c *call, e engines.Info, o attempt.Outcome, sentAt clock.Millis) {
	s := c.turn.queue
	if s == nil {
		return
	}
	switch o.(type) {
	case attempt.Answered, attempt.Failed:
	default:
		return
	}
	now := g.clk.Now()
	g.mu.Lock()
	in := g.registry.Find(e.Incarnation())
	plain := in != nil && !g.registry.ReportsLoad(e.Service)
	if plain {
		in.RecordResponseTime(now-sentAt, now)
	}
	g.mu.Unlock()
	if !plain {
		return
	}
	g.turns.mu.Lock()
	defer g.turns.mu.Unlock()
	if s.Responded(now-sentAt, c.route.GoalOrDefault(), now) {
		g.logWindow(c, e, "returning callers")
	}
}

// retryAfterRejection returns when the caller of a request that did not run should return.
func (g *Gate) retryAfterRejection(c *call, o attempt.Outcome, now clock.Millis) clock.Millis {
	g.mu.Lock()
	resting, until := g.allRest(c, now)
	g.mu.Unlock()
	if resting > 0 {
		return retryAfterRest(until, now)
	}
	s := c.turn.queue
	if _, refused := o.(attempt.Refused); !refused || s == nil {
		return retrySoon
	}
	g.turns.mu.Lock()
	defer g.turns.mu.Unlock()
	if !s.InForce() {
		return retrySoon
	}
	r := s.Refuse(c.turnRequest(now), now)
	g.logTurn(c, r, "engines")
	return r.Back
}

// turnsScarce reports whether requests that no engine has run are refused for lack of room. A
// second run of one that failed would take the place of another.
func (g *Gate) turnsScarce(c *call, now clock.Millis) bool {
	s := c.turn.queue
	if s == nil {
		return false
	}
	g.turns.mu.Lock()
	defer g.turns.mu.Unlock()
	return s.Scarce(now)
}
