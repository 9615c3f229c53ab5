package relay_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/engines/attempt"
	"github.com/weldfall/weldfall/gate/relay"
)

// exchange is an exchange without an engine.
type exchange struct {
	stream bool
	// reads counts the calls of OnRead, events is the argument of the last call of OnEvents,
	// and unbuffered is true once OnUnbuffered was called.
	reads, events int
	unbuffered    bool
	// content counts the calls of OnContent.
	content int
	// refusal is what BeforeEvents returns.
	refusal error
}

func (x *exchange) WantsStream() bool         { return x.stream }
func (x *exchange) TimeLeft() clock.Millis    { return 1000 }
func (x *exchange) ReadTimeout() clock.Millis { return 1000 }
func (x *exchange) OnRead()                   { x.reads++ }
func (x *exchange) OnEvents(events int)       { x.events = events }

func (x *exchange) BeforeEvents(context.Context) error { return x.refusal }

func (x *exchange) OnContent() { x.content++ }

func (x *exchange) OnUnbuffered() { x.unbuffered = true }

// body is the body of a response.
type body struct{ io.Reader }

func (body) Buffered() int               { return 0 }
func (body) SetReadTimeout(clock.Millis) {}

// withReset returns a reader that ends with a connection reset.
func withReset(r io.Reader) io.Reader { return io.MultiReader(r, resetReader{}) }

type resetReader struct{}

func (resetReader) Read([]byte) (int, error) { return 0, syscall.ECONNRESET }

// response parses the response of an engine up to its body.
func response(t *testing.T, text string, reset bool) (*http.Response, body) {
	t.Helper()
	var r io.Reader = strings.NewReader(text)
	if reset {
		r = withReset(r)
	}
	res, err := http.ReadResponse(bufio.NewReader(r), &http.Request{Method: http.MethodPost})
	if err != nil {
		t.Fatal(err)
	}
	return res, body{res.Body}
}

// newReply returns a reply to a caller with an HTTP version, and a recorder of what the
// caller gets.
func newReply(proto string) (*relay.Reply, *httptest.ResponseRecorder) {
	return newReplyTo(http.MethodPost, proto)
}

// newReplyTo is newReply for a request method.
func newReplyTo(method, proto string) (*relay.Reply, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, "/", nil)
	r.ProtoMajor, r.ProtoMinor, _ = http.ParseHTTPVersion(proto)
	return relay.New(relay.Config{W: w, R: r, Clock: clock.System(), SetHeaders: func(to, from http.Header) {
		for k, v := range from {
			if k != "Content-Length" {
				to[k] = v
			}
		}
	}}), w
}

const (
	chunks    = "Transfer-Encoding: chunked\r\n\r\n"
	lastChunk = "0\r\n\r\n"
	stream    = "Content-Type: text/event-stream\r\n"
	twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
)

func TestRelayOutcomes(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	inChunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	cases := []struct {
		name   string
		stream bool
		text   string
		reset  bool
		// outcome is "answered", "failed" or "broken".
		outcome string
		ended   framing.Completeness
		partial int
		// seen is the end from the caller's point of view, "" if the reply has not begun.
		seen framing.Completeness
		body string
	}{
		{"length", false, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell", false, "answered", framing.Complete, 0, framing.Complete, "well"},
		{"short of its length", false, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwell", false, "broken", framing.Incomplete, 0, "", ""},
		{"until close", false, "HTTP/1.1 200 OK\r\n\r\nwell", false, "answered", framing.Closed, 0, framing.Closed, "well"},
		{"until close, reset", false, "HTTP/1.1 200 OK\r\n\r\nwell", true, "broken", framing.Incomplete, 0, "", ""},
		{"until close, long", false, "HTTP/1.1 200 OK\r\n\r\n" + long, false, "answered", framing.Closed, 0, framing.Closed, long},
		{"long, reset", false, "HTTP/1.1 200 OK\r\n\r\n" + long, true, "broken", framing.Incomplete, 0, framing.Closed, long},
		{"failure", false, "HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\noops", false, "failed", framing.Complete, 0, "", ""},
		{"failure until close", false, "HTTP/1.1 500 No\r\n\r\noops", false, "failed", framing.Closed, 0, "", ""},
		{"promise", false, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false, "broken", framing.Complete, 0, "", ""},
		{"stream", true, "HTTP/1.1 200 OK\r\n" + stream + chunks + inChunk(twoEvents[:len(twoEvents)-1]) + lastChunk, false, "broken", framing.Incomplete, 14, framing.Complete, twoEvents[:15]},
		{"stream until close", true, "HTTP/1.1 200 OK\r\n" + stream + "\r\n" + twoEvents, false, "answered", framing.Closed, 0, framing.Closed, twoEvents},
		{"stream until close, inside an event", true, "HTTP/1.1 200 OK\r\n" + stream + "\r\n" + twoEvents + "id: 3", false, "broken", framing.Incomplete, 5, framing.Closed, twoEvents},
		{"stream, inside its first event", true, "HTTP/1.1 200 OK\r\n" + stream + "\r\nid: 1", false, "broken", framing.Incomplete, 5, "", ""},
		{"stream, reset", true, "HTTP/1.1 200 OK\r\n" + stream + "\r\n" + twoEvents, true, "broken", framing.Incomplete, 0, framing.Closed, twoEvents},
		{"comment at the end", true, "HTTP/1.1 200 OK\r\n" + stream + "\r\n" + twoEvents + ": bye\n", false, "answered", framing.Closed, 0, framing.Closed, twoEvents + ": bye\n"},
		{"empty stream", true, "HTTP/1.1 200 OK\r\n" + stream + chunks + lastChunk, false, "answered", framing.Complete, 0, framing.Complete, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p, w := newReply("HTTP/1.1")
			head, b := response(t, tc.text, tc.reset)
			got := "broken"
			switch o := p.Relay(t.Context(), &exchange{stream: tc.stream}, head, b).(type) {
			case attempt.Answered:
				got = "answered"
				if o.End != tc.ended {
					t.Errorf("got end %s, want %s", o.End, tc.ended)
				}
			case attempt.Failed:
				got = "failed"
				if o.Response.End != tc.ended {
					t.Errorf("got a failure with end %s, want %s", o.Response.End, tc.ended)
				}
			}
			if got != tc.outcome {
				t.Errorf("got outcome %s, want %s", got, tc.outcome)
			}
			if a := p.Observed(); a.End != tc.ended || a.PartialBytes != tc.partial {
				t.Errorf("got %s, %d bytes of an event, want %s, %d", a.End, a.PartialBytes, tc.ended, tc.partial)
			}
			if got := p.EndForCaller(); got != tc.seen {
				t.Errorf("got the caller's end %q, want %q", got, tc.seen)
			}
			if got := w.Body.String(); got != tc.body {
				t.Errorf("got %d bytes, want %d", len(got), len(tc.body))
			}
		})
	}
}

// Events that the exchange refuses must not reach the caller, nor the end of the stream.
func TestRefusedEventsAreNotPassedOn(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	for name, text := range map[string]string{
		"events":   head + "\r\nid: 1\ndata: a\n\n",
		"no event": head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p, w := newReply("HTTP/1.1")
			res, b := response(t, text, false)
			want := errors.New("refused")
			o, ok := p.Relay(t.Context(), &exchange{stream: true, refusal: want}, res, b).(attempt.Broken)
			if !ok || !errors.Is(o.Err, want) {
				t.Errorf("got outcome %v, want broken by %v", o, want)
			}
			if p.Started() || w.Body.Len() > 0 {
				t.Errorf("got %q, started %t, want no response", w.Body, p.Started())
			}
		})
	}
}

func TestAbortedReplyIsIncompleteForTheCaller(t *testing.T) {
	p, _ := newReply("HTTP/1.1")
	p.WriteFailure(http.StatusBadGateway, []byte("{}"))
	if got, want := p.EndForCaller(), framing.Complete; got != want {
		t.Errorf("got the caller's end %s, want %s", got, want)
	}
	p.MarkAborted()
	if got, want := p.EndForCaller(), framing.Incomplete; got != want {
		t.Errorf("got the caller's end %s, want %s", got, want)
	}
}

// A continued stream without an end mark may end the reply only if the reply has no end
// mark either.
func TestContinuedStreamWithoutEndMark(t *testing.T) {
	first := "HTTP/1.1 200 OK\r\n" + stream + chunks + "1e\r\n" + twoEvents + "\r\n"
	rest := "HTTP/1.1 200 OK\r\n" + stream + "\r\nid: 3\ndata: c\n\n"
	for proto, want := range map[string]string{"HTTP/1.1": "broken", "HTTP/1.0": "answered"} {
		t.Run(proto, func(t *testing.T) {
			p, w := newReply(proto)
			x := &exchange{stream: true}
			head, b := response(t, first, false)
			if o, ok := p.Relay(t.Context(), x, head, b).(attempt.Broken); !ok || !errors.Is(o.Err, io.ErrUnexpectedEOF) {
				t.Fatalf("got %v, want a broken stream", o)
			}
			if got, want := p.LastEventID(), "2"; got != want {
				t.Errorf("got last event %s, want %s", got, want)
			}
			head, b = response(t, rest, false)
			o := p.Relay(t.Context(), x, head, b)
			if _, ok := o.(attempt.Answered); ok != (want == "answered") {
				t.Errorf("got %T, want %s", o, want)
			}
			if got, want := w.Body.String(), twoEvents+"id: 3\ndata: c\n\n"; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			if x.events != 3 || x.reads != 2 {
				t.Errorf("got %d events in %d reads, want 3 in 2", x.events, x.reads)
			}
		})
	}
}

func TestCancelledExchangeIsCallerGone(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	p, _ := newReply("HTTP/1.1")
	head, b := response(t, "HTTP/1.1 200 OK\r\n\r\nwell", true)
	if o, ok := p.Relay(ctx, &exchange{}, head, b).(attempt.CallerGone); !ok {
		t.Errorf("got %T, want CallerGone", o)
	}
}
