package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/verdict"
	"github.com/weldfall/weldfall/wire"
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

// statusOf maps a failure to its HTTP status.
func statusOf(err *verdict.Error) int {
	switch err.Reason() {
	case verdict.BadRequest:
		return http.StatusBadRequest
	case verdict.Unauthorized:
		return http.StatusUnauthorized
	case verdict.UnknownModel:
		return http.StatusNotFound
	case verdict.TooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.RateLimited, verdict.Shed, verdict.Overloaded:
		return http.StatusTooManyRequests
	case verdict.Duplicate, verdict.UnknownHistory:
		return http.StatusConflict
	case verdict.Deadline:
		return http.StatusGatewayTimeout
	case verdict.NoEngine, verdict.NotReady, verdict.Leaving, verdict.Unreachable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadGateway
	}
}

// respond tells the caller how the request failed, at once. An answer that
// has begun is cut so that no client can take it for whole.
func (e *Entry) respond(c *call, stage string, cause error) {
	err := verdict.From(cause)
	c.err = err
	body := errorBody{errorDetail{
		Message: stage + ": " + err.Message(), Type: "weldfall_error", Code: err.Reason(),
		Verdict: err.Verdict(), Request: c.id, RetryAfterMS: err.RetryAfter(),
	}}
	text, _ := json.Marshal(body)
	if c.headSent {
		if c.chat.Stream {
			_, _ = c.w.Write([]byte("data: " + string(text) + "\n\n"))
			_ = http.NewResponseController(c.w).Flush()
		}
		// The server closes the connection without an end mark.
		c.cut = true
		return
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequest, c.id)
	h.Set(HeaderVerdict, string(err.Verdict()))
	if err.RetryAfter() > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64(err.RetryAfter()+999)/1000, 10))
		h.Set("Retry-After-Ms", strconv.FormatInt(int64(err.RetryAfter()), 10))
	}
	if err.Verdict() == verdict.MayHaveRun && c.once != nil {
		// Clients that retry on their own must not repeat this one.
		h.Set("X-Should-Retry", "false")
	}
	c.w.WriteHeader(statusOf(err))
	c.headSent = true
	_, _ = c.w.Write(text)
}
