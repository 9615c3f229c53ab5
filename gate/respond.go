package gate

import (
	"net/http"

	"github.com/weldfall/weldfall/callers/failure"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/verdict"
)

// failureBody is the body of a failure.
type failureBody struct {
	Request string          `json:"request"`
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	Message string          `json:"message"`
}

// statuses maps failures to status codes. 503 and 429 promise that the request did not run;
// 502 and 504 do not.
var statuses = failure.StatusCodes{
	ByReason: map[verdict.Reason]int{
		verdict.BadRequest:     http.StatusBadRequest,
		verdict.Unauthorized:   http.StatusUnauthorized,
		verdict.NoRoute:        http.StatusNotFound,
		verdict.HeaderTooLarge: http.StatusRequestHeaderFieldsTooLarge,
		verdict.TooLarge:       http.StatusRequestEntityTooLarge,
	},
	MayHaveRun: map[verdict.Reason]int{verdict.Deadline: http.StatusGatewayTimeout},
	NotRun:     http.StatusServiceUnavailable, Default: http.StatusBadGateway,
}

// failureStyle returns how failures are formatted if requests are identified by the given
// header.
func failureStyle(requestID string) failure.Format {
	return failure.Format{
		StatusCodes: statuses,
		Body: func(f failure.Failure) any {
			return failureBody{Request: f.RequestID, Verdict: f.Err.Verdict(), Reason: f.Err.Reason(), Message: f.Err.Message()}
		},
		Header: func(h http.Header, f failure.Failure) {
			if f.RequestID != "" {
				h.Set(requestID, f.RequestID)
			}
			if f.Err.RetryAfter() > 0 && f.Err.Verdict() == verdict.NotRun {
				h.Set("Retry-After", retryAfterValue(f.Err.RetryAfter()))
			}
		},
	}
}

// withRetryAfter returns err with a delay if it is a refusal without one. Each 503 promises that
// the request did not run, and callers come back after the delay.
func withRetryAfter(err *verdict.Error) *verdict.Error {
	if err.RetryAfter() > 0 || err.Verdict() != verdict.NotRun || statuses.For(err) != http.StatusServiceUnavailable {
		return err
	}
	return err.WithRetryAfter(retrySoon)
}

// respond writes a failure, or aborts a response that has begun. A caller that has closed its
// connection gets a failure, too: it may have closed only its sending side, which looks the same.
func (g *Gate) respond(c *call, err *verdict.Error) {
	if c.reply.Started() || c.reply.Aborted() && err.Reason() != verdict.CallerGone {
		c.reply.MarkAborted()
		return
	}
	c.failureWritten = true
	h := c.w.Header()
	status, body, perr := g.style.Prepare(h, failure.Failure{RequestID: c.id, Err: err})
	if perr != nil {
		g.log.Error("problem_not_encoded", "request", c.id, "error", perr)
	}
	g.limitBodyRead(c)
	c.reply.WriteFailure(status, body)
}

// limitBodyRead limits the time for the body of a request that is rejected before the body
// was read: net/http reads the rest of the body before it responds, and a silent caller
// never sends it. The rest may take as long as a header.
func (g *Gate) limitBodyRead(c *call) {
	if !c.hasBody() || c.bodyRequested {
		return
	}
	// A connection that does not support deadlines is bounded by the request's context.
	_ = c.rc.SetReadDeadline(clock.Deadline(min(g.callerLimits().Header, max(0, c.timeLeft(g.clk.Now())))))
}
