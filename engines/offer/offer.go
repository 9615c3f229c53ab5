// Package offer sends requests to engines through the daemons that run beside them. A
// daemon accepts or refuses an offered request. The response arrives in numbered frames,
// which can be requested again after a connection is lost. Package attempt defines the
// outcomes.
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
	// maxResumes is how often one attempt tries to resume after a lost connection to the
	// daemon.
	maxResumes = 6
	// resumeBackoff is half the wait before the second try. The wait doubles with each
	// further one.
	resumeBackoff clock.Millis = 50
	// cancelTimeout is the timeout of the call that cancels an attempt.
	cancelTimeout clock.Millis = 1000
)

// Observer receives what offers show about daemons and loads.
type Observer interface {
	DaemonReached(daemon string)
	DaemonUnreachable(daemon string)
	SampleLoads(loads []wire.Load)
}

// ResponseWriter writes the response to the caller.
type ResponseWriter interface {
	// WriteFrames writes the next frames to the caller.
	WriteFrames(frames []wire.Frame) error
	// Started reports whether the status was written to the caller.
	Started() bool
}

// Daemon identifies a daemon and its address.
type Daemon struct{ ID, Addr string }

// Client offers requests to daemons. It is safe for concurrent use.
type Client struct {
	links    *link.Pool
	observer Observer
	inboxes  *inboxes
}

// New returns a Client that uses the connections of a pool. The pool's handler must pass
// frames to HandleFrame.
func New(links *link.Pool, observer Observer) *Client {
	return &Client{links: links, observer: observer, inboxes: newInboxes()}
}

// HandleFrame handles a frame of a response.
func (c *Client) HandleFrame(f wire.Frame) { c.inboxes.deliver(f) }

// Do offers a request to a daemon and writes the response to w. The result is the one that
// the daemon sent; it is meaningful if the request was answered or refused.
func (c *Client) Do(ctx context.Context, to Daemon, run wire.Run, w ResponseWriter) (attempt.Outcome, wire.Result) {
	conn, err := c.links.Get(to.Addr, link.Data)
	if err != nil {
		c.observer.DaemonUnreachable(to.ID)
		return attempt.Unsent{Err: verdict.New(verdict.NotRun, verdict.Unreachable, "daemon %s: %w", to.ID, err)}, wire.Result{}
	}
	run.Attempt, run.Acks = max(1, rand.Uint64()), true
	a := &offered{client: c, w: w, id: run.Attempt, to: to, boot: conn.PeerBootID(), in: c.inboxes.open(run.Attempt), responseEnd: framing.Complete}
	defer c.inboxes.close(run.Attempt)
	a.start(conn, wire.MethodRun, run)
	return a.wait(ctx)
}

// offered is an attempt in progress.
type offered struct {
	client *Client
	w      ResponseWriter
	id     uint64
	to     Daemon
	boot   uint64
	in     *inbox
	// ended receives the end of the current call. Each call has its own channel, so that
	// the late end of an earlier one is not mistaken for it.
	ended chan end
	tries int
	// conn is the connection of the current call. unacked is the size of the frames that were
	// written to the caller and not acknowledged to the daemon.
	conn    *link.Conn
	unacked int
	// responseEnd is how a response ends that has arrived without an error.
	responseEnd framing.Completeness
}

// end is the end of a call to a daemon.
type end struct {
	res wire.Result
	err error
}

// start calls the daemon and sends the end of the call to ended.
func (a *offered) start(conn *link.Conn, method string, params any) {
	ended := make(chan end, 1)
	a.ended, a.conn = ended, conn
	release := conn.Watch()
	go func() {
		defer release()
		var res wire.Result
		err := conn.Call(context.Background(), method, params, &res)
		if err == nil {
			a.client.observer.DaemonReached(a.to.ID)
		}
		ended <- end{res, err}
	}()
}

// wait relays frames until the attempt ends.
func (a *offered) wait(ctx context.Context) (attempt.Outcome, wire.Result) {
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
			if cause := a.incomplete(e); cause != nil {
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

// incomplete returns why the attempt does not end with the end of a call, or nil.
func (a *offered) incomplete(e end) error {
	if e.err != nil {
		return e.err
	}
	if e.res.Verdict == verdict.Ran && a.in.nextSeq() < e.res.Frames {
		return errors.New("response frames are missing")
	}
	return nil
}

func contextOutcome(ctx context.Context) attempt.Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return attempt.Broken{Err: verdict.New(verdict.MayHaveRun, verdict.Deadline, "the deadline passed")}
	}
	return attempt.CallerGone{Err: verdict.New(verdict.MayHaveRun, verdict.CallerGone, "the caller has gone")}
}

// deliver writes the frames that have arrived. It returns nil unless the caller stopped
// reading or the response is invalid.
func (a *offered) deliver() attempt.Outcome {
	frames, gap, full := a.in.take()
	if len(frames) > 0 && frames[0].Head != nil {
		if status := frames[0].Head.Status; status < 200 || status > 599 {
			// A daemon of an earlier version passes on what its target sent.
			return attempt.Broken{Err: verdict.New(verdict.MayHaveRun, verdict.EngineFailed, "daemon %s reported a response with status %d", a.to.ID, status)}
		}
		if frames[0].Head.EndsUntilClose() {
			a.responseEnd = framing.Closed
		}
		a.client.observer.SampleLoads(frames[0].Head.Loads)
	}
	if err := a.w.WriteFrames(frames); err != nil {
		return attempt.CallerGone{Err: verdict.New(verdict.MayHaveRun, verdict.CallerGone, "write to the caller: %w", err)}
	}
	a.acknowledge(frames)
	if full {
		return attempt.CallerGone{Err: verdict.New(verdict.MayHaveRun, verdict.CallerGone, "the caller reads the response too slowly")}
	}
	if gap {
		metrics.GetOrCreateCounter("weldfall_frame_gaps_total").Inc()
	}
	return nil
}

// acknowledge tells the daemon now and then which frames were written to the caller.
func (a *offered) acknowledge(written []wire.Frame) {
	if len(written) == 0 {
		return
	}
	for _, f := range written {
		a.unacked += f.Size()
	}
	if a.unacked < wire.AckBytes {
		return
	}
	a.unacked = 0
	last := written[len(written)-1]
	// If the connection broke, resuming tells where to go on.
	_ = a.conn.Notify(wire.MethodAck, wire.Ack{Attempt: a.id, Next: last.Seq + max(1, last.Count)})
}

// resume continues the response on a new connection from the next expected frame. It
// returns nil if it could start the call.
func (a *offered) resume(ctx context.Context, cause error) attempt.Outcome {
	for a.tries < maxResumes {
		if a.tries > 0 && !clock.Sleep(ctx, resumeBackoff<<a.tries) {
			return contextOutcome(ctx)
		}
		a.tries++
		conn, err := a.client.links.Get(a.to.Addr, link.Data)
		if err != nil {
			cause = err
			continue
		}
		metrics.GetOrCreateCounter("weldfall_resumes_total").Inc()
		a.start(conn, wire.MethodResume, wire.Resume{Attempt: a.id, From: a.in.nextSeq(), BootID: a.boot})
		return nil
	}
	a.client.observer.DaemonUnreachable(a.to.ID)
	return attempt.Broken{Err: verdict.New(verdict.MayHaveRun, verdict.LinkLost, "daemon %s: %w", a.to.ID, cause)}
}

// finish converts the result from the daemon to the outcome of the attempt.
func (a *offered) finish(res wire.Result) attempt.Outcome {
	if res.Verdict == verdict.Ran {
		return attempt.Answered{End: a.responseEnd}
	}
	v := verdict.MayHaveRun
	// If the response has started, the request has run, whatever the daemon says.
	if res.Verdict == verdict.NotRun && !a.w.Started() {
		v = verdict.NotRun
	}
	err := verdict.New(v, res.Reason, "%s", res.Message).WithRetryAfter(res.RetryAfter)
	if v == verdict.NotRun && res.Refused {
		return attempt.Refused{Err: err}
	}
	return attempt.Broken{Err: err}
}

// abandon cancels the attempt at the daemon. The verdict is not_run only if the daemon
// confirms it.
func (a *offered) abandon(o attempt.Outcome) attempt.Outcome {
	if confirmed := a.cancel(); !confirmed || a.w.Started() {
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

// notRun returns err with the verdict that the request has not run.
func notRun(err error) error {
	e := verdict.From(err)
	return verdict.New(verdict.NotRun, e.Reason(), "%s", e.Message())
}

// cancel cancels the attempt at the daemon, and reports whether the daemon confirms that
// the request has not run.
func (a *offered) cancel() bool {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout.Duration())
	defer cancel()
	conn, err := a.client.links.Get(a.to.Addr, link.Data)
	if err != nil {
		return false
	}
	var got wire.Canceled
	if err := conn.Call(ctx, wire.MethodCancel, wire.Cancel{Attempt: a.id, BootID: a.boot}, &got); err != nil {
		return false
	}
	return got.Verdict == verdict.NotRun
}
