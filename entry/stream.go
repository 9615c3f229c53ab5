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

// writeTimeout bounds one write to a slow caller.
const writeTimeout clock.Millis = 15_000

// targetPath is the path of the request at the target.
func targetPath(c *call) string {
	if c.isChat() {
		return chats.Path
	}
	return "/" + strings.TrimPrefix(strings.TrimPrefix(c.r.URL.RequestURI(), "/services/"+c.service), "/")
}

// passedHeaders go from the caller to the target.
var passedHeaders = []string{"Content-Type", "Accept", "Accept-Language", chats.HeaderIdempotencyKey}

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
	if h.EndsUntilClose() {
		callers.SetUntilClose(c.w, c.r)
	}
	header.Set(chats.HeaderRequestID, c.id)
	if c.chatKey != 0 {
		header.Set(chats.HeaderHint, c.offered)
	}
	c.w.WriteHeader(h.Status)
	c.headSent = true
}

// finishStream writes the end mark of a whole stream.
func (c *call) finishStream() {
	if !c.chat.WantsStream() || !c.headSent {
		return
	}
	if strings.HasPrefix(c.w.Header().Get("Content-Type"), "text/event-stream") {
		_, _ = c.w.Write([]byte(chats.DoneEvent))
		_ = http.NewResponseController(c.w).Flush()
	}
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
	f := failure.Failure{RequestID: c.id, Filter: stage, Err: err, AtMostOnce: c.once != nil}
	if c.headSent {
		if c.chat.WantsStream() {
			text, perr := chats.FailureFormat.Encode(f)
			e.tellNotEncoded(c, perr)
			_, _ = c.w.Write([]byte("data: " + string(text) + "\n\n"))
			_ = http.NewResponseController(c.w).Flush()
		}
		// The server closes the connection without an end mark.
		c.cut = true
		return
	}
	status, text, perr := chats.FailureFormat.Prepare(c.w.Header(), f)
	e.tellNotEncoded(c, perr)
	c.w.WriteHeader(status)
	c.headSent = true
	_, _ = c.w.Write(text)
}
