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
	contentLengthLine    = "\ncontent-length"
	transferEncodingLine = "\ntransfer-encoding"
)

// framingDetector notices how the heads on a connection framed their bodies. Which of several
// requests it was is not known, since the library may have read ahead, and a line of a body
// may look like one: either costs a request its connection.
type framingDetector struct{ contentLength, transferEncoding fieldDetector }

// scan takes what the library is handed.
func (l *framingDetector) scan(p []byte) {
	l.contentLength.scan(contentLengthLine, p)
	l.transferEncoding.scan(transferEncodingLine, p)
}

// fieldDetector notices whether a line begins with the name of a field.
type fieldDetector struct {
	// tail has the end of what was read, in which a line may have begun.
	tail []byte
	// found is true once the field was found.
	found bool
}

func (m *fieldDetector) scan(field string, p []byte) {
	most := len(field) - 1
	across := append(m.tail, p[:min(len(p), most)]...)
	if m.found = m.found || hasFieldLine(across, field) || hasFieldLine(p, field); m.found {
		return
	}
	if len(p) >= most {
		across = p
	}
	m.tail = append(m.tail[:0], across[max(0, len(across)-most):]...)
}

// hasFieldLine reports whether a line of a text begins with the name of a field.
func hasFieldLine(text []byte, field string) bool {
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

// checkFraming has h called unless the request is of HTTP/1.0 and has chunks, and with the
// connection to be closed after the answer if the request may have both lengths.
func checkFraming(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		length, coding := connFromContext(r.Context()).framingFields()
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

// framingFields reports whether a request on the connection may have framingFields its length, or a
// transfer coding.
func (c *conn) framingFields() (length, coding bool) {
	if c == nil {
		return false, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.contentLength.found, c.framing.transferEncoding.found
}
