package callers

import (
	"bytes"
	"net/http"
)

// maxHeadLine is the number of bytes of a header line that are kept. It is longer than the names
// of the fields that are looked for.
const maxHeadLine = 128

// maxUnassigned limits the data that may follow a header before its handler starts, in bytes. It
// is more than net/http buffers.
const maxUnassigned = 64 << 10

// headTracker follows where requests begin and end on a connection, so that a header line is
// told from a line of a body. Lengths of bodies come from net/http. It gives up at the first
// request that it cannot follow: one that is chunked, or one that net/http answered by itself.
type headTracker struct {
	lost bool
	// begun is set from the first byte of a header, ended from its last byte until the handler
	// starts.
	begun, ended bool
	// line is the beginning of the current line of the header, requestLine that of its first.
	line, requestLine []byte
	// transferEncoding is set if a line of the header begins with the name of that field, folded if
	// one begins with a blank.
	transferEncoding, folded bool
	// bodyLeft counts the bytes of the body that were not scanned yet.
	bodyLeft int64
	// unassigned is what was read behind a header whose handler has not started.
	unassigned []byte
}

// scan processes data that net/http reads from the connection.
func (t *headTracker) scan(p []byte) {
	for len(p) > 0 && !t.lost {
		switch {
		case t.ended:
			if t.unassigned = append(t.unassigned, p...); len(t.unassigned) > maxUnassigned {
				t.giveUp()
			}
			return
		case t.bodyLeft > 0:
			n := min(t.bodyLeft, int64(len(p)))
			t.bodyLeft -= n
			p = p[n:]
		case !t.begun:
			// net/http skips empty lines after a POST and rejects them otherwise.
			p = bytes.TrimLeft(p, "\r\n")
			t.begun = len(p) > 0
		default:
			p = t.scanLine(p)
		}
	}
}

// scanLine processes data up to the end of the line and returns the rest.
func (t *headTracker) scanLine(p []byte) []byte {
	n, complete := len(p), false
	if i := bytes.IndexByte(p, '\n'); i >= 0 {
		n, complete = i+1, true
	}
	t.line = append(t.line, p[:min(n, maxHeadLine-len(t.line))]...)
	if !complete {
		return nil
	}
	name := transferEncodingLine[1:]
	switch line := string(t.line); {
	case len(t.requestLine) == 0:
		t.requestLine = append(t.requestLine, t.line...)
	case line == "\n" || line == "\r\n":
		t.ended = true
	case line[0] == ' ' || line[0] == '\t':
		t.folded = true
	case len(line) >= len(name) && bytes.EqualFold(t.line[:len(name)], []byte(name)):
		t.transferEncoding = true
	}
	t.line = t.line[:0]
	return p[n:]
}

// begin is called when the handler of a request starts. It reports whether the header of the
// request has Transfer-Encoding and whether it has folded lines; known is false if that cannot be
// told.
func (t *headTracker) begin(r *http.Request) (transferEncoding, folded, known bool) {
	if t.lost || !t.ended || !t.isOf(r) {
		t.giveUp()
		return false, false, false
	}
	transferEncoding, folded = t.transferEncoding, t.folded
	if r.ContentLength < 0 {
		t.giveUp()
		return transferEncoding, folded, true
	}
	rest := t.unassigned
	*t = headTracker{line: t.line[:0], requestLine: t.requestLine[:0], bodyLeft: r.ContentLength}
	t.scan(rest)
	return transferEncoding, folded, true
}

// isOf reports whether the header is that of a request, as far as its first line tells.
func (t *headTracker) isOf(r *http.Request) bool {
	want := r.Method + " " + r.RequestURI + " " + r.Proto
	if len(want) >= maxHeadLine-len("\r\n") {
		return bytes.HasPrefix(t.requestLine, []byte(want[:maxHeadLine-len("\r\n")]))
	}
	return string(bytes.TrimSuffix(bytes.TrimSuffix(t.requestLine, []byte("\n")), []byte("\r"))) == want
}

func (t *headTracker) giveUp() { *t = headTracker{lost: true} }
