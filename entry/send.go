package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/member"
	"github.com/weldfall/weldfall/route"
	"github.com/weldfall/weldfall/verdict"
	"github.com/weldfall/weldfall/wire"
)

const (
	// resumeTries is how often a lost connection to a daemon is replaced for
	// one attempt.
	resumeTries = 6
	// resumeWait is the wait before the second try; it doubles.
	resumeWait clock.Millis = 50
	// cancelTimeout bounds the question whether a given-up attempt has run.
	cancelTimeout clock.Millis = 1000
)

// send offers the request to engines until one takes it, and streams the
// answer. Another engine is tried only after a refusal that is certain.
func (e *Entry) send(ctx context.Context, c *call) *verdict.Error {
	ctx, cancel := context.WithTimeout(ctx, c.left(e.clk.Now()).Duration())
	defer cancel()
	e.budget.earn(c.values.Retry.BudgetRatio)
	q := route.Query{
		Key: c.chatKey, Affine: c.chatKey != 0, Returning: c.returning, Hint: c.hint,
		Bound: c.values.Routing.LoadBound, Floor: c.values.Routing.LoadFloor, Max: c.values.Retry.Attempts,
	}
	if q.Key == 0 {
		q.Key = rand.Uint64()
	}
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
		res, err := e.attempt(ctx, c, s, to, mean)
		e.node.Ended(s.Engine)
		if res.Refused {
			e.node.RefusedLoads(res.Loads)
		} else {
			e.node.SampleLoads(res.Loads)
		}
		if err == nil {
			c.engine, c.result = s.Engine, res
			e.afterAnswer(c, s.Engine, homeKnows(c, s.Engine, tries))
			return nil
		}
		last = err
		if !res.Refused || err.Verdict() != verdict.NotRun {
			return e.failed(c, err)
		}
		metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_refused_offers_total{reason=%q}`, res.Reason)).Inc()
		tries = append(tries, route.Try{
			Engine: s.Engine, Mode: s.Mode, Redirect: res.Redirect,
			NotCached: res.Reason == verdict.NotCached, Cached: res.Cached, OverBound: res.Reason == verdict.OverBound,
		})
		if isFault(res.Reason) && !e.budget.spend() {
			metrics.GetOrCreateCounter("weldfall_retry_budget_spent_total").Inc()
			return e.failed(c, verdict.New(verdict.NotRun, err.Reason(), "%s; the retry budget is spent", err.Message()).WithRetryAfter(1000))
		}
	}
}

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
func (e *Entry) runOf(c *call, s route.Send, attempt uint64, mean float64) wire.Run {
	v := c.values
	return wire.Run{
		Attempt: attempt, Request: c.id, Engine: s.Engine, Mode: s.Mode,
		Partner: c.partner, Workspace: c.workspace, Service: c.service,
		PartnerShare: v.Fairness.PartnerShare, WorkspaceShare: v.Fairness.WorkspaceShare, Priority: v.Fairness.Priority,
		Chat:   c.chatKey,
		Method: c.r.Method, Path: targetPath(c), Header: targetHeader(c.r), Body: c.body,
		Stream: c.chat.Stream, WantUsage: c.chat.StreamOptions.IncludeUsage,
		Cost: c.cost(), Left: c.left(e.clk.Now()), Once: c.once,
		Mean: mean, LoadBound: v.Routing.LoadBound, LoadFloor: v.Routing.LoadFloor, QueueLimit: v.Limits.QueuePerEngine, Loads: e.node.FreshLoads(),
	}
}

// outcome is how the call to a daemon ended.
type outcome struct {
	res wire.Result
	err error
}

// attempt sends the request to one engine and streams what comes back. An
// error with not_run and a result marked Refused lets another engine try.
func (e *Entry) attempt(ctx context.Context, c *call, s route.Send, to member.Instance, mean float64) (wire.Result, *verdict.Error) {
	conn, err := e.links.Get(to.Addr, link.Data)
	if err != nil {
		e.node.Unreachable(to.ID)
		return wire.Result{Refused: true, Reason: verdict.Unreachable},
			verdict.New(verdict.NotRun, verdict.Unreachable, "daemon %s: %w", to.ID, err)
	}
	id := max(1, rand.Uint64())
	a := &sending{e: e, c: c, id: id, to: to, boot: conn.PeerBoot(), in: e.inboxes.open(id)}
	defer e.inboxes.close(id)
	a.start(conn, wire.MethodRun, e.runOf(c, s, id, mean))
	return a.wait(ctx)
}

// sending is one attempt as the entry sees it.
type sending struct {
	e    *Entry
	c    *call
	id   uint64
	to   member.Instance
	boot uint64
	in   *inbox
	// ended delivers the end of the current call; a call that was given up
	// keeps its own channel, so that its late end is not taken for this one's.
	ended chan outcome
	tries int
}

// start calls the daemon and delivers the end of the call.
func (a *sending) start(conn *link.Conn, method string, params any) {
	ended := make(chan outcome, 1)
	a.ended = ended
	release := conn.Watch()
	go func() {
		defer release()
		var res wire.Result
		err := conn.Call(context.Background(), method, params, &res)
		if err == nil {
			a.e.node.Reached(a.to.ID)
		}
		ended <- outcome{res, err}
	}()
}

// wait streams frames until the attempt has ended one way or the other.
func (a *sending) wait(ctx context.Context) (wire.Result, *verdict.Error) {
	for {
		select {
		case <-a.in.arrived:
			if err := a.deliver(); err != nil {
				return a.abandon(err)
			}
		case o := <-a.ended:
			if err := a.deliver(); err != nil {
				return a.abandon(err)
			}
			if o.err != nil {
				if err := a.resume(ctx, o.err); err != nil {
					return wire.Result{}, err
				}
				continue
			}
			if o.res.Verdict == verdict.Ran && a.in.due() < o.res.Frames {
				if err := a.resume(ctx, errors.New("frames are missing")); err != nil {
					return wire.Result{}, err
				}
				continue
			}
			return a.finish(o.res)
		case <-ctx.Done():
			return a.abandon(contextError(ctx))
		}
	}
}

func contextError(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(verdict.MayHaveRun, verdict.Deadline, "the deadline passed")
	}
	return verdict.New(verdict.MayHaveRun, verdict.CallerGone, "the caller has gone")
}

// deliver writes what has arrived to the caller.
func (a *sending) deliver() *verdict.Error {
	frames, gap, full := a.in.take()
	if len(frames) > 0 && frames[0].Head != nil {
		a.e.node.SampleLoads(frames[0].Head.Loads)
	}
	if err := a.c.write(frames, a.e.clk); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CallerGone, "write to the caller: %w", err)
	}
	if full {
		return verdict.New(verdict.MayHaveRun, verdict.CallerGone, "the caller takes the answer too slowly")
	}
	if gap {
		metrics.GetOrCreateCounter("weldfall_frame_gaps_total").Inc()
	}
	return nil
}

// resume takes the answer up on a new connection, from the frame that is due.
func (a *sending) resume(ctx context.Context, cause error) *verdict.Error {
	for a.tries < resumeTries {
		if a.tries > 0 && !clock.Sleep(ctx, resumeWait<<a.tries) {
			return contextError(ctx)
		}
		a.tries++
		conn, err := a.e.links.Get(a.to.Addr, link.Data)
		if err != nil {
			cause = err
			continue
		}
		metrics.GetOrCreateCounter("weldfall_resumes_total").Inc()
		a.start(conn, wire.MethodResume, wire.Resume{Attempt: a.id, From: a.in.due(), Boot: a.boot})
		return nil
	}
	a.e.node.Unreachable(a.to.ID)
	return verdict.New(verdict.MayHaveRun, verdict.LinkLost, "daemon %s: %w", a.to.ID, cause)
}

// finish turns the result of a daemon into that of the attempt.
func (a *sending) finish(res wire.Result) (wire.Result, *verdict.Error) {
	switch {
	case res.Verdict == verdict.Ran:
		return res, nil
	case res.Verdict == verdict.NotRun && a.c.headSent:
		// Cannot be: an answer began. Claim the less.
		return wire.Result{}, verdict.New(verdict.MayHaveRun, res.Reason, "%s", res.Message)
	case res.Verdict == verdict.NotRun:
		return res, verdict.New(verdict.NotRun, res.Reason, "%s", res.Message).WithRetryAfter(res.RetryAfter)
	default:
		return res, verdict.New(verdict.MayHaveRun, res.Reason, "%s", res.Message).WithRetryAfter(res.RetryAfter)
	}
}

// abandon gives the attempt up and asks the daemon what became of it: not_run
// is said only on the daemon's word.
func (a *sending) abandon(cause *verdict.Error) (wire.Result, *verdict.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout.Duration())
	defer cancel()
	conn, err := a.e.links.Get(a.to.Addr, link.Data)
	if err != nil {
		return wire.Result{}, cause
	}
	var got wire.Canceled
	if err := conn.Call(ctx, wire.MethodCancel, wire.Cancel{Attempt: a.id, Boot: a.boot}, &got); err != nil {
		return wire.Result{}, cause
	}
	if got.Verdict == verdict.NotRun && !a.c.headSent {
		return wire.Result{}, verdict.New(verdict.NotRun, cause.Reason(), "%s", cause.Message())
	}
	return wire.Result{}, cause
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
	home, at, ok := e.node.Home(c.pool, c.chatKey)
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
