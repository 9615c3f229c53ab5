package callers_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/common/clock"
)

// endCase is a way in which a connection ends although a request on it was not answered.
type endCase struct {
	name string
	// send is what the caller sends.
	send string
	// handle runs once the request is named; nil waits for the end of the test.
	handle http.HandlerFunc
	// limit is the limit on headers, 0 if there is none.
	limit clock.Millis
	// end ends the connection; nil waits for the server to do so.
	end  func(s *testServer, nc net.Conn)
	want []string
}

func hangUp(_ *testServer, nc net.Conn) { _ = nc.Close() }

func closeServer(s *testServer, _ net.Conn) { s.srv.Close() }

// Each connection that ends before its request is answered has a log line which tells what was
// read of the request, and is counted by its cause.
func TestEveryEndOfAnUnansweredConnectionIsLogged(t *testing.T) {
	post := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n"
	readAll := func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) }
	sent := make(chan struct{})
	for _, tc := range []endCase{
		{name: "header limit", send: request[:10], limit: 100, want: []string{"cause=header_timeout", "limit_ms=100", "version=7", "received=head_part", "response=none", "bytes=10"}},
		{name: "caller leaves within a header", send: request[:10], end: hangUp, want: []string{"cause=caller_closed", "received=head_part", "bytes=10"}},
		{name: "caller leaves within a body", send: post + "half", handle: readAll, end: hangUp, want: []string{"cause=caller_closed", "received=body_part", "request=r", "body=4"}},
		{name: "caller leaves before the response", send: request, end: hangUp, want: []string{"cause=caller_closed", "received=whole", "request=r", "version=6"}},
		{name: "caller resets", send: request, end: func(_ *testServer, nc net.Conn) {
			_ = nc.(*net.TCPConn).SetLinger(0)
			_ = nc.Close()
		}, want: []string{"cause=caller_reset", "received=whole"}},
		{name: "end of the process within a header", send: request[:10], end: closeServer, want: []string{"cause=process_end", "received=head_part", "bytes=10"}},
		{name: "end of the process before the response", send: request, end: closeServer, want: []string{"cause=process_end", "received=whole", "response=none"}},
		{name: "end of the process with a body that was not read", send: post + "half", end: closeServer, want: []string{"cause=process_end", "received=head", "response=none"}},
		{name: "end of the process within the response", send: request, handle: func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, end: closeServer, want: []string{"cause=process_end", "received=whole", "response=part"}},
		{name: "response broken off", send: request, handle: callers.Abort, want: []string{"cause=response_aborted", "received=whole", "response=none"}},
		{name: "handler panics", send: request, handle: func(http.ResponseWriter, *http.Request) { panic("test") }, want: []string{"cause=handler_panicked", "received=whole"}},
		{name: "caller reads nothing", send: request, handle: func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).SetWriteDeadline(clock.Deadline(100))
			_, _ = io.WriteString(w, strings.Repeat("x", 64<<20))
		}, want: []string{"cause=write_timeout", "received=whole"}},
		{name: "sent before a response that closes", send: request, handle: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			<-sent
		}, end: func(_ *testServer, nc net.Conn) {
			_, _ = io.WriteString(nc, request)
			close(sent)
		}, want: []string{"cause=after_response", "response=whole"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			limits := callers.Limits{Idle: 60_000, Header: 60_000, Version: 7}
			if tc.limit > 0 {
				limits.Header = tc.limit
			}
			handled, release := make(chan struct{}, 1), make(chan struct{})
			defer close(release)
			s := serveWithOptions(t, serverOptions{limits: func() callers.Limits { return limits }}, func(w http.ResponseWriter, r *http.Request) {
				callers.SetRequest(r.Context(), "r", 6)
				handled <- struct{}{}
				if tc.handle != nil {
					tc.handle(w, r)
					return
				}
				select {
				case <-release:
				case <-r.Context().Done():
				}
			})
			nc, _ := s.dial()
			send(t, nc, tc.send)
			if strings.Contains(tc.send, "\r\n\r\n") {
				<-handled
			}
			if tc.end != nil {
				// The server must have read what was sent.
				time.Sleep(100 * time.Millisecond)
				tc.end(s, nc)
			}
			line := s.logs.waitForLine(t, "connection_ended")
			for _, want := range tc.want {
				if !strings.Contains(line, " "+want) {
					t.Errorf("got %q, want %s in it", line, want)
				}
			}
			cause := strings.TrimPrefix(tc.want[0], "cause=")
			if n := metrics.GetOrCreateCounter(fmt.Sprintf("weldfall_connections_ended_total{cause=%q}", cause)).Get(); n == 0 {
				t.Errorf("got no connection counted by the cause %s", cause)
			}
		})
	}
}

// The log has no line for connections without an unanswered request.
func TestEndsOfAnsweredConnectionsAreNotLogged(t *testing.T) {
	for name, tc := range map[string]struct {
		send string
		end  func(s *testServer, nc net.Conn)
	}{
		"idle, closed by the caller":  {request, hangUp},
		"idle, closed by the process": {request, closeServer},
		"malformed":                   {"GET / HTTP/1.1\r\n\r\n", nil},
		"closed after the response":   {"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", nil},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, 60_000, 60_000, ok)
			nc, r := s.dial()
			send(t, nc, tc.send)
			if !readResponse(r) {
				t.Fatal("got no response")
			}
			// The caller has the response before the server counts it as ended.
			for range 2000 {
				if s.srv.ActiveConns() == 0 {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if tc.end != nil {
				tc.end(s, nc)
			}
			if _, err := r.ReadByte(); err == nil {
				t.Error("got a byte after the response, want the end of the connection")
			}
			s.srv.Close()
			<-s.done
			if logs := s.logs.String(); strings.Contains(logs, "connection_ended") {
				t.Errorf("got %q, want no line for a connection whose requests were answered", logs)
			}
		})
	}
}

// slowReads is a listener whose connections return what they read behind the first request late.
type slowReads struct {
	net.Listener
	delay time.Duration
	// began is closed when the late data has been read.
	began chan struct{}
}

func (l slowReads) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowReadConn{TCPConn: nc.(*net.TCPConn), l: l}, nil
}

type slowReadConn struct {
	*net.TCPConn
	l     slowReads
	first bool
}

// Read is called by one goroutine at a time. The first read is that of the first request, and
// net/http reads one byte of the next to detect a disconnect.
func (c *slowReadConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 1 && c.first {
		close(c.l.began)
		time.Sleep(c.l.delay)
	}
	c.first = c.first || n > 1
	return n, err
}

// Guards against an end that is not logged because the next request is neither unread nor
// buffered at that moment: the goroutine that reads ahead has just read it.
func TestEndIsLoggedWhileTheNextRequestIsBeingReadAhead(t *testing.T) {
	began := make(chan struct{})
	started := make(chan struct{})
	wrap := func(ln net.Listener) net.Listener { return slowReads{ln, 300 * time.Millisecond, began} }
	s := serveWithOptions(t, serverOptions{limits: func() callers.Limits { return callers.Limits{Idle: 60_000, Header: 60_000} }, wrapListener: wrap}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		close(started)
		<-began
	})
	nc, r := s.dial()
	send(t, nc, request)
	<-started
	send(t, nc, request)
	if !readResponse(r) {
		t.Fatal("got no response to the first request")
	}
	line := s.logs.waitForLine(t, "connection_ended")
	for _, want := range []string{"cause=after_response", "response=whole", fmt.Sprint("ahead=", len(request)-1)} {
		if !strings.Contains(line, " "+want) {
			t.Errorf("got %q, want %s in it", line, want)
		}
	}
}
