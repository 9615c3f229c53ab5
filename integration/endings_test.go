package integration_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/internal/fleettest"
)

// rawReply is an answer byte by byte.
type rawReply struct {
	// head is all of the head but the status line and the empty line.
	head, body string
	// status is 200 if zero.
	status int
	// reset ends the connection by a reset in place of a FIN.
	reset bool
}

// resumed is the name of the answer to those who ask for one again.
const resumed = "resumed"

// raw is a target that answers with what it is told, and ends the connection.
type raw struct {
	ln net.Listener
	// replies has an answer for each path, or for each word that may be a message of a chat.
	// That under resumed is for whoever asks for an answer again.
	replies map[string]rawReply
}

// newRaw starts a target and the daemon beside it.
func newRaw(t *testing.T, f *fleettest.Fleet, pool string, replies map[string]rawReply) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &raw{ln: ln, replies: replies}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(nc)
		}
	}()
	d := f.StartDaemon(&fleettest.Process{Name: "raw-" + pool, Addr: ln.Addr().String()}, pool, 0)
	f.ServiceDaemons = append(f.ServiceDaemons, d)
	f.WaitReady()
}

// closing announces the end of the connection, which follows each reply. Without it the next
// request may be sent into that end, behind a reply that is complete.
const closing = "Connection: close\r\n"

func (s *raw) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	reply := s.replyTo(r.URL.Path, string(body))
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 %d Status\r\n%s\r\n%s", max(http.StatusOK, reply.status), reply.head, reply.body)
	if reply.reset {
		// What was sent must have been read.
		time.Sleep(100 * time.Millisecond)
		_ = nc.(*net.TCPConn).SetLinger(0)
	}
}

func (s *raw) replyTo(path, body string) rawReply {
	if strings.HasPrefix(path, "/v1/streams/") {
		path = resumed
	}
	if reply, ok := s.replies[path]; ok {
		return reply
	}
	for word, reply := range s.replies {
		if strings.Contains(body, `"content":"`+word+`"`) {
			return reply
		}
	}
	// Nothing is known of attempts, load or memory.
	return rawReply{status: http.StatusNotFound, head: "Content-Length: 0\r\n" + closing}
}

// seen is what a caller on a plain socket sees of an answer.
type seen struct {
	status int
	framed framing.Framing
	body   string
	// end is nil after a complete message and after a FIN where only that can end it.
	end error
}

// HTTP versions of callers.
var protos = []string{"HTTP/1.1", "HTTP/1.0"}

// sendRaw sends a request over a connection of its own.
func (q request) sendRaw(t *testing.T, proto string) seen {
	t.Helper()
	nc, err := net.Dial("tcp", q.entry.CallerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = fmt.Fprintf(nc, "POST %s %s\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", q.path, proto, q.key, len(q.body), q.body)
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: http.MethodPost})
	if err != nil {
		return seen{end: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return seen{status: res.StatusCode, framed: framing.OfResponse(res), body: string(body), end: err}
}

func service(f *fleettest.Fleet, path string) request {
	return request{entry: f.Entries[0], path: "/services/desk" + path, key: fleettest.Key("planning", "ws0"), body: "body"}
}

// The answer of a plain service that ended with its connection reached callers as complete,
// though the service never said that it was.
func TestAServicesAnswerThatEndsWithItsConnectionIsNotToldAsComplete(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	f := fleettest.Start(t, fleettest.Spec{Entries: 1, Direct: true})
	replies := map[string]rawReply{
		"/short":        {body: "well"},
		"/empty":        {},
		"/long":         {body: long},
		"/long-refusal": {body: long, status: http.StatusNotFound},
		"/length":       {head: "Content-Length: 4\r\n", body: "well"},
		"/chunked":      {head: "Transfer-Encoding: chunked\r\n", body: "4\r\nwell\r\n0\r\n\r\n"},
	}
	newRaw(t, f, "desk", replies)
	for path, want := range map[string]seen{
		"/short":        {http.StatusOK, framing.UntilClose, "well", nil},
		"/empty":        {http.StatusOK, framing.UntilClose, "", nil},
		"/long":         {http.StatusOK, framing.UntilClose, long, nil},
		"/long-refusal": {http.StatusNotFound, framing.UntilClose, long, nil},
		"/length":       {http.StatusOK, framing.Chunked, "well", nil},
		"/chunked":      {http.StatusOK, framing.Chunked, "well", nil},
	} {
		for _, proto := range protos {
			t.Run(path[1:]+", "+proto, func(t *testing.T) {
				want := want
				if proto == "HTTP/1.0" {
					// It has no chunks.
					want.framed = framing.UntilClose
				}
				got := service(f, path).sendRaw(t, proto)
				if got.status != want.status || got.framed != want.framed || got.end != want.end {
					t.Errorf("got status %d, framed %s, end %v, want %d, %s, %v", got.status, got.framed, got.end, want.status, want.framed, want.end)
				}
				if got.body != want.body {
					t.Errorf("got %d bytes, want the %d of the service", len(got.body), len(want.body))
				}
			})
		}
	}
}

// An answer that was known to be broken off ended for callers of HTTP/1.0 as a whole one does.
func TestABrokenAnswerIsToldAsBrokenOffToEachCaller(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	f := fleettest.Start(t, fleettest.Spec{Entries: 1, Direct: true})
	newRaw(t, f, "desk", map[string]rawReply{
		"/no-last-chunk": {head: "Transfer-Encoding: chunked\r\n", body: "4\r\nwell\r\n"},
		"/cut-chunk":     {head: "Transfer-Encoding: chunked\r\n", body: "5\r\nwell"},
		"/short-length":  {head: "Content-Length: 5\r\n", body: "well"},
		"/reset":         {body: long, reset: true},
	})
	for _, path := range []string{"/no-last-chunk", "/cut-chunk", "/short-length", "/reset"} {
		for _, proto := range protos {
			t.Run(path[1:]+", "+proto, func(t *testing.T) {
				// A reset may overtake the head, which then does not come.
				if got := service(f, path).sendRaw(t, proto); got.end == nil {
					t.Errorf("got status %d and %d bytes, framed %s, want an answer that breaks off", got.status, len(got.body), got.framed)
				}
			})
		}
	}
}

// A chat's answer that ended with its connection reached its caller as complete, also if it
// was not.
func TestAChatsAnswerThatEndsWithItsConnectionIsCompleteByItsOwnSyntax(t *testing.T) {
	const refusal, plain = `{"error":{"message":"too long"}}`, `{"choices":[{"message":{"content":"well"}}]}`
	event := func(id int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data) }
	stream := event(0, `{"choices":[{"delta":{"content":"a"}}]}`) + event(1, `{"choices":[{"delta":{"content":"b"}}]}`)
	const sse = "Content-Type: text/event-stream\r\n"
	cases := map[string]struct {
		stream bool
		reply  rawReply
		want   seen
		// whole is true if the caller must be able to tell that it has all of a stream.
		whole bool
	}{
		"refusal":             {reply: rawReply{status: 422, body: refusal}, want: seen{422, framing.Chunked, refusal, nil}},
		"refusal-cut":         {reply: rawReply{status: 422, body: refusal[:9]}, want: seen{422, framing.UntilClose, refusal[:9], nil}},
		"refusal-text":        {reply: rawReply{status: 422, body: "too long"}, want: seen{422, framing.UntilClose, "too long", nil}},
		"refusal-text-length": {reply: rawReply{status: 422, head: "Content-Length: 8\r\n" + closing, body: "too long"}, want: seen{422, framing.Chunked, "too long", nil}},
		"plain":               {reply: rawReply{body: plain}, want: seen{200, framing.Chunked, plain, nil}},
		"plain-cut":           {reply: rawReply{body: plain[:len(plain)-1]}, want: seen{status: 502}},
		"plain-cut-in-number": {reply: rawReply{body: "12"}, want: seen{status: 502}},
		"plain-empty":         {want: seen{status: 502}},
		"stream":              {stream: true, reply: rawReply{head: sse, body: stream + event(2, "[DONE]")}, want: seen{status: 200}, whole: true},
		"stream-cut-between":  {stream: true, reply: rawReply{head: sse, body: stream}, want: seen{status: 200}},
		"stream-cut-inside":   {stream: true, reply: rawReply{head: sse, body: stream + "id: 2\ndata: {"}, want: seen{status: 200}},
		"stream-cut-in-mark":  {stream: true, reply: rawReply{head: sse, body: stream + "id: 2\ndata: [DONE]\n"}, want: seen{status: 200}},
		"stream-cut-at-once":  {stream: true, reply: rawReply{head: sse}, want: seen{status: 502}},
		"stream-last-chunk": {
			stream: true, want: seen{status: 200},
			reply: rawReply{head: sse + "Transfer-Encoding: chunked\r\n" + closing, body: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(stream), stream)},
		},
	}
	replies := map[string]rawReply{}
	for word, tc := range cases {
		replies[word] = tc.reply
	}
	f := fleettest.Start(t, fleettest.Spec{Entries: 1, Direct: true})
	newRaw(t, f, "drafting", replies)
	for word, tc := range cases {
		t.Run(word, func(t *testing.T) {
			got := chat(f.Entries[0], chatBody(tc.stream, 5, word)).sendRaw(t, "HTTP/1.1")
			if got.status != tc.want.status {
				t.Errorf("got status %d, want %d: %s", got.status, tc.want.status, got.body)
			}
			switch {
			case tc.stream && got.status == http.StatusOK:
				if whole := got.end == nil && strings.HasSuffix(got.body, "data: [DONE]\n\n"); whole != tc.whole {
					t.Errorf("got whole %v, want %v: %q, %v", whole, tc.whole, got.body, got.end)
				}
				if !strings.HasPrefix(got.body, strings.ReplaceAll(strings.ReplaceAll(stream, "id: 0\n", ""), "id: 1\n", "")) {
					t.Errorf("got %q, want it to begin with the events that came", got.body)
				}
			case got.status != http.StatusBadGateway:
				if got.framed != tc.want.framed || got.body != tc.want.body || got.end != nil {
					t.Errorf("got %q, framed %s, end %v, want %q, %s", got.body, got.framed, got.end, tc.want.body, tc.want.framed)
				}
			}
		})
	}
}

func TestAChatsAnswerThatBrokeOffIsTakenUpAgain(t *testing.T) {
	const plain = `{"choices":[{"message":{"content":"well"}}]}`
	for name, tc := range map[string]struct {
		stream             bool
		first, again, want string
	}{
		"plain":                     {false, plain[:20], plain, plain},
		"stream, inside an event":   {true, "id: 0\ndata: a\n\nid: 1\ndata: b\n", "id: 1\ndata: bc\n\ndata: [DONE]\n\n", "data: a\n\ndata: bc\n\ndata: [DONE]\n\n"},
		"stream, between two":       {true, "id: 0\ndata: a\n\n", "id: 1\ndata: bc\n\ndata: [DONE]\n\n", "data: a\n\ndata: bc\n\ndata: [DONE]\n\n"},
		"stream, before any":        {true, "", "id: 0\ndata: a\n\ndata: [DONE]\n\n", "data: a\n\ndata: [DONE]\n\n"},
		"stream, inside its number": {true, "id: 0\ndata: a\n\nid: 1", "id: 1\ndata: bc\n\ndata: [DONE]\n\n", "data: a\n\ndata: bc\n\ndata: [DONE]\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleettest.Start(t, fleettest.Spec{Entries: 1, Direct: true})
			newRaw(t, f, "drafting", map[string]rawReply{"/v1/chat/completions": {head: "Content-Type: text/event-stream\r\n", body: tc.first}, resumed: {body: tc.again}})
			got := chat(f.Entries[0], chatBody(tc.stream, 5, "x")).sendRaw(t, "HTTP/1.1")
			if got.body != tc.want || got.end != nil || got.status != http.StatusOK || got.framed != framing.Chunked {
				t.Errorf("got %+v, want %q", got, tc.want)
			}
		})
	}
}

// The body of a caller who ends it early reaches no engine.
func TestARequestThatIsCutReachesNoTarget(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 1, Services: 1, Entries: 1, Direct: true})
	turn := chatBody(false, 2, "x")
	for _, path := range []string{"/services/desk/fees", "/v1/chat/completions"} {
		length, chunked := fmt.Sprintf("Content-Length: %d\r\n", len(turn)+1), "Transfer-Encoding: chunked\r\n"
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(turn), turn)
		for _, tc := range []struct{ name, proto, framing, body string }{
			{"less than its length", "HTTP/1.1", length, turn},
			{"less than its length", "HTTP/1.0", length, turn},
			{"no chunk", "HTTP/1.1", chunked, ""},
			{"inside a chunk", "HTTP/1.1", chunked, chunk[:len(chunk)-4]},
			{"after a chunk", "HTTP/1.1", chunked, chunk},
			{"inside the last chunk", "HTTP/1.1", chunked, chunk + "0\r\n"},
			{"chunks in HTTP/1.0", "HTTP/1.0", chunked, chunk},
		} {
			t.Run(path[1:]+", "+tc.proto+", "+tc.name, func(t *testing.T) {
				before := len(f.StartedRuns(f.Engines[0])) + len(f.StartedRuns(f.Services[0]))
				nc, err := net.Dial("tcp", f.Entries[0].CallerAddr)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = nc.Close() }()
				_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
				_, err = fmt.Fprintf(nc, "POST %s %s\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n%s", path, tc.proto, fleettest.Key("planning", "ws0"), tc.framing, tc.body)
				if err != nil {
					t.Fatal(err)
				}
				if err := nc.(*net.TCPConn).CloseWrite(); err != nil {
					t.Fatal(err)
				}
				answer, err := io.ReadAll(nc)
				if err != nil {
					t.Fatal(err)
				}
				if got := len(f.StartedRuns(f.Engines[0])) + len(f.StartedRuns(f.Services[0])) - before; got != 0 {
					t.Errorf("got %d runs and the answer %q, want none", got, answer)
				}
			})
		}
	}
}
