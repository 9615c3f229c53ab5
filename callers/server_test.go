package callers_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/common/clock"
)

const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// served is a server on loopback.
type served struct {
	t    *testing.T
	clk  *clock.Clock
	srv  *callers.Server
	addr string
	// ended is closed when Serve has returned.
	ended chan struct{}
}

// serve starts a server whose connections rest, and whose heads take, so long at most.
func serve(t *testing.T, idle, head clock.Millis, h http.HandlerFunc) *served {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &served{t: t, clk: clock.System(), addr: ln.Addr().String(), ended: make(chan struct{})}
	s.srv = callers.New(callers.Config{
		Handler: h, MaxHeaderBytes: 4096, Clock: s.clk, Log: slog.New(slog.DiscardHandler),
		Timeouts: func() (clock.Millis, clock.Millis) { return idle, head },
	})
	go func() {
		defer close(s.ended)
		if err := s.srv.Serve(ln); err != nil {
			t.Errorf("serve: %v", err)
		}
	}()
	t.Cleanup(func() {
		s.srv.Close()
		<-s.ended
	})
	return s
}

// dial returns a connection, and what reads from it.
func (s *served) dial() (net.Conn, *bufio.Reader) {
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

// answered reads an answer and reports whether there is one.
func answered(r *bufio.Reader) bool {
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// Closing what rests leaves alone what a request is arriving on.
func TestOnlyConnectionsThatRestAreClosed(t *testing.T) {
	s := serve(t, 60_000, 60_000, ok)
	resting, restingReader := s.dial()
	arriving, arrivingReader := s.dial()
	fresh, freshReader := s.dial()
	for nc, r := range map[net.Conn]*bufio.Reader{resting: restingReader, arriving: arrivingReader} {
		send(t, nc, request)
		if !answered(r) {
			t.Fatal("got no answer to a first request")
		}
	}
	send(t, arriving, request[:5])
	time.Sleep(50 * time.Millisecond)
	if got := s.srv.CloseIdle(); got != 1 {
		t.Errorf("got %d connections closed, want the one that rests", got)
	}
	send(t, arriving, request[5:])
	send(t, fresh, request)
	if !answered(arrivingReader) || !answered(freshReader) {
		t.Error("got no answer on a connection on which a request was arriving")
	}
	if _, err := restingReader.ReadByte(); err != io.EOF {
		t.Errorf("got %v on the connection that rested, want its end", err)
	}
}

// A stopping server waits for what is under way, and no longer than it may.
func TestDrainWaitsForWhatIsUnderWay(t *testing.T) {
	for name, tc := range map[string]struct {
		most clock.Millis
		want bool
	}{
		"an answer that ends in time": {60_000, true},
		"one that does not":           {100, false},
	} {
		t.Run(name, func(t *testing.T) {
			var active, tookAt atomic.Int64
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
			end := s.clk.Now() + tc.most
			s.srv.Drain(end, func() bool { return active.Load() > 0 }, func() clock.Millis { return clock.Millis(tookAt.Load()) })
			s.srv.Close()
			if got := answered(r); got != tc.want {
				t.Errorf("got an answer %v, want %v", got, tc.want)
			}
		})
	}
}

// What rests for too long, and a head that does not come, ends by itself.
func TestConnectionsEndByThemselves(t *testing.T) {
	for name, text := range map[string]string{"nothing came": "", "half a head": request[:10]} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, 100, 100, ok)
			nc, r := s.dial()
			send(t, nc, text)
			if _, err := r.ReadByte(); err == nil {
				t.Error("got a byte, want the end of the connection")
			}
		})
	}
}

// Who leaves is noticed while the request is served, also behind the beginning of the
// next one.
func TestACallerWhoLeavesIsNoticed(t *testing.T) {
	for name, more := range map[string]string{"nothing behind the request": "", "the next behind it": request + strings.Repeat("x", 100)} {
		t.Run(name, func(t *testing.T) {
			left := make(chan struct{})
			begun := make(chan struct{}, 2)
			s := serve(t, 60_000, 60_000, func(_ http.ResponseWriter, r *http.Request) {
				ctx, cancel := context.WithCancelCause(r.Context())
				defer callers.OnDisconnect(ctx, cancel)()
				begun <- struct{}{}
				<-ctx.Done()
				close(left)
				panic(http.ErrAbortHandler)
			})
			nc, _ := s.dial()
			send(t, nc, request+more)
			<-begun
			_ = nc.Close()
			select {
			case <-left:
			case <-time.After(20 * time.Second):
				t.Error("got no word of a caller who left")
			}
		})
	}
}
