package callers

import (
	"bytes"
	"net/http"
)

// For a chunked request, net/http removes Content-Length, so a handler cannot tell that the
// request had both. RFC 9112, section 6.1, requires that the connection is closed after the
// response to such a request. An intermediary that used the other length would take the data
// after it for another request (request smuggling).
//
// For a request of HTTP/1.0, net/http removes Transfer-Encoding and goes by Content-Length, or
// takes the request for one without a body. According to the same section the framing of such a
// request is faulty.

// A folded header line, which begins with a blank, is rejected (section 5.2). net/http joins it to the
// one before, while an intermediary may take it for a field, such as a length.

// Beginnings of the header lines that define the length of a body, with the end of the
// preceding line.
const (
	contentLengthLine    = "\ncontent-length"
	transferEncodingLine = "\ntransfer-encoding"
)

// framingDetector detects which framing header fields occurred on a connection. It cannot tell
// which of several requests had them, since net/http may have read ahead, and a line of a body
// may look like a header field. In both cases a valid request can lose its connection, but one of
// HTTP/1.0 is rejected for it only if headTracker has given up.
type framingDetector struct{ contentLength, transferEncoding fieldDetector }

// scan processes data that net/http reads from the connection.
func (d *framingDetector) scan(p []byte) {
	d.contentLength.scan(contentLengthLine, p)
	d.transferEncoding.scan(transferEncodingLine, p)
}

// fieldDetector detects a line that begins with the name of a header field.
type fieldDetector struct {
	// tail is the end of the previous data, which may be the beginning of such a line.
	tail  []byte
	found bool
}

func (d *fieldDetector) scan(field string, p []byte) {
	overlap := len(field) - 1
	joined := append(d.tail, p[:min(len(p), overlap)]...)
	if d.found = d.found || hasFieldLine(joined, field) || hasFieldLine(p, field); d.found {
		return
	}
	if len(p) >= overlap {
		joined = p
	}
	d.tail = append(d.tail[:0], joined[max(0, len(joined)-overlap):]...)
}

// hasFieldLine reports whether a line of text begins with the name of a field.
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

// checkFraming wraps h to reject chunked requests of HTTP/1.0 and requests with folded header lines,
// and to close the connection after a request that may have both Content-Length and
// Transfer-Encoding.
func checkFraming(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		contentLength, transferEncoding, folded := connFromContext(r.Context()).framingFields(r)
		if folded {
			w.Header().Set("Connection", "close")
			http.Error(w, "folded header lines are not supported: send each field on one line", http.StatusBadRequest)
			return
		}
		if transferEncoding && r.ContentLength == 0 && !r.ProtoAtLeast(1, 1) {
			w.Header().Set("Connection", "close")
			http.Error(w, "HTTP/1.0 does not support Transfer-Encoding", http.StatusBadRequest)
			return
		}
		if contentLength && len(r.TransferEncoding) > 0 || transferEncoding && !r.ProtoAtLeast(1, 1) {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// framingFields reports whether a request on the connection may have had Content-Length, whether
// the one that begins has, or may have, Transfer-Encoding, and whether it has folded lines, as far
// as is known.
func (c *conn) framingFields(r *http.Request) (contentLength, transferEncoding, folded bool) {
	if c == nil {
		return false, false, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	transferEncoding, folded, known := c.heads.begin(r)
	if !known {
		transferEncoding = c.framing.transferEncoding.found
	}
	return c.framing.contentLength.found, transferEncoding, folded
}
