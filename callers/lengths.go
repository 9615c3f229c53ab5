package callers

import (
	"bytes"
	"net/http"
)

// The library drops the Content-Length of a request that is chunked, so a handler cannot
// tell that a request had both. RFC 9112, section 6.1, has the connection closed after the
// answer to such a request: an intermediary that went by the other length would take what
// follows for a request of its own.

// lengthField is the line of a head that names the length, from the end of the line before.
const lengthField = "\ncontent-length"

// lengths notices whether a head on a connection named the length of its body. Which of
// several requests it was is not known, since the library may have read ahead, and a line of
// a body may look like one: either costs a chunked request its connection.
type lengths struct {
	// tail has the end of what was read, in which a line may have begun.
	tail []byte
	// named is true once a length was named.
	named bool
}

// read takes what the library is handed.
func (l *lengths) read(p []byte) {
	const most = len(lengthField) - 1
	across := append(l.tail, p[:min(len(p), most)]...)
	if l.named = l.named || namesLength(across) || namesLength(p); l.named {
		return
	}
	if len(p) >= most {
		across = p
	}
	l.tail = append(l.tail[:0], across[max(0, len(across)-most):]...)
}

// namesLength reports whether a line of a text begins with the name of the length.
func namesLength(text []byte) bool {
	for {
		i := bytes.IndexByte(text, '\n')
		if i < 0 || len(text)-i < len(lengthField) {
			return false
		}
		if bytes.EqualFold(text[i:i+len(lengthField)], []byte(lengthField)) {
			return true
		}
		text = text[i+1:]
	}
}

// closeBothLengths has h called with the connection to be closed after the answer if the
// request may have both lengths.
func closeBothLengths(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r.Context()); c != nil && len(r.TransferEncoding) > 0 && c.namedLength() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// namedLength reports whether a request on the connection may have named its length.
func (c *conn) namedLength() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lengths.named
}
