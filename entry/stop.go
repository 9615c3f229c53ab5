package entry

import (
	"context"
	"errors"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/duration"
	"github.com/weldfall/weldfall/table"
	"github.com/weldfall/weldfall/verdict"
)

const (
	// balancerLag is how long the load balancer may still send callers to an entry that has
	// become unready. Until then no request is rejected: those callers know no other entry.
	balancerLag clock.Millis = 2000
	// engineSilence is how long a sound engine may send nothing once during a response.
	engineSilence clock.Millis = 1500
	// retryElsewhere is sent in Retry-After by a stopping entry: other entries serve.
	retryElsewhere clock.Millis = 10
	// finalErrorsTimeout is how long callers without a response may take to get a failure at
	// the end of the drain. It includes the wait for a daemon to confirm that it stopped.
	finalErrorsTimeout clock.Millis = 1500
	// finalErrorsPeriod is the interval between checks whether all got one.
	finalErrorsPeriod clock.Millis = 10
)

// errDrainOver is the cancellation cause of requests that are in flight at the end of the
// drain.
var errDrainOver = errors.New("this entry is stopping and its drain time is over")

// stay rejects requests that a stopping entry might have to abort at the end of its drain.
func (e *Entry) stay(_ context.Context, c *call) *verdict.Error {
	c.expected = expectedResponse(c)
	return e.checkStay(c)
}

// checkStay is stay for a request that has not run anywhere, also after offers were refused.
func (e *Entry) checkStay(c *call) *verdict.Error {
	until := clock.Millis(e.drainUntil.Load())
	now := e.clk.Now()
	if until == 0 || now < clock.Millis(e.drainingSince.Load())+balancerLag {
		return nil
	}
	estimate := e.durations.Estimate(c.expected)
	need := min(estimate.Max, c.timeLeft(now))
	admitted := now+need <= until
	e.log.Info("stopping", "request", c.id, "service", c.service, "taken", admitted, "need_ms", need, "basis", estimate.Basis, "samples", estimate.Samples, "ends_in_ms", until-now)
	if admitted {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.Leaving, "this entry is stopping and admits requests that end within %d ms, this one may take %d ms",
		max(0, until-now), need).WithRetryAfter(retryElsewhere)
}

// expectedResponse returns what is known about the response to a call before it begins.
func expectedResponse(c *call) duration.Request {
	r := &table.Route{Name: c.service + "/" + c.pool, Kind: table.Safe, Timeout: c.values.Limits.Deadline()}
	if c.isChat() {
		r.Kind, r.Goal = table.Stream, clock.Millis(c.values.Objectives.FirstTokenMS)
	}
	return duration.Request{Route: r, Service: c.pool, MaxEvents: c.chat.MaxTokens(), Silence: engineSilence, Now: c.start}
}

// recordDuration records how long a complete response took.
func (e *Entry) recordDuration(c *call) {
	now := e.clk.Now()
	switch {
	case c.progress != nil:
		c.progress.RecordRest()
		c.progress.RecordComplete(now)
	case !c.isChat():
		e.durations.RecordResponse(c.expected.Route.Name, now-c.start)
	}
}

// abortAll cancels the requests in flight, and waits until callers without a response got a
// failure.
func (e *Entry) abortAll(srv *callers.Server) {
	e.abort(errDrainOver)
	for deadline := e.clk.Now() + finalErrorsTimeout; (e.active.Load() > 0 || srv.ActiveConns() > 0) && e.clk.Now() < deadline; {
		clock.Sleep(context.Background(), finalErrorsPeriod)
	}
}

// drainError returns err, or an error that names the end of the drain if that ended the request.
func drainError(ctx context.Context, err *verdict.Error) *verdict.Error {
	if cause := context.Cause(ctx); errors.Is(cause, errDrainOver) {
		return verdict.New(err.Verdict(), verdict.Leaving, "%w", cause)
	}
	return err
}
