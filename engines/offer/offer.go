// Package offer is the connection to engines that have a daemon beside them: a
// request is offered, the daemon takes or refuses it, and the answer comes in numbered
// frames that can be asked for again when a connection is lost. What an attempt came
// to is told as for any other connection (attempt).
package offer

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/engines/attempt"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/verdict"
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

// Beliefs takes what offers show of daemons and loads.
type Beliefs interface {
	Reached(daemon string)
	Unreachable(daemon string)
	SampleLoads(loads []wire.Load)
}

// Answer takes what comes back.
type Answer interface {
	// Frames writes the next frames to the caller.
	Frames(frames []wire.Frame) error
	// Begun reports whether the caller has got a status.
	Begun() bool
}

// Daemon is where a request is offered.
type Daemon struct{ ID, Addr string }

// Offers are the attempts of one process. It is safe for concurrent use.
type Offers struct {
	links   *link.Pool
	beliefs Beliefs
	inboxes *inboxes
}

// New returns offers that go over the connections of a pool, whose handler must pass
// frames on to Frame.
func New(links *link.Pool, beliefs Beliefs) *Offers {
	return &Offers{links: links, beliefs: beliefs, inboxes: newInboxes()}
}

// Frame takes a piece of an answer.
func (o *Offers) Frame(f wire.Frame) { o.inboxes.deliver(f) }

// Do offers a request to a daemon and passes what comes back on to w. The result is the
// daemon's last word, of use if the request was answered or refused.
func (o *Offers) Do(ctx context.Context, to Daemon, run wire.Run, w Answer) (attempt.Outcome, wire.Result) {
	conn, err := o.links.Get(to.Addr, link.Data)
	if err != nil {
		o.beliefs.Unreachable(to.ID)
		return attempt.Unsent{Err: verdict.New(verdict.NotRun, verdict.Unreachable, "daemon %s: %w", to.ID, err)}, wire.Result{}
	}
	run.Attempt = max(1, rand.Uint64())
	a := &sending{o: o, w: w, id: run.Attempt, to: to, boot: conn.PeerBootID(), in: o.inboxes.open(run.Attempt), answer: framing.Complete}
	defer o.inboxes.close(run.Attempt)
	a.start(conn, wire.MethodRun, run)
	return a.wait(ctx)
}

// sending is one attempt on its way.
type sending struct {
	o    *Offers
	w    Answer
	id   uint64
	to   Daemon
	boot uint64
	in   *inbox
	// ended delivers the end of the current call; a call that was given up
	// keeps its own channel, so that its late end is not taken for this one's.
	ended chan end
	tries int
	// answer is what is known of the end of an answer that has ended well.
	answer framing.End
}

// end is how the call to a daemon ended.
type end struct {
	res wire.Result
	err error
}

// start calls the daemon and delivers the end of the call.
func (a *sending) start(conn *link.Conn, method string, params any) {
	ended := make(chan end, 1)
	a.ended = ended
	release := conn.Watch()
	go func() {
		defer release()
		var res wire.Result
		err := conn.Call(context.Background(), method, params, &res)
		if err == nil {
			a.o.beliefs.Reached(a.to.ID)
		}
		ended <- end{res, err}
	}()
}

// wait passes frames on until the attempt has ended one way or the other.
func (a *sending) wait(ctx context.Context) (attempt.Outcome, wire.Result) {
	for {
		select {
		case <-a.in.arrived:
			if o := a.deliver(); o != nil {
				return a.abandon(o), wire.Result{}
			}
		case e := <-a.ended:
			if o := a.deliver(); o != nil {
				return a.abandon(o), wire.Result{}
			}
			if cause := a.missing(e); cause != nil {
				if o := a.resume(ctx, cause); o != nil {
					return o, wire.Result{}
				}
				continue
			}
			return a.finish(e.res), e.res
		case <-ctx.Done():
			return a.abandon(contextOutcome(ctx)), wire.Result{}
		}
	}
}

// missing returns why the end of a call is not the end of the attempt.
func (a *sending) missing(e end) error {
	if e.err != nil {
		return e.err
	}
	if e.res.Verdict == verdict.Ran && a.in.due() < e.res.Frames {
		return errors.New("frames are missing")
	}
	return nil
}

func contextOutcome(ctx context.Context) attempt.Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return attempt.Broken{Err: verdict.New(verdict.MayHaveRun, verdict.Deadline, "the deadline passed")}
	}
	return attempt.CallerGone{Err: verdict.New(verdict.MayHaveRun, verdict.CallerGone, "the caller has gone")}
}

// deliver passes on what has arrived, and returns nil unless the caller does not take
// it.
func (a *sending) deliver() attempt.Outcome {
	frames, gap, full := a.in.take()
	if len(frames) > 0 && frames[0].Head != nil {
		if frames[0].Head.EndsUntilClose() {
			a.answer = framing.Closed
		}
		a.o.beliefs.SampleLoads(frames[0].Head.Loads)
	}
	if err := a.w.Frames(frames); err != nil {
		return attempt.CallerGone{Err: verdict.New(verdict.MayHaveRun, verdict.CallerGone, "write to the caller: %w", err)}
	}
	if full {
		return attempt.CallerGone{Err: verdict.New(verdict.MayHaveRun, verdict.CallerGone, "the caller takes the answer too slowly")}
	}
	if gap {
		metrics.GetOrCreateCounter("weldfall_frame_gaps_total").Inc()
	}
	return nil
}

// resume takes the answer up on a new connection, from the frame that is due. It
// returns nil if that began.
func (a *sending) resume(ctx context.Context, cause error) attempt.Outcome {
	for a.tries < resumeTries {
		if a.tries > 0 && !clock.Sleep(ctx, resumeWait<<a.tries) {
			return contextOutcome(ctx)
		}
		a.tries++
		conn, err := a.o.links.Get(a.to.Addr, link.Data)
		if err != nil {
			cause = err
			continue
		}
		metrics.GetOrCreateCounter("weldfall_resumes_total").Inc()
		a.start(conn, wire.MethodResume, wire.Resume{Attempt: a.id, From: a.in.due(), BootID: a.boot})
		return nil
	}
	a.o.beliefs.Unreachable(a.to.ID)
	return attempt.Broken{Err: verdict.New(verdict.MayHaveRun, verdict.LinkLost, "daemon %s: %w", a.to.ID, cause)}
}

// finish turns the word of a daemon into what the attempt came to.
func (a *sending) finish(res wire.Result) attempt.Outcome {
	if res.Verdict == verdict.Ran {
		return attempt.Answered{End: a.answer}
	}
	v := verdict.MayHaveRun
	// An answer that has begun ran, whatever the daemon says.
	if res.Verdict == verdict.NotRun && !a.w.Begun() {
		v = verdict.NotRun
	}
	err := verdict.New(v, res.Reason, "%s", res.Message).WithRetryAfter(res.RetryAfter)
	if v == verdict.NotRun && res.Refused {
		return attempt.Refused{Err: err}
	}
	return attempt.Broken{Err: err}
}

// abandon gives the attempt up and asks the daemon what became of it: not_run is said
// only on the daemon's word.
func (a *sending) abandon(o attempt.Outcome) attempt.Outcome {
	if certain := a.cancel(); !certain || a.w.Begun() {
		return o
	}
	switch o := o.(type) {
	case attempt.Broken:
		return attempt.Broken{Err: notRun(o.Err)}
	case attempt.CallerGone:
		return attempt.CallerGone{Err: notRun(o.Err)}
	}
	return o
}

// notRun returns a failure with the verdict that the request has not run.
func notRun(err error) error {
	e := verdict.From(err)
	return verdict.New(verdict.NotRun, e.Reason(), "%s", e.Message())
}

// cancel asks the daemon to give the attempt up, and reports whether it promises that
// the request has not run.
func (a *sending) cancel() bool {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout.Duration())
	defer cancel()
	conn, err := a.o.links.Get(a.to.Addr, link.Data)
	if err != nil {
		return false
	}
	var got wire.Canceled
	if err := conn.Call(ctx, wire.MethodCancel, wire.Cancel{Attempt: a.id, BootID: a.boot}, &got); err != nil {
		return false
	}
	return got.Verdict == verdict.NotRun
}
