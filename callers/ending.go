package callers

import (
	"net/http"

	"github.com/weldfall/weldfall/common/framing"
)

// The header by which a handler has the library frame nothing and end the connection after
// the answer. It is not sent.
const (
	transferEncoding = "Transfer-Encoding"
	identity         = "identity"
)

// UntilClose has an answer end with its connection, as one does of which nobody says whether
// it is complete. The head must not have been written yet.
func UntilClose(w http.ResponseWriter) {
	h := w.Header()
	h.Del("Content-Length")
	h.Set(transferEncoding, identity)
}

// BreakOff ends the handler of a request in the middle of its answer, so that the caller
// cannot take it for whole. Where only the end of the connection ends the answer, the
// connection is reset.
func BreakOff(w http.ResponseWriter, r *http.Request) {
	if c := connOf(r.Context()); c != nil && Framing(w, r) == framing.UntilClose {
		c.resetOnClose()
	}
	// The library closes the connection.
	panic(http.ErrAbortHandler)
}

// Framing returns how the answer to a request is framed whose head is about to be written,
// or was.
func Framing(w http.ResponseWriter, r *http.Request) framing.Framing {
	h := w.Header()
	switch {
	case h.Get("Content-Length") != "":
		return framing.Length
	case !r.ProtoAtLeast(1, 1) || h.Get(transferEncoding) == identity:
		return framing.UntilClose
	}
	return framing.Chunked
}

// resetOnClose has the connection end with a reset once it is closed.
func (c *conn) resetOnClose() {
	if t, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		// It fails only on a closed connection.
		_ = t.SetLinger(0)
	}
}
