package gate

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/verdict"
)

// problem is the body of a failure.
type problem struct {
	Request string          `json:"request"`
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	Message string          `json:"message"`
}

// statusOf maps a failure to a status. 503 and 429 say that the request did
// not run; 502 and 504 say nothing of the kind.
func statusOf(err *verdict.Error) int {
	notRun := err.Verdict() == verdict.NotRun
	switch err.Reason() {
	case verdict.BadRequest:
		return http.StatusBadRequest
	case verdict.Unauthorized:
		return http.StatusUnauthorized
	case verdict.NoRoute:
		return http.StatusNotFound
	case verdict.HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case verdict.TooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.Deadline:
		if !notRun {
			return http.StatusGatewayTimeout
		}
	}
	if notRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// respond writes a failure, or breaks off an answer that has begun.
func (g *Gate) respond(c *call, err *verdict.Error) {
	if c.began || c.cut {
		c.cut = true
		return
	}
	status := statusOf(err)
	body, jerr := json.Marshal(problem{Request: c.id, Verdict: err.Verdict(), Reason: err.Reason(), Message: err.Message()})
	if jerr != nil {
		g.log.Error("problem_not_encoded", "request", c.id, "error", jerr)
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if c.id != "" {
		h.Set(g.wire.RequestID, c.id)
	}
	if err.RetryAfter() > 0 && err.Verdict() == verdict.NotRun {
		h.Set("Retry-After", seconds(err.RetryAfter()))
	}
	g.boundRest(c)
	g.begin(c, status)
	// A caller that is gone needs no answer.
	_ = c.write(body, g.clk.Now())
}

// boundRest limits the time for the body of a request that is refused before it
// was read: the library reads the rest of it before it answers, and a caller that
// has fallen silent never sends it. The rest may take as long as a head.
func (g *Gate) boundRest(c *call) {
	if !c.hasBody() || c.reading {
		return
	}
	_, head := g.callerTimeouts()
	// A connection without deadlines is bounded by the request's context.
	_ = c.rc.SetReadDeadline(clock.Deadline(min(head, max(0, c.left(g.clk.Now())))))
}
