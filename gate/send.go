package gate

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/attempt"
	"github.com/weldfall/weldfall/engines/upstream"
	"github.com/weldfall/weldfall/gate/relay"
	"github.com/weldfall/weldfall/verdict"
)

// Limits of the attempts of one request.
const (
	// mostUnsent is how many engines that cannot be reached are tried.
	mostUnsent = 3
	// mostRefused is how many engines that are full are tried.
	mostRefused = 3
	// mostEnded is how many engines may end under one request: the first may have done
	// so by chance.
	mostEnded = 2
	// leastLeft is the time below which another attempt is of no use.
	leastLeft clock.Millis = 40
)

// send chooses engines until one answers or the request must be given up.
func (g *Gate) send(ctx context.Context, c *call) *verdict.Error {
	g.countRequest(c)
	// own is the latest failure that an engine answered itself: it is the
	// answer when no other engine gives a better one.
	var own *attempt.Held
	for {
		if err := g.stillFits(c); err != nil {
			return err
		}
		e, err := g.place(ctx, c)
		if err != nil && own != nil && !c.reply.Started() {
			c.note = err.Error()
			c.reply.WriteBuffered(own)
			return nil
		}
		if err != nil {
			return err
		}
		o := g.attempt(ctx, c, e)
		g.learnEnd(ctx, c, e, o)
		switch o := o.(type) {
		case attempt.Answered:
			return nil
		case attempt.CallerGone:
			if cause := context.Cause(ctx); errors.Is(cause, errGraceOver) {
				// A caller whose answer has not begun is told, so that it need not
				// guess from a closed connection.
				return verdict.New(c.verdict(), verdict.Leaving, "%w", cause)
			}
			if cause := context.Cause(ctx); errors.Is(cause, errOverdue) {
				return verdict.New(c.verdict(), verdict.Deadline, "%w", cause)
			}
			c.reply.MarkAborted()
			return verdict.New(c.verdict(), verdict.CallerGone, "the caller left")
		case attempt.Failed:
			own = o.Answer
			if err := g.again(c, o, e.Info); err != nil {
				c.note = err.Error()
				c.reply.WriteBuffered(own)
				return nil
			}
		case attempt.Unsent, attempt.Refused, attempt.Broken:
			if err := g.again(c, o, e.Info); err != nil {
				return err
			}
		}
	}
}

// attempt sends the request to an engine and relays the answer.
func (g *Gate) attempt(ctx context.Context, c *call, e pick) attempt.Outcome {
	now := g.clk.Now()
	req := g.request(c, e, now)
	answered := g.awaitSign(ctx, c, e.Info, now)
	a, err := g.pool.Do(ctx, e.Addr, req, g.headLimit(c, now))
	answered()
	if err != nil {
		return g.sendFailed(ctx, c, e.Info, err)
	}
	defer a.Close()
	if a.StatusCode == http.StatusMisdirectedRequest {
		return g.misdirected(e.Info, a)
	}
	g.heard(e.Incarnation(), a.Header.Get(g.wire.Load))
	if a.NotRun() {
		return g.engineRefused(e.Info, a)
	}
	c.ran++
	g.guard.RecordAlive(e.Incarnation().Mark(), a.Opened())
	o := g.relay(ctx, c, e.Info, a)
	g.finish(e.Incarnation(), judge(ctx, o))
	return o
}

// sendFailed judges an attempt that brought no head of an answer.
func (g *Gate) sendFailed(ctx context.Context, c *call, e engines.Info, err error) attempt.Outcome {
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		result := engines.Unreachable
		if ctx.Err() != nil || errors.Is(err, upstream.ErrFull) {
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

// engineRefused judges an answer that says that the request did not run.
func (g *Gate) engineRefused(e engines.Info, a *upstream.Answer) attempt.Outcome {
	drain(a)
	g.finish(e.Incarnation(), engines.Refused)
	return attempt.Refused{Err: fmt.Errorf("status %d", a.StatusCode)}
}

// misdirected judges an answer of another engine that has the address, which is no
// sign of the one that was asked.
func (g *Gate) misdirected(e engines.Info, a *upstream.Answer) attempt.Outcome {
	drain(a)
	g.finish(e.Incarnation(), engines.Departed)
	return attempt.Refused{Err: fmt.Errorf("status %d: another engine is at %s", a.StatusCode, e.Addr)}
}

// judge says what an attempt tells about the engine.
func judge(ctx context.Context, o attempt.Outcome) engines.Outcome {
	switch o := o.(type) {
	case attempt.Answered:
		return engines.Good
	case attempt.Broken:
		if errors.Is(o.Err, relay.ErrEndUnconfirmed) {
			return engines.Good
		}
		return failedUnless(ctx)
	case attempt.Failed:
		return failedUnless(ctx)
	case attempt.CallerGone, attempt.Unsent, attempt.Refused:
	}
	return engines.Neutral
}

// failedUnless is the outcome of an attempt that failed, unless the exchange was given up.
func failedUnless(ctx context.Context) engines.Outcome {
	if ctx.Err() != nil {
		return engines.Neutral
	}
	return engines.Failed
}

// patienceGoals is how many times its goal a repeatable request waits for the
// first sign of an answer before another engine is asked.
const patienceGoals = 2

// headLimit is how long the engine may take to begin its answer. A request
// that may be repeated is not left with an engine that is stuck.
func (g *Gate) headLimit(c *call, now clock.Millis) clock.Millis {
	left := c.left(now)
	if c.route.Repeatable() && c.ran+1 < c.route.Attempts && c.route.Goal > 0 {
		return min(left, patienceGoals*c.route.Goal)
	}
	return left
}

// again decides whether the request may go to another engine. An error is the
// final answer.
func (g *Gate) again(c *call, o attempt.Outcome, e engines.Info) *verdict.Error {
	now := g.clk.Now()
	free := false
	var final *verdict.Error
	switch o := o.(type) {
	case attempt.Unsent:
		c.unsent++
		free = c.unsent < mostUnsent
		final = verdict.New(c.verdict(), verdict.Unreachable, "%d engines of %s could not be reached: %w", c.unsent, c.service, o.Err)
	case attempt.Refused:
		c.refused++
		free = c.refused < mostRefused
		final = verdict.New(c.verdict(), verdict.Overloaded, "%d engines of %s refused", c.refused, c.service)
	case attempt.Broken:
		free = c.route.Repeatable() && c.ran < c.route.Attempts && c.suspect().Crashes() < mostEnded && c.reply.CanContinue()
		final = verdict.New(c.verdict(), verdict.EngineFailed, "engine %s: %w", e.ID, o.Err)
	case attempt.Failed:
		free = c.route.Repeatable() && c.ran < c.route.Attempts
		final = verdict.New(c.verdict(), verdict.EngineFailed, "engine %s answered %d", e.ID, o.Answer.Status)
	}
	left := c.left(now)
	granted := grantNone
	if free && left > leastLeft {
		granted = g.grantRepeat(c.service, o, now)
	}
	g.logAgain(c, o, e, granted, left)
	if granted.allowed() {
		return nil
	}
	if left <= 0 {
		return verdict.New(c.verdict(), verdict.Deadline, "%d ms were not enough", now-c.start)
	}
	if final.Verdict() == verdict.NotRun {
		return final.WithRetryAfter(retrySoon)
	}
	return final
}

// kindOf names an outcome for logs and counters.
func kindOf(o attempt.Outcome) string {
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
