package callers

import (
	"bytes"
	"net/http"
)

// The library drops the Content-Length of a request that is chunked, so a handler cannot
// tell that a request had both. RFC 9112, section 6.1, has the connection closed after the
// answer to such a request: an intermediary that went by the other length would take what
// follows for a request of its own.
//
// It drops the chunks of a request of HTTP/1.0, too, and hands it on as one without a body,
// where the same section has the framing as faulty.

// Lines of a head that frame its body, from the end of the line before.
const (
	lengthField = "\ncontent-length"
	codingField = "\ntransfer-encoding"
)

// lengths notices how the heads on a connection framed their bodies. Which of several
// requests it was is not known, since the library may have read ahead, and a line of a body
// may look like one: either costs a request its connection.
type lengths struct{ length, coding mention }

// read takes what the library is handed.
func (l *lengths) read(p []byte) {
	l.length.read(lengthField, p)
	l.coding.read(codingField, p)
}

// mention notices whether a line begins with the name of a field.
type mention struct {
	// tail has the end of what was read, in which a line may have begun.
	tail []byte
	// named is true once the field was named.
	named bool
}

func (m *mention) read(field string, p []byte) {
	most := len(field) - 1
	across := append(m.tail, p[:min(len(p), most)]...)
	if m.named = m.named || names(across, field) || names(p, field); m.named {
		return
	}
	if len(p) >= most {
		across = p
	}
	m.tail = append(m.tail[:0], across[max(0, len(across)-most):]...)
}

// names reports whether a line of a text begins with the name of a field.
func names(text []byte, field string) bool {
	for {
		i := bytes.IndexByte(text, '\n')
		if i < 0 || len(text)-i < len(field) {
			return false
		}
		if bytes.EqualFold(text[i:i+len(field)], []byte(field)) {
			return true
		}
		text = text[i+1:]
	}
}

// checkLengths has h called unless the request is of HTTP/1.0 and has chunks, and with the
// connection to be closed after the answer if the request may have both lengths.
func checkLengths(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		length, coding := connOf(r.Context()).named()
		if coding && r.ContentLength == 0 && !r.ProtoAtLeast(1, 1) {
			w.Header().Set("Connection", "close")
			http.Error(w, "HTTP/1.0 has no transfer codings", http.StatusBadRequest)
			return
		}
		if length && len(r.TransferEncoding) > 0 {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// named reports whether a request on the connection may have named its length, or a
// transfer coding.
func (c *conn) named() (length, coding bool) {
	if c == nil {
		return false, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lengths.length.named, c.lengths.coding.named
}
