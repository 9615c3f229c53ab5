package relay_test

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/engines/attempt"
)

// The part of an event that is too large to buffer must not reach the caller in front of
// the stream of another engine, which then counts as complete.
func TestOversizedEventIsNotWrittenBeforeContinuation(t *testing.T) {
	chunk := func(text string) string { return hex(len(text)) + "\r\n" + text + "\r\n" }
	p, w := newReply("HTTP/1.1")
	x := &exchange{stream: true}
	head, b := response(t, "HTTP/1.1 200 OK\r\n"+stream+chunks+chunk(twoEvents+"id: 3\ndata: "+strings.Repeat("x", 1<<20+16<<10)), false)
	if o, ok := p.Relay(t.Context(), x, head, b).(attempt.Broken); !ok {
		t.Fatalf("got %T, want broken", o)
	}
	if a := p.Observed(); a.End != framing.Incomplete {
		t.Errorf("got an answer that ended %q, want incomplete", a.End)
	}
	head, b = response(t, "HTTP/1.1 200 OK\r\n"+stream+chunks+chunk("id: 3\ndata: c\n\n")+lastChunk, false)
	o := p.Relay(t.Context(), x, head, b)
	if got, want := w.Body.String(), twoEvents+"id: 3\ndata: c\n\n"; got != want {
		t.Errorf("got %d bytes by %T, ending %s for the caller, want the %d of three events", len(got), o, p.EndForCaller(), len(want))
	}
}

// A complete stream whose lines end with carriage returns must not be reported as broken.
func TestCompleteStreamIsRelayedWithAnyLineEnding(t *testing.T) {
	for name, body := range map[string]string{
		"CR":                       "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
		"a comment behind a BOM":   "\ufeff: hello\n",
		"LF, with a line of retry": "id: 1\ndata: a\n\nretry: 100\n",
	} {
		t.Run(name, func(t *testing.T) {
			p, w := newReply("HTTP/1.1")
			head, b := response(t, "HTTP/1.1 200 OK\r\n"+stream+chunks+hex(len(body))+"\r\n"+body+"\r\n"+lastChunk, false)
			o := p.Relay(t.Context(), &exchange{stream: true}, head, b)
			if _, ok := o.(attempt.Answered); !ok || w.Body.String() != body {
				t.Errorf("got %T %v and %q, want all of %q", o, o, w.Body.String(), body)
			}
		})
	}
}

// A stream that is cut in the middle of its last line ending must not be reported as
// complete.
func TestStreamThatEndsWithinALineEndingIsBroken(t *testing.T) {
	for _, body := range []string{"id: 1\r\ndata: a\r\n\r", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r"} {
		p, w := newReply("HTTP/1.1")
		head, b := response(t, "HTTP/1.1 200 OK\r\n"+stream+chunks+hex(len(body))+"\r\n"+body+"\r\n"+lastChunk, false)
		if o, ok := p.Relay(t.Context(), &exchange{stream: true}, head, b).(attempt.Broken); !ok {
			t.Errorf("%q: got %T and %q, want a broken stream", body, o, w.Body.String())
		}
	}
}

func hex(n int) string { return strconv.FormatInt(int64(n), 16) }

// A complete stream with a content coding must not be reported as broken.
func TestCompressedStreamIsRelayed(t *testing.T) {
	var z bytes.Buffer
	zw := gzip.NewWriter(&z)
	_, _ = zw.Write([]byte(twoEvents))
	_ = zw.Close()
	p, w := newReply("HTTP/1.1")
	head, b := response(t, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n"+stream+chunks+hex(z.Len())+"\r\n"+z.String()+"\r\n"+lastChunk, false)
	o := p.Relay(t.Context(), &exchange{stream: true}, head, b)
	if _, ok := o.(attempt.Answered); !ok || w.Body.String() != z.String() {
		t.Errorf("got %T %v and %d bytes, want all %d", o, o, w.Body.Len(), z.Len())
	}
}

// Media types are case-insensitive. If the type is not recognized, a stream that ends
// within an event is reported as complete.
func TestStreamMediaTypeIsCaseInsensitive(t *testing.T) {
	p, w := newReply("HTTP/1.1")
	const part = "id: 1\ndata: a\n\nid: 2\nda"
	head, b := response(t, "HTTP/1.1 200 OK\r\nContent-Type: Text/Event-Stream\r\n"+chunks+hex(len(part))+"\r\n"+part+"\r\n"+lastChunk, false)
	if o, ok := p.Relay(t.Context(), &exchange{stream: true}, head, b).(attempt.Broken); !ok {
		t.Errorf("got %T and %q, ending %s for the caller, want a broken stream", o, w.Body.String(), p.EndForCaller())
	}
}

// The Content-Length of a response to HEAD must be that of the engine and not 0, the length
// of the body.
func TestHEADHasTheContentLengthOfTheEngine(t *testing.T) {
	for name, text := range map[string]string{"HEAD": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HEAD, chunked": "HTTP/1.1 200 OK\r\n" + chunks} {
		t.Run(name, func(t *testing.T) {
			head, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: http.MethodHead})
			if err != nil {
				t.Fatal(err)
			}
			p, w := newReplyTo(http.MethodHead, "HTTP/1.1")
			p.Relay(t.Context(), &exchange{}, head, body{head.Body})
			if got := w.Header().Get("Content-Length"); got == "0" {
				t.Errorf("got a length of %s, want the engine's or none", got)
			}
		})
	}
}
