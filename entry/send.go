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

// send offers the request to engines until one takes it, and streams the
// answer. Another engine is tried only after a refusal that is certain.
func (e *Entry) send(ctx context.Context, c *call) *verdict.Error {
	ctx, cancel := context.WithTimeout(ctx, c.left(e.clk.Now()).Duration())
	defer cancel()
	e.budget.earn(c.values.Retry.BudgetRatio)
	q := route.Query{
		Key: c.chatKey, Affine: c.chatKey != 0, Returning: c.returning, Named: c.named, Hint: c.hint,
		Bound: c.values.Routing.LoadBound, Floor: c.values.Routing.LoadFloor, MaxTries: c.values.Retry.Attempts,
	}
	if q.Key == 0 {
		q.Key = rand.Uint64()
	}
	alone, err := e.admitSuspect(ctx, c, &q)
	if err != nil {
		return e.failed(c, err)
	}
	defer e.guard.EndTrial(c.suspect())
	var tries []route.Try
	var last *verdict.Error
	for {
		d, to, mean := e.node.Choose(c.pool, q, tries)
		s, ok := d.(route.Send)
		if !ok {
			return e.shed(c, d.(route.Shed), last)
		}
		c.attempts++
		c.offered = s.Engine
		if alone {
			e.guard.StartTrial(c.suspect(), 0, s.Engine)
		}
		o, res := e.offers.Do(ctx, offer.Daemon{ID: to.ID, Addr: to.Addr}, e.runOf(c, s, mean), answer{c, e.clk})
		e.node.RequestEnded(s.Engine)
		if !res.Refused {
			e.learnEnd(c, o, res)
		}
		if _, ok := o.(attempt.Answered); ok {
			e.node.SampleLoads(res.Loads)
			c.engine, c.mode, c.result = s.Engine, s.Mode, res
			e.afterAnswer(c, s.Engine, homeKnows(c, s.Engine, tries))
			return nil
		}
		refusal, final := e.refusal(s, o, res)
		if final != nil {
			return e.failed(c, final)
		}
		metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_refused_offers_total{reason=%q}`, refusal.Reason())).Inc()
		last = refusal
		tries = append(tries, route.Try{
			Engine: s.Engine, Mode: s.Mode, Redirect: res.Redirect,
			NotCached: last.Reason() == verdict.NotCached, Cached: res.Cached, OverBound: last.Reason() == verdict.OverBound,
		})
		if isFault(last.Reason()) && !e.budget.spend() {
			metrics.GetOrCreateCounter("weldfall_retry_budget_spent_total").Inc()
			return e.failed(c, verdict.New(verdict.NotRun, last.Reason(), "%s; the retry budget is spent", last.Message()).WithRetryAfter(1000))
		}
	}
}

// refusal takes an attempt that brought no answer: it returns the refusal after which
// another engine may be asked, or else the final failure.
func (e *Entry) refusal(s route.Send, o attempt.Outcome, res wire.Result) (refusal, final *verdict.Error) {
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
	// Daemons tell the failures of engines as results, so nothing else comes.
	return nil, verdict.New(verdict.MayHaveRun, verdict.EngineFailed, "engine %s: %T", s.Engine, o)
}

// answer passes what comes back of a call on to its caller.
type answer struct {
	c   *call
	clk *clock.Clock
}

// WriteFrames implements offer.ResponseWriter.
func (a answer) WriteFrames(frames []wire.Frame) error { return a.c.write(frames, a.clk) }

// Started implements offer.ResponseWriter.
func (a answer) Started() bool { return a.c.headSent }

// isFault tells refusals that retries could multiply from the ordinary steps
// of finding the right engine.
func isFault(r verdict.Reason) bool {
	return r != verdict.NotCached && r != verdict.OverBound
}

// shed is the final answer when no engine is left to offer the request to.
func (e *Entry) shed(c *call, s route.Shed, last *verdict.Error) *verdict.Error {
	if s.Empty {
		return e.failed(c, verdict.New(verdict.NotRun, verdict.NoEngine, "pool %q has no live engine", c.pool).WithRetryAfter(2000))
	}
	if last == nil {
		last = verdict.New(verdict.NotRun, verdict.Overloaded, "no engine takes the request")
	}
	wait := max(last.RetryAfter(), 500)
	return e.failed(c, verdict.New(verdict.NotRun, verdict.Overloaded, "no engine takes the request: %s", last.Message()).WithRetryAfter(wait))
}

// failed gives the claim of a request back that certainly has not run.
func (e *Entry) failed(c *call, err *verdict.Error) *verdict.Error {
	if err.Verdict() == verdict.NotRun && c.claimed != 0 {
		e.release(c, c.claimed)
	}
	return err
}

// runOf builds the message that offers the request.
func (e *Entry) runOf(c *call, s route.Send, mean float64) wire.Run {
	v := c.values
	return wire.Run{
		Request: c.id, Engine: s.Engine, Mode: s.Mode,
		Partner: c.partner, Workspace: c.workspace, Service: c.service,
		PartnerShare: v.Fairness.PartnerShare, WorkspaceShare: v.Fairness.WorkspaceShare, Priority: v.Fairness.Priority,
		Chat:   c.chatKey,
		Method: c.r.Method, Path: targetPath(c), Header: targetHeader(c.r), Body: c.body,
		Stream: c.chat.WantsStream(), WantUsage: c.chat.WantsUsage(),
		Cost: c.chat.Cost(len(c.body)), Remaining: c.left(e.clk.Now()), Once: c.once,
		MeanLoad: mean, LoadBound: v.Routing.LoadBound, LoadFloor: v.Routing.LoadFloor, QueueLimit: v.Limits.QueuePerEngine, Loads: e.node.FreshestLoads(),
	}
}

// homeKnows reports whether the home of a chat has been told that it is at
// engine: by this entry after an earlier turn, or it was the home that said so.
func homeKnows(c *call, engine string, tries []route.Try) bool {
	return c.hintIsOwn && c.hint == engine || slices.ContainsFunc(tries, func(t route.Try) bool { return t.Redirect == engine })
}

// afterAnswer remembers where the chat is now, and tells its home if that is
// elsewhere and news.
func (e *Entry) afterAnswer(c *call, engine string, known bool) {
	if c.chatKey == 0 {
		return
	}
	e.mu.Lock()
	e.hints.Add(c.chatKey, engine)
	e.mu.Unlock()
	home, at, ok := e.node.HomeEngine(c.pool, c.chatKey)
	if !ok || home == engine {
		return
	}
	metrics.GetOrCreateCounter("weldfall_spilled_total").Inc()
	if known {
		return
	}
	go func() {
		if conn, err := e.links.Get(at.Addr, link.Control); err == nil {
			_ = conn.Notify(wire.MethodPlaced, wire.Placed{Home: home, Chat: c.chatKey, Engine: engine})
		}
	}()
}
