package gate

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/attempt"
	"github.com/weldfall/weldfall/engines/statement"
	"github.com/weldfall/weldfall/engines/upstream"
	"github.com/weldfall/weldfall/gate/relay"
	"github.com/weldfall/weldfall/verdict"
)

// Limits on the attempts of one request.
const (
	// maxUnsent is the maximum number of unreachable engines that are tried.
	maxUnsent = 3
	// maxRefused is the maximum number of full engines that are tried.
	maxRefused = 3
	// maxCrashes is the number of engines that may crash under one request. The first crash
	// may be a coincidence.
	maxCrashes = 2
	// minTimeLeft is the remaining time below which another attempt is useless.
	minTimeLeft clock.Millis = 40
)

// send tries engines until one responds or the request fails for good.
func (g *Gate) send(ctx context.Context, c *call) *verdict.Error {
	g.countRequest(c)
	defer g.releaseNext(c)
	// held is the latest error response of an engine. It is the response to the caller if no
	// other engine has a better one.
	var held *attempt.BufferedResponse
	for {
		if err := g.recheckAdmission(c); err != nil {
			return err
		}
		e, err := g.place(ctx, c)
		if err != nil && held != nil && !c.reply.Started() {
			c.note = err.Error()
			c.reply.WriteBuffered(held)
			return nil
		}
		if err != nil && c.refused > 0 && err.Reason() == verdict.NoEngine {
			// All engines are full.
			return err.WithRetryAfter(g.retryAfterRejection(c, attempt.Refused{}, g.clk.Now()))
		}
		if err != nil {
			return err
		}
		if err := g.tellOrigin(ctx, c, e.Version); err != nil {
			g.finish(e.Incarnation(), engines.Neutral)
			return err
		}
		o := g.attempt(ctx, c, e)
		g.recordOutcome(ctx, c, e, o)
		g.recordHall(c, e.Info, o)
		switch o := o.(type) {
		case attempt.Answered:
			return nil
		case attempt.CallerGone:
			return cancelled(ctx, c)
		case attempt.Failed:
			held = o.Response
			if err := g.retryOrFail(c, o, e.Info); err != nil {
				c.note = err.Error()
				c.reply.WriteBuffered(held)
				return nil
			}
		case attempt.Unsent, attempt.Refused, attempt.Broken:
			if err := g.retryOrFail(c, o, e.Info); err != nil {
				return err
			}
		}
	}
}

// cancelled returns the error for a request whose context ended.
func cancelled(ctx context.Context, c *call) *verdict.Error {
	if cause := context.Cause(ctx); errors.Is(cause, errGraceOver) {
		// A caller whose response has not begun gets an error, so that it does not have to
		// guess the reason from a closed connection.
		return verdict.New(c.verdict(), verdict.Leaving, "%w", cause)
	}
	if cause := context.Cause(ctx); errors.Is(cause, errOverdue) {
		return verdict.New(c.verdict(), verdict.Deadline, "%w", cause)
	}
	c.reply.MarkAborted()
	return verdict.New(c.verdict(), verdict.CallerGone, "the caller closed the connection or stopped reading")
}

// attempt sends the request to an engine and relays the response.
func (g *Gate) attempt(ctx context.Context, c *call, e pick) attempt.Outcome {
	now := g.clk.Now()
	c.said = statement.Said{}
	req := g.request(c, e, now)
	c.trace = upstream.Trace{}
	req.Trace = &c.trace
	s := &silence{g: g, c: c, with: e.Info}
	req.OnSilence = func(arrived func() bool) clock.Millis { return s.onSilence(ctx, arrived) }
	req.Listed = func() framing.Sender { return g.listedSender(e.Incarnation()) }
	req.Health = g.healthCheck(c, e.Info)
	req.Allow = func() error { return g.checkOpen(e.Incarnation()) }
	answered := g.watchForSilence(ctx, c, e.Info, now)
	a, err := g.pool.Do(ctx, e.Addr, req, g.responseTimeout(c, now))
	answered()
	if err != nil {
		return g.sendFailed(ctx, c, e.Info, err)
	}
	defer a.Close()
	s.responded = true
	s.recordProgress()
	if a.StatusCode == http.StatusMisdirectedRequest {
		return g.misdirected(c, e.Info, a)
	}
	g.recordActivity(e.Incarnation(), a.Header.Get(g.wire.Load))
	g.recordStatement(c, e.Info, a)
	if a.NotRun() {
		g.observeRejection(c, e.Info, a.StatusCode)
		return g.engineRefused(c, e.Info, a)
	}
	c.ran++
	if c.versionBasis != "" {
		countContinued(c.versionBasis)
	}
	g.guard.RecordAlive(e.Incarnation().Hash(), a.ConnectedAt())
	o := g.relay(ctx, c, s, a)
	g.observeResponse(c, e.Info, o, now)
	g.finish(e.Incarnation(), engineOutcome(ctx, o))
	return o
}

// sendFailed returns the outcome of an attempt that got no response header.
func (g *Gate) sendFailed(ctx context.Context, c *call, e engines.Info, err error) attempt.Outcome {
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		result := engines.Unreachable
		if ctx.Err() != nil || errors.Is(err, upstream.ErrFull) || errors.Is(err, errClosed) {
			result = engines.Neutral
		}
		g.finish(e.Incarnation(), result)
		if ctx.Err() != nil {
			return attempt.CallerGone{}
		}
		return attempt.Unsent{Err: err}
	case ctx.Err() != nil:
		c.ran++
		g.finish(e.Incarnation(), engines.Neutral)
		return attempt.CallerGone{}
	default:
		c.ran++
		g.finish(e.Incarnation(), engines.Failed)
		return attempt.Broken{Err: err}
	}
}

// engineRefused returns the outcome of a response that says that the request did not run.
func (g *Gate) engineRefused(c *call, e engines.Info, a *upstream.Response) attempt.Outcome {
	discardRest(a)
	countNotRun(c.trace)
	g.finish(e.Incarnation(), engines.Refused)
	return attempt.Refused{Err: fmt.Errorf("status %d", a.StatusCode)}
}

// misdirected returns the outcome of a response from another engine that now has the
// address. It says nothing about the engine that was meant.
func (g *Gate) misdirected(c *call, e engines.Info, a *upstream.Response) attempt.Outcome {
	discardRest(a)
	countNotRun(c.trace)
	g.finish(e.Incarnation(), engines.Replaced)
	return attempt.Refused{Err: fmt.Errorf("status %d: another engine is at %s", a.StatusCode, e.Addr)}
}

// countNotRun counts a response that says that the request did not run.
func countNotRun(t upstream.Trace) {
	metrics.GetOrCreateCounter(fmt.Sprintf("weldfall_engine_rejections_total{identity=%q,reused=\"%t\"}", t.Identity, t.Exchange > 1)).Inc()
}

// engineOutcome returns what the outcome of an attempt says about the engine.
func engineOutcome(ctx context.Context, o attempt.Outcome) engines.Outcome {
	switch o := o.(type) {
	case attempt.Answered:
		return engines.Succeeded
	case attempt.Broken:
		switch {
		case errors.Is(o.Err, relay.ErrEndUnconfirmed):
			return engines.Succeeded
		case errors.Is(o.Err, framing.ErrSenderUnproven):
			return engines.Neutral
		}
		return failedOrNeutral(ctx)
	case attempt.Failed:
		return failedOrNeutral(ctx)
	case attempt.CallerGone, attempt.Unsent, attempt.Refused:
	}
	return engines.Neutral
}

// failedOrNeutral returns Neutral if the exchange was cancelled, else Failed.
func failedOrNeutral(ctx context.Context) engines.Outcome {
	if ctx.Err() != nil {
		return engines.Neutral
	}
	return engines.Failed
}

// responseTimeoutGoals is the number of times its goal that a repeatable request waits for
// the start of a response before another engine is looked for.
const responseTimeoutGoals = 2

// responseTimeout returns how long the engine may take to begin its response before another
// one is looked for.
func (g *Gate) responseTimeout(c *call, now clock.Millis) clock.Millis {
	left := c.timeLeft(now)
	if c.route.Retryable() && c.ran+1 < c.route.Attempts && c.route.Goal > 0 {
		return min(left, responseTimeoutGoals*c.route.Goal)
	}
	return left
}

// retryOrFail returns nil if the request may be sent to another engine, or the final error.
func (g *Gate) retryOrFail(c *call, o attempt.Outcome, e engines.Info) *verdict.Error {
	now := g.clk.Now()
	retryable := false
	var final *verdict.Error
	switch o := o.(type) {
	case attempt.Unsent:
		c.unsent++
		retryable = c.unsent < maxUnsent
		final = verdict.New(c.verdict(), verdict.Unreachable, "%d engines of %s could not be reached: %w", c.unsent, c.service, o.Err)
	case attempt.Refused:
		c.refused++
		retryable = c.refused < maxRefused
		final = verdict.New(c.verdict(), verdict.Overloaded, "%d engines of %s rejected the request", c.refused, c.service)
	case attempt.Broken:
		retryable = c.next != nil || g.mayContinue(c, c.ran) && g.canContinue(c)
		final = verdict.New(c.verdict(), verdict.EngineFailed, "engine %s: %w", e.ID, o.Err)
	case attempt.Failed:
		retryable = c.route.Retryable() && c.ran < c.route.Attempts && !g.turnsScarce(c, now)
		final = verdict.New(c.verdict(), verdict.EngineFailed, "engine %s responded with status %d", e.ID, o.Response.Status)
	}
	left := c.timeLeft(now)
	granted := grantNone
	switch {
	case c.next != nil:
		granted = grantSpent
	case retryable && left > minTimeLeft:
		granted = g.grantRetry(c.service, o, now)
	}
	g.logAttempt(c, o, e, granted, left)
	if granted.allowed() {
		return nil
	}
	if left <= 0 {
		return verdict.New(c.verdict(), verdict.Deadline, "the request did not finish within %d ms", now-c.start)
	}
	if final.Verdict() == verdict.NotRun {
		return final.WithRetryAfter(g.retryAfterRejection(c, o, now))
	}
	return final
}

// mayContinue reports whether the request may go to another engine after ran engines may have
// run it, and the last of them broke off or is silent.
func (g *Gate) mayContinue(c *call, ran int) bool {
	return c.route.Retryable() && ran < c.route.Attempts && c.suspect().Crashes() < maxCrashes && c.reply.CanContinue()
}

// outcomeName returns the name of an outcome in logs and counters.
func outcomeName(o attempt.Outcome) string {
	switch o := o.(type) {
	case attempt.Answered:
		return "answered"
	case attempt.Unsent:
		return "unsent"
	case attempt.Refused:
		return "refused"
	case attempt.Broken:
		if errors.Is(o.Err, upstream.ErrSilent) {
			return "silent"
		}
		return "broken"
	case attempt.Failed:
		return "failed"
	case attempt.CallerGone:
		return "caller_gone"
	}
	return "unknown"
}
