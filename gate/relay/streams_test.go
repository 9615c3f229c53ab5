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

// The part of an event that was too long to be held reached the caller in front of another
// engine's stream, told as complete.
func TestAnEventThatIsTooLongIsNotPutBeforeTheRest(t *testing.T) {
	chunk := func(text string) string { return hex(len(text)) + "\r\n" + text + "\r\n" }
	p, w := newReply("HTTP/1.1")
	x := &exchange{stream: true}
	head, b := answer(t, "HTTP/1.1 200 OK\r\n"+stream+chunks+chunk(twoEvents+"id: 3\ndata: "+strings.Repeat("x", 1<<20+16<<10)), false)
	if o, ok := p.Relay(t.Context(), x, head, b).(attempt.Broken); !ok {
		t.Fatalf("got %T, want broken", o)
	}
	if a := p.Observed(); a.End != framing.Incomplete {
		t.Errorf("got an answer that ended %q, want incomplete", a.End)
	}
	head, b = answer(t, "HTTP/1.1 200 OK\r\n"+stream+chunks+chunk("id: 3\ndata: c\n\n")+lastChunk, false)
	o := p.Relay(t.Context(), x, head, b)
	if got, want := w.Body.String(), twoEvents+"id: 3\ndata: c\n\n"; got != want {
		t.Errorf("got %d bytes by %T, told as %s, want the %d of three events", len(got), o, p.EndForCaller(), len(want))
	}
}

// A whole stream whose lines end with carriage returns was told as broken off.
func TestAWholeStreamReachesItsCallerWhateverEndsItsLines(t *testing.T) {
	for name, body := range map[string]string{
		"CR":                       "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
		"a comment behind a BOM":   "\ufeff: hello\n",
		"LF, with a line of retry": "id: 1\ndata: a\n\nretry: 100\n",
	} {
		t.Run(name, func(t *testing.T) {
			p, w := newReply("HTTP/1.1")
			head, b := answer(t, "HTTP/1.1 200 OK\r\n"+stream+chunks+hex(len(body))+"\r\n"+body+"\r\n"+lastChunk, false)
			o := p.Relay(t.Context(), &exchange{stream: true}, head, b)
			if _, ok := o.(attempt.Answered); !ok || w.Body.String() != body {
				t.Errorf("got %T %v and %q, want all of %q", o, o, w.Body.String(), body)
			}
		})
	}
}

// A stream whose last line end was cut in half was told as complete.
func TestAStreamThatEndsInsideALineEndIsToldAsBrokenOff(t *testing.T) {
	for _, body := range []string{"id: 1\r\ndata: a\r\n\r", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r"} {
		p, w := newReply("HTTP/1.1")
		head, b := answer(t, "HTTP/1.1 200 OK\r\n"+stream+chunks+hex(len(body))+"\r\n"+body+"\r\n"+lastChunk, false)
		if o, ok := p.Relay(t.Context(), &exchange{stream: true}, head, b).(attempt.Broken); !ok {
			t.Errorf("%q: got %T and %q, want a stream that broke off", body, o, w.Body.String())
		}
	}
}

func hex(n int) string { return strconv.FormatInt(int64(n), 16) }

// A whole stream in a content coding was told as broken off.
func TestAWholeCompressedStreamReachesItsCaller(t *testing.T) {
	var z bytes.Buffer
	zw := gzip.NewWriter(&z)
	_, _ = zw.Write([]byte(twoEvents))
	_ = zw.Close()
	p, w := newReply("HTTP/1.1")
	head, b := answer(t, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n"+stream+chunks+hex(z.Len())+"\r\n"+z.String()+"\r\n"+lastChunk, false)
	o := p.Relay(t.Context(), &exchange{stream: true}, head, b)
	if _, ok := o.(attempt.Answered); !ok || w.Body.String() != z.String() {
		t.Errorf("got %T %v and %d bytes, want all %d", o, o, w.Body.Len(), z.Len())
	}
}

// Names of media types have no case: a stream that ended inside an event was told as complete.
func TestAStreamIsKnownInAnyCase(t *testing.T) {
	p, w := newReply("HTTP/1.1")
	const part = "id: 1\ndata: a\n\nid: 2\nda"
	head, b := answer(t, "HTTP/1.1 200 OK\r\nContent-Type: Text/Event-Stream\r\n"+chunks+hex(len(part))+"\r\n"+part+"\r\n"+lastChunk, false)
	if o, ok := p.Relay(t.Context(), &exchange{stream: true}, head, b).(attempt.Broken); !ok {
		t.Errorf("got %T and %q, told as %s, want a stream that broke off", o, w.Body.String(), p.EndForCaller())
	}
}

// The length of what HEAD asks about was told as 0.
func TestTheLengthOfAnAnswerToHEADIsTheEngines(t *testing.T) {
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
