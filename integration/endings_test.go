package integration_test

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/internal/fleettest"
)

// rawReply is a response that is sent byte by byte.
type rawReply struct {
	// head is the response head without the status line and the empty line.
	head, body string
	// status is 200 if zero.
	status int
	// statusLine is sent in place of one with the status, unless it is "".
	statusLine string
	// reset ends the connection by a reset instead of a FIN.
	reset bool
	// exits closes the listener and all connections, as a process that ends does.
	exits bool
	// onEnd is called before the connection is closed, unless it is nil.
	onEnd func(ln net.Listener)
}

// resumedReply is the key of the reply to requests that continue a response.
const resumedReply = "resumed"

// rawTarget is a target that sends configured replies and closes the connection.
type rawTarget struct {
	ln net.Listener
	// replies holds a reply for each path, or for each word that may be a message of a
	// chat. The one under resumedReply is for requests that continue a response.
	replies map[string]rawReply

	mu sync.Mutex
	// conns are the open connections.
	conns  map[net.Conn]bool
	exited bool
}

// startRawTarget starts a target and the daemon beside it.
func startRawTarget(t *testing.T, f *fleettest.Fleet, pool string, replies map[string]rawReply) *rawTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &rawTarget{ln: ln, replies: replies, conns: map[net.Conn]bool{}}
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
	return s
}

// closeHeader announces the end of the connection, which follows each reply. Without it,
// the next request may be sent into the closing connection after a complete reply.
const closeHeader = "Connection: close\r\n"

func (s *rawTarget) serve(nc net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, nc)
		s.mu.Unlock()
		_ = nc.Close()
	}()
	if !s.add(nc) {
		return
	}
	r, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	reply := s.replyTo(r.URL.Path, string(body))
	statusLine := cmp.Or(reply.statusLine, fmt.Sprintf("HTTP/1.1 %d Status", max(http.StatusOK, reply.status)))
	_, _ = fmt.Fprintf(nc, "%s\r\n%s\r\n%s", statusLine, reply.head, reply.body)
	if reply.exits {
		s.exit()
	}
	if reply.onEnd != nil {
		s.closeConns()
		reply.onEnd(s.ln)
	}
	if reply.reset {
		// The peer must have read the data before the reset.
		time.Sleep(100 * time.Millisecond)
		_ = nc.(*net.TCPConn).SetLinger(0)
	}
}

// add records an open connection. It returns false if the process has ended.
func (s *rawTarget) add(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[nc] = true
	return !s.exited
}

// open returns the number of open connections.
func (s *rawTarget) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// exit closes the listener and all connections.
func (s *rawTarget) exit() {
	_ = s.ln.Close()
	s.closeConns()
}

// closeConns closes all connections, as the kernel does when the process ends.
func (s *rawTarget) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exited = true
	for nc := range s.conns {
		_ = nc.Close()
	}
}

func (s *rawTarget) replyTo(path, body string) rawReply {
	if strings.HasPrefix(path, "/v1/streams/") {
		path = resumedReply
	}
	if reply, ok := s.replies[path]; ok {
		return reply
	}
	for word, reply := range s.replies {
		if strings.Contains(body, `"content":"`+word+`"`) {
			return reply
		}
	}
	// Requests for attempts, load or cache are not supported.
	return rawReply{status: http.StatusNotFound, head: "Content-Length: 0\r\n" + closeHeader}
}

// rawResponse is a response as a caller on a TCP connection receives it.
type rawResponse struct {
	status int
	framed framing.Framing
	body   string
	// err is nil after a complete message, and after a FIN if only a FIN can end the
	// message.
	err error
}

// HTTP versions of callers.
var protos = []string{"HTTP/1.1", "HTTP/1.0"}

// sendRaw sends a request over its own connection.
func (q request) sendRaw(t *testing.T, proto string) rawResponse {
	t.Helper()
	nc, err := net.Dial("tcp", q.entry.CallerAddr)
	if err != nil {
		t.Fatal(err)
	}
	got, err := q.sendOn(nc, proto)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// sendOn sends a request over a connection and closes it. The error is that of sending.
func (q request) sendOn(nc net.Conn, proto string) (rawResponse, error) {
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	_, err := fmt.Fprintf(nc, "POST %s %s\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", q.path, proto, q.key, len(q.body), q.body)
	if err != nil {
		return rawResponse{}, err
	}
	res, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: http.MethodPost})
	if err != nil {
		return rawResponse{err: err}, nil
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return rawResponse{status: res.StatusCode, framed: framing.OfResponse(res), body: string(body), err: err}, nil
}

func service(f *fleettest.Fleet, path string) request {
	return request{entry: f.Entries[0], path: "/services/desk" + path, key: fleettest.Key("planning", "ws0"), body: "body"}
}

// Guards against passing on the response of a plain service that ended with its connection
// as a complete one, though nothing confirms that it is.
func TestServiceResponseEndingWithItsConnectionIsNotReportedAsComplete(t *testing.T) {
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
	startRawTarget(t, f, "desk", replies)
	for path, want := range map[string]rawResponse{
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
					// HTTP/1.0 has no chunks.
					want.framed = framing.UntilClose
				}
				got := service(f, path).sendRaw(t, proto)
				if got.status != want.status || got.framed != want.framed || got.err != want.err {
					t.Errorf("got status %d, framed %s, end %v, want %d, %s, %v", got.status, got.framed, got.err, want.status, want.framed, want.err)
				}
				if got.body != want.body {
					t.Errorf("got %d bytes, want the %d of the service", len(got.body), len(want.body))
				}
			})
		}
	}
}

// Guards against a part of a response that is told as ended by its service: the service's process
// ended, and the kernel closed the connection with a FIN.
func TestServiceResponseOfAProcessThatEndedIsIncomplete(t *testing.T) {
	for _, proto := range protos {
		f := fleettest.Start(t, fleettest.Spec{Entries: 1, Direct: true})
		s := startRawTarget(t, f, "desk", map[string]rawReply{"/part": {body: strings.Repeat("x", 300<<10), exits: true}})
		if got := service(f, "/part").sendRaw(t, proto); got.err == nil && got.status == http.StatusOK {
			t.Errorf("%s: got status %d and %d bytes, framed %s, want a broken response", proto, got.status, len(got.body), got.framed)
		}
		_ = s.ln.Close()
	}
}

// Guards against a part of a response that is told as ended by its service, whose process ended: its
// listener is closed after the connection, or another process has its address at once.
func TestServiceResponseOfAProcessWhoseAddressAcceptsIsIncomplete(t *testing.T) {
	for name, onEnd := range map[string]func(net.Listener){
		"closes its listener 30 ms later": func(ln net.Listener) { time.AfterFunc(30*time.Millisecond, func() { _ = ln.Close() }) },
		"another process has its address": func(ln net.Listener) {
			_ = ln.Close()
			other, err := net.Listen("tcp", ln.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(func() { _ = other.Close() })
			go func() {
				for {
					nc, err := other.Accept()
					if err != nil {
						return
					}
					go func() { _, _ = io.Copy(io.Discard, nc) }()
				}
			}()
		},
	} {
		for _, proto := range protos {
			t.Run(name+", "+proto, func(t *testing.T) {
				f := fleettest.Start(t, fleettest.Spec{Entries: 1, Direct: true})
				s := startRawTarget(t, f, "desk", map[string]rawReply{"/part": {body: strings.Repeat("x", 300<<10), onEnd: onEnd}})
				if got := service(f, "/part").sendRaw(t, proto); got.err == nil && got.status == http.StatusOK {
					t.Errorf("got status %d and %d bytes, framed %s, want a broken response", got.status, len(got.body), got.framed)
				}
				_ = s.ln.Close()
			})
		}
	}
}

// Guards against ending a response that is known to be broken as a complete one for
// HTTP/1.0 callers.
func TestBrokenResponseIsIncompleteForCallers(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	f := fleettest.Start(t, fleettest.Spec{Entries: 1, Direct: true})
	startRawTarget(t, f, "desk", map[string]rawReply{
		"/no-last-chunk": {head: "Transfer-Encoding: chunked\r\n", body: "4\r\nwell\r\n"},
		"/cut-chunk":     {head: "Transfer-Encoding: chunked\r\n", body: "5\r\nwell"},
		"/short-length":  {head: "Content-Length: 5\r\n", body: "well"},
		"/reset":         {body: long, reset: true},
	})
	for _, path := range []string{"/no-last-chunk", "/cut-chunk", "/short-length", "/reset"} {
		for _, proto := range protos {
			t.Run(path[1:]+", "+proto, func(t *testing.T) {
				// A reset may overtake the head, which then does not arrive.
				if got := service(f, path).sendRaw(t, proto); got.err == nil {
					t.Errorf("got status %d and %d bytes, framed %s, want a broken response", got.status, len(got.body), got.framed)
				}
			})
		}
	}
}

// Guards against passing on a chat response that ended with its connection as complete when
// it was not.
func TestChatResponseEndingWithItsConnectionIsCompleteByItsSyntax(t *testing.T) {
	const refusal, plain = `{"error":{"message":"too long"}}`, `{"choices":[{"message":{"content":"well"}}]}`
	event := func(id int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data) }
	stream := event(0, `{"choices":[{"delta":{"content":"a"}}]}`) + event(1, `{"choices":[{"delta":{"content":"b"}}]}`)
	const sse = "Content-Type: text/event-stream\r\n"
	cases := map[string]struct {
		stream bool
		reply  rawReply
		want   rawResponse
		// complete is true if the caller must be able to detect a complete stream.
		complete bool
	}{
		"refusal":             {reply: rawReply{status: 422, body: refusal}, want: rawResponse{422, framing.Chunked, refusal, nil}},
		"refusal-cut":         {reply: rawReply{status: 422, body: refusal[:9]}, want: rawResponse{422, framing.UntilClose, refusal[:9], nil}},
		"refusal-text":        {reply: rawReply{status: 422, body: "too long"}, want: rawResponse{422, framing.UntilClose, "too long", nil}},
		"refusal-text-length": {reply: rawReply{status: 422, head: "Content-Length: 8\r\n" + closeHeader, body: "too long"}, want: rawResponse{422, framing.Chunked, "too long", nil}},
		"plain":               {reply: rawReply{body: plain}, want: rawResponse{200, framing.Chunked, plain, nil}},
		"plain-cut":           {reply: rawReply{body: plain[:len(plain)-1]}, want: rawResponse{status: 502}},
		"plain-cut-in-number": {reply: rawReply{body: "12"}, want: rawResponse{status: 502}},
		"plain-empty":         {want: rawResponse{status: 502}},
		"stream":              {stream: true, reply: rawReply{head: sse, body: stream + event(2, "[DONE]")}, want: rawResponse{status: 200}, complete: true},
		"stream-cut-between":  {stream: true, reply: rawReply{head: sse, body: stream}, want: rawResponse{status: 200}},
		"stream-cut-inside":   {stream: true, reply: rawReply{head: sse, body: stream + "id: 2\ndata: {"}, want: rawResponse{status: 200}},
		"stream-cut-in-mark":  {stream: true, reply: rawReply{head: sse, body: stream + "id: 2\ndata: [DONE]\n"}, want: rawResponse{status: 200}},
		"stream-cut-at-once":  {stream: true, reply: rawReply{head: sse}, want: rawResponse{status: 502}},
		"stream-last-chunk": {
			stream: true, want: rawResponse{status: 200},
			reply: rawReply{head: sse + "Transfer-Encoding: chunked\r\n" + closeHeader, body: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(stream), stream)},
		},
	}
	replies := map[string]rawReply{}
	for word, tc := range cases {
		replies[word] = tc.reply
	}
	f := fleettest.Start(t, fleettest.Spec{Entries: 1, Direct: true})
	startRawTarget(t, f, "drafting", replies)
	for word, tc := range cases {
		t.Run(word, func(t *testing.T) {
			got := chat(f.Entries[0], chatBody(tc.stream, 5, word)).sendRaw(t, "HTTP/1.1")
			if got.status != tc.want.status {
				t.Errorf("got status %d, want %d: %s", got.status, tc.want.status, got.body)
			}
			switch {
			case tc.stream && got.status == http.StatusOK:
				if complete := got.err == nil && strings.HasSuffix(got.body, "data: [DONE]\n\n"); complete != tc.complete {
					t.Errorf("got complete %v, want %v: %q, %v", complete, tc.complete, got.body, got.err)
				}
				if !strings.HasPrefix(got.body, strings.ReplaceAll(strings.ReplaceAll(stream, "id: 0\n", ""), "id: 1\n", "")) {
					t.Errorf("got %q, want it to begin with the received events", got.body)
				}
			case got.status != http.StatusBadGateway:
				if got.framed != tc.want.framed || got.body != tc.want.body || got.err != nil {
					t.Errorf("got %q, framed %s, end %v, want %q, %s", got.body, got.framed, got.err, tc.want.body, tc.want.framed)
				}
			}
		})
	}
}

func TestBrokenChatResponseIsContinued(t *testing.T) {
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
			s := startRawTarget(t, f, "drafting", map[string]rawReply{"/v1/chat/completions": {head: "Content-Type: text/event-stream\r\n", body: tc.first}, resumedReply: {body: tc.again}})
			got := chat(f.Entries[0], chatBody(tc.stream, 5, "x")).sendRaw(t, "HTTP/1.1")
			if got.body != tc.want || got.err != nil || got.status != http.StatusOK || got.framed != framing.Chunked {
				t.Errorf("got %+v, want %q", got, tc.want)
			}
			// Also the connection that shows whether the target ended is closed.
			f.Eventually("no connection to the target is open", func() bool { return s.open() == 0 })
		})
	}
}

// A request body that ends early must reach no engine.
func TestIncompleteRequestReachesNoTarget(t *testing.T) {
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
				response, err := io.ReadAll(nc)
				if err != nil {
					t.Fatal(err)
				}
				if got := len(f.StartedRuns(f.Engines[0])) + len(f.StartedRuns(f.Services[0])) - before; got != 0 {
					t.Errorf("got %d runs and the response %q, want none", got, response)
				}
			})
		}
	}
}
