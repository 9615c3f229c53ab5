package callers

import (
	"io"
	"net/http"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
)

// With the header "Transfer-Encoding: identity", net/http sends the response without framing and
// closes the connection after it. The header itself is not sent.
const (
	headerTransferEncoding = "Transfer-Encoding"
	identity               = "identity"
)

// SetUntilClose makes the end of the connection the end of the response, for a response whose
// length is unknown. It must be called before the header is written. If the handler does not
// return, for example because the process exits, the connection ends with a reset instead, so
// that the caller does not take the response for complete.
func SetUntilClose(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Del("Content-Length")
	h.Set(headerTransferEncoding, identity)
	connFromContext(r.Context()).resetUntilFinished()
}

// Abort ends the handler of a request and closes the connection, so that the caller can tell that
// the response is incomplete. If the response ends with the connection, the connection is reset.
// Abort panics with http.ErrAbortHandler.
func Abort(w http.ResponseWriter, r *http.Request) {
	c := connFromContext(r.Context())
	if ResponseFraming(w, r) == framing.UntilClose {
		c.resetUntilFinished()
	} else {
		c.finishResponse(w, r)
	}
	c.setEndCause(causeAborted, 0, 0)
	// net/http closes the connection.
	panic(http.ErrAbortHandler)
}

// ResponseFraming returns the framing of the response to a request, as determined by the response
// header and the protocol version.
func ResponseFraming(w http.ResponseWriter, r *http.Request) framing.Framing {
	h := w.Header()
	switch {
	case h.Get("Content-Length") != "":
		return framing.Length
	case !r.ProtoAtLeast(1, 1) || h.Get(headerTransferEncoding) == identity:
		return framing.UntilClose
	}
	return framing.Chunked
}

// resetUnfinished wraps h so that the caller can distinguish a complete response that ends with
// the connection from an aborted one, however the handler ends.
func resetUnfinished(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connFromContext(r.Context())
		if !r.ProtoAtLeast(1, 1) {
			c.resetUntilFinished()
		}
		h.ServeHTTP(w, r)
		c.finishResponse(w, r)
	})
}

// resetUntilFinished makes closing the connection send a reset until finishResponse is called.
func (c *conn) resetUntilFinished() {
	if c == nil {
		return
	}
	c.resetOnClose = true
	c.setLinger(0)
}

// finishResponse makes closing the connection send a FIN again.
func (c *conn) finishResponse(w http.ResponseWriter, r *http.Request) {
	if c == nil || !c.resetOnClose {
		return
	}
	if w.Header().Get(headerTransferEncoding) == identity {
		// Data that net/http still buffers must be sent before closing sends a FIN, which would
		// hide that it is missing. Flush fails only if the caller disconnected.
		_ = http.NewResponseController(w).Flush()
	}
	c.lingerOnClose.Store(ResponseFraming(w, r) == framing.UntilClose)
	c.resetOnClose = false
	c.setLinger(-1)
}

func (c *conn) setLinger(sec int) {
	if t, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		// Fails only if the connection is closed.
		_ = t.SetLinger(sec)
	}
}

const (
	// lingerTimeout is the longest time for which the server waits until the caller has read
	// a response after which the connection is closed. maxLingerBytes limits the data that is read
	// and discarded meanwhile, in bytes.
	lingerTimeout  clock.Millis = 500
	maxLingerBytes              = 1 << 20
)

func (c *conn) setLingering() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingering = true
}

// closeLingering closes the write side of the connection, then discards incoming data until the
// caller closes the connection. Closing it with unread data would send a reset, and the caller
// could lose the end of the response (RFC 9112, section 9.6).
func (c *conn) closeLingering() {
	t, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || t.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(clock.Deadline(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}
