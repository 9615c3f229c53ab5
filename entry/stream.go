package entry

import (
	"net/http"
	"strings"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/callers/chats"
	"github.com/weldfall/weldfall/callers/failure"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/verdict"
)

// writeTimeout is the timeout of one write to a caller.
const writeTimeout clock.Millis = 15_000

// targetPath returns the path of the request at the target.
func targetPath(c *call) string {
	if c.isChat() {
		return chats.Path
	}
	return "/" + strings.TrimPrefix(strings.TrimPrefix(c.r.URL.RequestURI(), "/services/"+c.service), "/")
}

// forwardedHeaders are the request headers that are forwarded to the target.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", chats.HeaderIdempotencyKey}

func targetHeader(r *http.Request) map[string]string {
	out := map[string]string{}
	for _, name := range forwardedHeaders {
		if v := r.Header.Get(name); v != "" {
			out[name] = v
		}
	}
	return out
}

// writeFrames writes frames to the caller. It writes the response header before the first data.
func (c *call) writeFrames(frames []wire.Frame, clk *clock.Clock) error {
	if len(frames) == 0 {
		return nil
	}
	rc := http.NewResponseController(c.w)
	_ = rc.SetWriteDeadline(clock.Deadline(writeTimeout))
	for _, f := range frames {
		if f.Head != nil && !c.headerSent {
			c.writeHeader(f.Head)
			// Less than before always fits.
			_ = c.received.Reserve(answeredForms * int64(len(c.body)))
		}
		if len(f.Data) == 0 {
			continue
		}
		if _, err := c.w.Write(f.Data); err != nil {
			return err
		}
		c.lastWriteMicros = clk.Micros()
		if c.firstWriteMicros == 0 {
			c.firstWriteMicros = c.lastWriteMicros
		}
		c.tokens += max(1, f.Count)
	}
	if c.progress != nil {
		c.progress.Record(c.tokens, clk.Now())
	}
	return rc.Flush()
}

func (c *call) writeHeader(h *wire.Head) {
	header := c.w.Header()
	for k, v := range h.Header {
		header.Set(k, v)
	}
	if h.EndsUntilClose() {
		callers.SetUntilClose(c.w, c.r)
	}
	header.Set(chats.HeaderRequestID, c.id)
	if c.chatKey != 0 {
		header.Set(chats.HeaderHint, c.lastOffer)
	}
	c.w.WriteHeader(h.Status)
	c.headerSent = true
}

// finishStream writes the end marker of a complete stream.
func (c *call) finishStream() {
	if !c.chat.WantsStream() || !c.headerSent {
		return
	}
	if strings.HasPrefix(c.w.Header().Get("Content-Type"), "text/event-stream") {
		_, _ = c.w.Write([]byte(chats.DoneEvent))
		_ = http.NewResponseController(c.w).Flush()
	}
}

// logEncodingError logs err if the body of a failure could not be encoded.
func (e *Entry) logEncodingError(c *call, err error) {
	if err != nil {
		e.log.Error("problem_not_encoded", "request", c.id, "error", err)
	}
}

// respond reports a failure to the caller. A response that has started is aborted, so that the
// caller cannot take it for complete.
func (e *Entry) respond(c *call, stage string, cause error) {
	err := verdict.From(cause)
	c.err = err
	f := failure.Failure{RequestID: c.id, Filter: stage, Err: err, AtMostOnce: c.once != nil}
	if c.headerSent {
		if c.chat.WantsStream() {
			body, encodeErr := chats.FailureFormat.Encode(f)
			e.logEncodingError(c, encodeErr)
			_, _ = c.w.Write([]byte("data: " + string(body) + "\n\n"))
			_ = http.NewResponseController(c.w).Flush()
		}
		// The server closes the connection without an end marker.
		c.aborted = true
		return
	}
	status, body, encodeErr := chats.FailureFormat.Prepare(c.w.Header(), f)
	e.logEncodingError(c, encodeErr)
	c.w.WriteHeader(status)
	c.headerSent = true
	_, _ = c.w.Write(body)
}
