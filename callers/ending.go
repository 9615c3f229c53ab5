package callers

import (
	"io"
	"net/http"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
)

// The header by which a handler has the library frame nothing and end the connection after
// the answer. It is not sent.
const (
	transferEncoding = "Transfer-Encoding"
	identity         = "identity"
)

// SetUntilClose has an answer end with its connection, as one does of which nobody says whether
// it is complete. The head must not have been written yet. Until the handler returns the
// connection ends with a reset, also if the process does.
func SetUntilClose(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Del("Content-Length")
	h.Set(transferEncoding, identity)
	connOf(r.Context()).resetUnlessDone()
}

// Abort ends the handler of a request in the middle of its answer, so that the caller
// cannot take it for whole. Where only the end of the connection ends the answer, the
// connection is reset.
func Abort(w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if ResponseFraming(w, r) == framing.UntilClose {
		c.resetUnlessDone()
	} else {
		c.done(w, r)
	}
	// The library closes the connection.
	panic(http.ErrAbortHandler)
}

// ResponseFraming returns how the answer to a request is framed whose head is about to be written,
// or was.
func ResponseFraming(w http.ResponseWriter, r *http.Request) framing.Framing {
	h := w.Header()
	switch {
	case h.Get("Content-Length") != "":
		return framing.Length
	case !r.ProtoAtLeast(1, 1) || h.Get(transferEncoding) == identity:
		return framing.UntilClose
	}
	return framing.Chunked
}

// endInOrder has h called so that an answer which only the end of the connection ends is told
// from one that broke off, whatever ends the handler.
func endInOrder(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if !r.ProtoAtLeast(1, 1) {
			c.resetUnlessDone()
		}
		h.ServeHTTP(w, r)
		c.done(w, r)
	})
}

// resetUnlessDone has the connection end with a reset until the handler has returned.
func (c *conn) resetUnlessDone() {
	if c == nil {
		return
	}
	c.resets = true
	c.setLinger(0)
}

// done takes back that the connection ends with a reset.
func (c *conn) done(w http.ResponseWriter, r *http.Request) {
	if c == nil || !c.resets {
		return
	}
	if w.Header().Get(transferEncoding) == identity {
		// What the library still holds must not be missing behind an orderly end. A
		// caller that left needs none.
		_ = http.NewResponseController(w).Flush()
	}
	c.lingers.Store(ResponseFraming(w, r) == framing.UntilClose)
	c.resets = false
	c.setLinger(-1)
}

func (c *conn) setLinger(sec int) {
	if t, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		// It fails only on a closed connection.
		_ = t.SetLinger(sec)
	}
}

const (
	// lingerFor bounds the time in which a caller may take the end of an answer that ends
	// with its connection, and lingerBytes what it may send meanwhile, in bytes.
	lingerFor   clock.Millis = 500
	lingerBytes              = 1 << 20
)

// linger sends the end of the connection, and reads what still comes until the caller has
// taken it: to close a connection with something unread resets it (RFC 9112, section 9.6).
func (c *conn) linger() {
	t, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || t.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(clock.Deadline(lingerFor))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}
