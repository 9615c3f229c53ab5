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
	headerTransferEncoding = "Transfer-Encoding"
	identity               = "identity"
)

// SetUntilClose has an answer end with its connection, as one does of which nobody says whether
// it is complete. The head must not have been written yet. Until the handler returns the
// connection ends with a reset, also if the process does.
func SetUntilClose(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Del("Content-Length")
	h.Set(headerTransferEncoding, identity)
	connFromContext(r.Context()).resetUntilFinished()
}

// Abort ends the handler of a request in the middle of its answer, so that the caller
// cannot take it for whole. Where only the end of the connection ends the answer, the
// connection is reset.
func Abort(w http.ResponseWriter, r *http.Request) {
	c := connFromContext(r.Context())
	if ResponseFraming(w, r) == framing.UntilClose {
		c.resetUntilFinished()
	} else {
		c.finishResponse(w, r)
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
	case !r.ProtoAtLeast(1, 1) || h.Get(headerTransferEncoding) == identity:
		return framing.UntilClose
	}
	return framing.Chunked
}

// resetUnfinished has h called so that an answer which only the end of the connection ends is told
// from one that broke off, whatever ends the handler.
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

// resetUntilFinished has the connection end with a reset until the handler has returned.
func (c *conn) resetUntilFinished() {
	if c == nil {
		return
	}
	c.resetOnClose = true
	c.setLinger(0)
}

// finishResponse takes back that the connection ends with a reset.
func (c *conn) finishResponse(w http.ResponseWriter, r *http.Request) {
	if c == nil || !c.resetOnClose {
		return
	}
	if w.Header().Get(headerTransferEncoding) == identity {
		// What the library still holds must not be missing behind an orderly end. A
		// caller that left needs none.
		_ = http.NewResponseController(w).Flush()
	}
	c.lingerOnClose.Store(ResponseFraming(w, r) == framing.UntilClose)
	c.resetOnClose = false
	c.setLinger(-1)
}

func (c *conn) setLinger(sec int) {
	if t, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		// It fails only on a closed connection.
		_ = t.SetLinger(sec)
	}
}

const (
	// lingerTimeout bounds the time in which a caller may take the end of an answer that ends
	// with its connection, and lingerBytes what it may send meanwhile, in bytes.
	lingerTimeout  clock.Millis = 500
	maxLingerBytes              = 1 << 20
)

// closeLingering sends the end of the connection, and reads what still comes until the caller has
// taken it: to close a connection with something unread resets it (RFC 9112, section 9.6).
func (c *conn) closeLingering() {
	t, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || t.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(clock.Deadline(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}
