package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/attempt"
	"github.com/weldfall/weldfall/engines/offer"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/route"
	"github.com/weldfall/weldfall/verdict"
)

// send offers the request to engines until one accepts it, and streams the response to the
// caller. It tries another engine only if the previous one certainly did not run the request.
func (e *Entry) send(ctx context.Context, c *call) *verdict.Error {
	ctx, cancel := context.WithTimeout(ctx, c.timeLeft(e.clk.Now()).Duration())
	defer cancel()
	if c.chat.WantsStream() {
		c.progress = e.durations.Begin(c.expected, c.start)
	}
	e.budget.deposit(c.values.Retry.BudgetRatio)
	q := route.Query{
		Key: c.chatKey, Affine: c.chatKey != 0, Returning: c.returning, Named: c.named, Hint: c.hint,
		Bound: c.values.Routing.LoadBound, Floor: c.values.Routing.LoadFloor, MaxTries: c.values.Retry.Attempts,
	}
	if q.Key == 0 {
		q.Key = rand.Uint64()
	}
	trial, err := e.admitSuspect(ctx, c, &q)
	if err != nil {
		return e.fail(c, err)
	}
	defer e.guard.EndTrial(c.quarantineRequest())
	var tries []route.Try
	var lastRefusal *verdict.Error
	for {
		if err := e.checkStay(c); err != nil {
			return e.fail(c, err)
		}
		d, to, mean := e.node.Choose(c.pool, q, tries)
		s, ok := d.(route.Send)
		if !ok {
			return e.rejectUnplaced(c, d.(route.Shed), lastRefusal)
		}
		c.attempts++
		c.lastOffer = s.Engine
		if trial {
			e.guard.StartTrial(c.quarantineRequest(), 0, s.Engine)
		}
		o, res := e.offers.Do(ctx, offer.Daemon{ID: to.ID, Addr: to.Addr}, e.newRun(c, s, mean), responseWriter{c, e.clk})
		e.node.RequestEnded(s.Engine)
		if !res.Refused {
			e.recordAttempt(c, o, res)
		}
		if _, ok := o.(attempt.Answered); ok {
			e.node.SampleLoads(res.Loads)
			c.engine, c.mode, c.result = s.Engine, s.Mode, res
			e.recordPlacement(c, s.Engine, homeInformed(c, s.Engine, tries))
			e.recordDuration(c)
			return nil
		}
		refusal, final := e.failedAttempt(s, o, res)
		if final != nil {
			return e.fail(c, drainError(ctx, final))
		}
		metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_refused_offers_total{reason=%q}`, refusal.Reason())).Inc()
		lastRefusal = refusal
		tries = append(tries, route.Try{
			Engine: s.Engine, Mode: s.Mode, Redirect: res.Redirect,
			NotCached: lastRefusal.Reason() == verdict.NotCached, Cached: res.Cached, OverBound: lastRefusal.Reason() == verdict.OverBound,
		})
		if usesRetryBudget(lastRefusal.Reason()) && !e.budget.withdraw() {
			metrics.GetOrCreateCounter("weldfall_retry_budget_spent_total").Inc()
			return e.fail(c, verdict.New(verdict.NotRun, lastRefusal.Reason(), "%s; the retry budget is exhausted", lastRefusal.Message()).WithRetryAfter(1000))
		}
	}
}

// failedAttempt classifies an attempt without a response. It returns a refusal if another engine
// may be tried, else the error with which the request fails.
func (e *Entry) failedAttempt(s route.Send, o attempt.Outcome, res wire.Result) (refusal, final *verdict.Error) {
	switch o := o.(type) {
	case attempt.Unsent:
		return verdict.From(o.Err), nil
	case attempt.Refused:
		e.node.ObserveRefusal(res.Loads)
		return verdict.From(o.Err), nil
	case attempt.Broken:
		e.node.SampleLoads(res.Loads)
		return nil, verdict.From(o.Err)
	case attempt.CallerGone:
		return nil, verdict.From(o.Err)
	}
	// Daemons report failures of engines as results, so there are no other outcomes.
	return nil, verdict.New(verdict.MayHaveRun, verdict.EngineFailed, "engine %s: unexpected outcome %T", s.Engine, o)
}

// responseWriter writes the response of an engine to the caller.
type responseWriter struct {
	c   *call
	clk *clock.Clock
}

// WriteFrames implements offer.ResponseWriter.
func (w responseWriter) WriteFrames(frames []wire.Frame) error { return w.c.writeFrames(frames, w.clk) }

// Started implements offer.ResponseWriter.
func (w responseWriter) Started() bool { return w.c.headerSent }

// usesRetryBudget reports whether a retry after the refusal counts against the retry budget.
// Refusals that are part of the search for the right engine do not, since they cannot multiply
// the load.
func usesRetryBudget(r verdict.Reason) bool {
	return r != verdict.NotCached && r != verdict.OverBound
}

// rejectUnplaced returns the error for a request when no engine is left to offer it to.
func (e *Entry) rejectUnplaced(c *call, s route.Shed, lastRefusal *verdict.Error) *verdict.Error {
	if s.Empty {
		return e.fail(c, verdict.New(verdict.NotRun, verdict.NoEngine, "pool %q has no live engine", c.pool).WithRetryAfter(2000))
	}
	if lastRefusal == nil {
		lastRefusal = verdict.New(verdict.NotRun, verdict.Overloaded, "no engine accepts the request")
	}
	wait := max(lastRefusal.RetryAfter(), 500)
	return e.fail(c, verdict.New(verdict.NotRun, verdict.Overloaded, "no engine accepts the request: %s", lastRefusal.Message()).WithRetryAfter(wait))
}

// fail returns err and releases the claims of a request that certainly did not run.
func (e *Entry) fail(c *call, err *verdict.Error) *verdict.Error {
	if err.Verdict() == verdict.NotRun && c.claimAttempt != 0 {
		e.releaseClaims(c, c.claimAttempt)
	}
	return err
}

// newRun returns the message that offers the request to an engine.
func (e *Entry) newRun(c *call, s route.Send, mean float64) wire.Run {
	v := c.values
	return wire.Run{
		Request: c.id, Engine: s.Engine, Mode: s.Mode,
		Partner: c.partner, Workspace: c.workspace, Service: c.service,
		PartnerShare: v.Fairness.PartnerShare, WorkspaceShare: v.Fairness.WorkspaceShare, Priority: v.Fairness.Priority,
		Chat:   c.chatKey,
		Method: c.r.Method, Path: targetPath(c), Header: targetHeader(c.r), Body: c.body,
		Stream: c.chat.WantsStream(), WantUsage: c.chat.WantsUsage(),
		Cost: c.chat.Cost(len(c.body)), Remaining: c.timeLeft(e.clk.Now()), Once: c.once,
		MeanLoad: mean, LoadBound: v.Routing.LoadBound, LoadFloor: v.Routing.LoadFloor, QueueLimit: v.Limits.QueuePerEngine, Loads: e.node.FreshestLoads(),
	}
}

// homeInformed reports whether the home engine of a chat knows that the chat is at engine: this
// entry informed it after an earlier turn, or it redirected the request there itself.
func homeInformed(c *call, engine string, tries []route.Try) bool {
	return c.hintLocal && c.hint == engine || slices.ContainsFunc(tries, func(t route.Try) bool { return t.Redirect == engine })
}

// recordPlacement records which engine serves the chat. If that is not the home engine of the
// chat, it informs the home engine, unless homeInformed is set.
func (e *Entry) recordPlacement(c *call, engine string, homeInformed bool) {
	if c.chatKey == 0 {
		return
	}
	e.mu.Lock()
	e.hints.Add(c.chatKey, engine)
	e.mu.Unlock()
	home, homeDaemon, ok := e.node.HomeEngine(c.pool, c.chatKey)
	if !ok || home == engine {
		return
	}
	metrics.GetOrCreateCounter("weldfall_spilled_total").Inc()
	if homeInformed {
		return
	}
	go func() {
		if conn, err := e.links.Get(homeDaemon.Addr, link.Control); err == nil {
			_ = conn.Notify(wire.MethodPlaced, wire.Placed{Home: home, Chat: c.chatKey, Engine: engine})
		}
	}()
}
