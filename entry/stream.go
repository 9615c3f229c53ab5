package entry

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/weldfall/weldfall/callers/failure"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/verdict"
)

// writeTimeout bounds one write to a slow caller.
const writeTimeout clock.Millis = 15_000

// targetPath is the path of the request at the target.
func targetPath(c *call) string {
	if c.isChat() {
		return "/v1/chat/completions"
	}
	return "/" + strings.TrimPrefix(strings.TrimPrefix(c.r.URL.RequestURI(), "/services/"+c.service), "/")
}

// passedHeaders go from the caller to the target.
var passedHeaders = []string{"Content-Type", "Accept", "Accept-Language", HeaderKey}

func targetHeader(r *http.Request) map[string]string {
	out := map[string]string{}
	for _, name := range passedHeaders {
		if v := r.Header.Get(name); v != "" {
			out[name] = v
		}
	}
	return out
}

// write sends frames on to the caller. The head goes with the first.
func (c *call) write(frames []wire.Frame, clk *clock.Clock) error {
	if len(frames) == 0 {
		return nil
	}
	rc := http.NewResponseController(c.w)
	_ = rc.SetWriteDeadline(clock.Deadline(writeTimeout))
	for _, f := range frames {
		if f.Head != nil && !c.headSent {
			c.sendHead(f.Head)
		}
		if len(f.Data) == 0 {
			continue
		}
		if _, err := c.w.Write(f.Data); err != nil {
			return err
		}
		c.lastMicros = clk.Micros()
		if c.firstMicros == 0 {
			c.firstMicros = c.lastMicros
		}
		c.tokens += max(1, f.Count)
	}
	return rc.Flush()
}

func (c *call) sendHead(h *wire.Head) {
	header := c.w.Header()
	for k, v := range h.Header {
		header.Set(k, v)
	}
	header.Set(HeaderRequest, c.id)
	if c.chatKey != 0 {
		header.Set(HeaderHint, c.offered)
	}
	c.w.WriteHeader(h.Status)
	c.headSent = true
}

// doneEvent ends a stream that is whole; a client that misses it knows that
// the answer was cut.
const doneEvent = "data: [DONE]\n\n"

// finishStream writes the end mark of a whole stream.
func (c *call) finishStream() {
	if !c.chat.Stream || !c.headSent {
		return
	}
	if strings.HasPrefix(c.w.Header().Get("Content-Type"), "text/event-stream") {
		_, _ = c.w.Write([]byte(doneEvent))
		_ = http.NewResponseController(c.w).Flush()
	}
}

// errorBody is the protocol's own error body, with the verdict in it.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string          `json:"message"`
	Type    string          `json:"type"`
	Code    verdict.Reason  `json:"code"`
	Param   *string         `json:"param"`
	Verdict verdict.Verdict `json:"verdict"`
	Request string          `json:"request"`
	// RetryAfterMS is zero where coming back does not help.
	RetryAfterMS clock.Millis `json:"retry_after_ms,omitempty"`
}

// style is how failures are told: the protocol's own error, with the verdict.
var style = failure.Style{
	Statuses: failure.Statuses{
		Always: map[verdict.Reason]int{
			verdict.BadRequest:     http.StatusBadRequest,
			verdict.Unauthorized:   http.StatusUnauthorized,
			verdict.UnknownModel:   http.StatusNotFound,
			verdict.TooLarge:       http.StatusRequestEntityTooLarge,
			verdict.RateLimited:    http.StatusTooManyRequests,
			verdict.Shed:           http.StatusTooManyRequests,
			verdict.Overloaded:     http.StatusTooManyRequests,
			verdict.Duplicate:      http.StatusConflict,
			verdict.UnknownHistory: http.StatusConflict,
			verdict.Deadline:       http.StatusGatewayTimeout,
			verdict.NoEngine:       http.StatusServiceUnavailable,
			verdict.NotReady:       http.StatusServiceUnavailable,
			verdict.Leaving:        http.StatusServiceUnavailable,
			verdict.Unreachable:    http.StatusServiceUnavailable,
		},
		NotRun: http.StatusBadGateway, Otherwise: http.StatusBadGateway,
	},
	Body: func(f failure.Failure) any {
		return errorBody{errorDetail{
			Message: f.Stage + ": " + f.Err.Message(), Type: "weldfall_error", Code: f.Err.Reason(),
			Verdict: f.Err.Verdict(), Request: f.Request, RetryAfterMS: f.Err.RetryAfter(),
		}}
	},
	Header: func(h http.Header, f failure.Failure) {
		h.Set(HeaderRequest, f.Request)
		h.Set(HeaderVerdict, string(f.Err.Verdict()))
		if back := f.Err.RetryAfter(); back > 0 {
			h.Set("Retry-After", strconv.FormatInt(int64(back+999)/1000, 10))
			h.Set("Retry-After-Ms", strconv.FormatInt(int64(back), 10))
		}
		if f.Err.Verdict() == verdict.MayHaveRun && f.Once {
			// Clients that retry on their own must not repeat this one.
			h.Set("X-Should-Retry", "false")
		}
	},
}

// tellNotEncoded logs a failure whose body could not be written.
func (e *Entry) tellNotEncoded(c *call, err error) {
	if err != nil {
		e.log.Error("problem_not_encoded", "request", c.id, "error", err)
	}
}

// respond tells the caller how the request failed, at once. An answer that
// has begun is cut so that no client can take it for whole.
func (e *Entry) respond(c *call, stage string, cause error) {
	err := verdict.From(cause)
	c.err = err
	f := failure.Failure{Request: c.id, Stage: stage, Err: err, Once: c.once != nil}
	if c.headSent {
		if c.chat.Stream {
			text, perr := style.Text(f)
			e.tellNotEncoded(c, perr)
			_, _ = c.w.Write([]byte("data: " + string(text) + "\n\n"))
			_ = http.NewResponseController(c.w).Flush()
		}
		// The server closes the connection without an end mark.
		c.cut = true
		return
	}
	status, text, perr := style.Prepare(c.w.Header(), f)
	e.tellNotEncoded(c, perr)
	c.w.WriteHeader(status)
	c.headSent = true
	_, _ = c.w.Write(text)
}
