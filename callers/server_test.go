package callers_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/common/clock"
)

const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// testServer is a server on the loopback interface.
type testServer struct {
	t    *testing.T
	clk  *clock.Clock
	srv  *callers.Server
	addr string
	// done is closed when Serve returns.
	done chan struct{}
	logs *logBuffer
}

// logBuffer collects log lines.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// waitForLine waits for a log line with a message and returns it.
func (l *logBuffer) waitForLine(t *testing.T, msg string) string {
	t.Helper()
	for range 2000 {
		for line := range strings.Lines(l.String()) {
			if strings.Contains(line, " msg="+msg+" ") {
				return line
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("got no log line %s in 20 s", msg)
	return ""
}

// serve starts a server with the given timeouts of idle connections and request headers.
func serve(t *testing.T, idle, header clock.Millis, h http.HandlerFunc) *testServer {
	t.Helper()
	limits := callers.Limits{Idle: idle, Header: header}
	return serveWithOptions(t, serverOptions{limits: func() callers.Limits { return limits }}, h)
}

// serverOptions set up a testServer; nil fields select the defaults.
type serverOptions struct {
	limits func() callers.Limits
	clk    *clock.Clock
	// maxConns limits the connections, 0 if there is no limit.
	maxConns int
	// wrapListener wraps the listener.
	wrapListener func(net.Listener) net.Listener
}

func serveWithOptions(t *testing.T, opts serverOptions, h http.HandlerFunc) *testServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if opts.clk == nil {
		opts.clk = clock.System()
	}
	s := &testServer{t: t, clk: opts.clk, addr: ln.Addr().String(), done: make(chan struct{}), logs: &logBuffer{}}
	if opts.wrapListener != nil {
		ln = opts.wrapListener(ln)
	}
	s.srv = callers.New(callers.Config{
		Handler: h, MaxHeaderBytes: 4096, MaxConns: opts.maxConns, Clock: s.clk, Log: slog.New(slog.NewTextHandler(s.logs, nil)), Limits: opts.limits,
	})
	go func() {
		defer close(s.done)
		if err := s.srv.Serve(ln); err != nil {
			t.Errorf("serve: %v", err)
		}
	}()
	t.Cleanup(func() {
		s.srv.Close()
		<-s.done
	})
	return s
}

// dial returns a connection to the server and a reader for it.
func (s *testServer) dial() (net.Conn, *bufio.Reader) {
	s.t.Helper()
	nc, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = nc.Close() })
	return nc, bufio.NewReader(nc)
}

func send(t *testing.T, nc net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatalf("write: %v", err)
	}
}

// readResponse reads a response and reports whether it is complete.
func readResponse(r *bufio.Reader) bool {
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// Checks that CloseIdle keeps connections on which a request is arriving.
func TestCloseIdle(t *testing.T) {
	s := serve(t, 60_000, 60_000, ok)
	idle, idleReader := s.dial()
	arriving, arrivingReader := s.dial()
	unused, unusedReader := s.dial()
	for nc, r := range map[net.Conn]*bufio.Reader{idle: idleReader, arriving: arrivingReader} {
		send(t, nc, request)
		if !readResponse(r) {
			t.Fatal("got no response to a first request")
		}
	}
	send(t, arriving, request[:5])
	time.Sleep(50 * time.Millisecond)
	if got := s.srv.CloseIdle(); got != 1 {
		t.Errorf("got %d connections closed, want only the idle one", got)
	}
	send(t, arriving, request[5:])
	send(t, unused, request)
	if !readResponse(arrivingReader) || !readResponse(unusedReader) {
		t.Error("got no response on a connection on which a request was arriving")
	}
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("got %v on the idle connection, want EOF", err)
	}
}

// Checks that Drain waits for requests in flight, but not beyond its deadline.
func TestDrain(t *testing.T) {
	for name, tc := range map[string]struct {
		limit clock.Millis
		want  bool
	}{
		"response in time":  {60_000, true},
		"response too late": {100, false},
	} {
		t.Run(name, func(t *testing.T) {
			var active, lastRequestAt atomic.Int64
			release := make(chan struct{})
			s := serve(t, 60_000, 60_000, func(w http.ResponseWriter, _ *http.Request) {
				active.Add(1)
				defer active.Add(-1)
				<-release
				_, _ = io.WriteString(w, "ok")
			})
			nc, r := s.dial()
			send(t, nc, request)
			for active.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			if tc.want {
				time.AfterFunc(100*time.Millisecond, func() { close(release) })
			} else {
				defer close(release)
			}
			deadline := s.clk.Now() + tc.limit
			s.srv.Drain(deadline, func() bool { return active.Load() > 0 }, func() clock.Millis { return clock.Millis(lastRequestAt.Load()) })
			s.srv.Close()
			if got := readResponse(r); got != tc.want {
				t.Errorf("got a response %v, want %v", got, tc.want)
			}
		})
	}
}

// Checks that idle connections and incomplete request headers time out.
func TestConnectionTimeouts(t *testing.T) {
	for name, text := range map[string]string{"no data": "", "incomplete header": request[:10]} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, 100, 100, ok)
			nc, r := s.dial()
			send(t, nc, text)
			if _, err := r.ReadByte(); err == nil {
				t.Error("got a byte, want the connection closed")
			}
		})
	}
}

// Checks that a disconnect is detected while the request is handled, even if the caller has sent
// part of another request.
func TestOnDisconnect(t *testing.T) {
	for name, more := range map[string]string{"one request": "", "pipelined request": request + strings.Repeat("x", 100)} {
		t.Run(name, func(t *testing.T) {
			disconnected := make(chan struct{})
			started := make(chan struct{}, 2)
			s := serve(t, 60_000, 60_000, func(_ http.ResponseWriter, r *http.Request) {
				ctx, cancel := context.WithCancelCause(r.Context())
				defer callers.OnDisconnect(ctx, cancel)()
				started <- struct{}{}
				<-ctx.Done()
				close(disconnected)
				panic(http.ErrAbortHandler)
			})
			nc, _ := s.dial()
			send(t, nc, request+more)
			<-started
			_ = nc.Close()
			select {
			case <-disconnected:
			case <-time.After(20 * time.Second):
				t.Error("got no call after the caller disconnected")
			}
		})
	}
}
