package callers_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/common/clock"
)

// serveAtMost starts a server with a limit on its connections.
func serveAtMost(t *testing.T, maxConns int, h http.HandlerFunc) *testServer {
	t.Helper()
	limits := callers.Limits{Idle: 60_000, Header: 60_000}
	return serveWithOptions(t, serverOptions{limits: func() callers.Limits { return limits }, maxConns: maxConns}, h)
}

// exchange sends a request and reads its response.
func exchange(t *testing.T, nc net.Conn, r *bufio.Reader) {
	t.Helper()
	send(t, nc, request)
	if !readResponse(r) {
		t.Fatal("got no response")
	}
}

// isOpen reports whether the server has not closed a connection on which nothing is to read.
func isOpen(nc net.Conn, r *bufio.Reader) bool {
	_ = nc.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err := r.ReadByte()
	_ = nc.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// Guards against a server that accepts nobody, or closes the wrong connection, at its limit on
// connections: first the one that has been idle for longest gives way, then the one whose header
// has been incomplete for longest.
func TestConnectionsGiveWayInOrder(t *testing.T) {
	s := serveAtMost(t, 3, ok)
	type caller struct {
		nc net.Conn
		r  *bufio.Reader
	}
	var conns []caller
	open := func(text string) {
		nc, r := s.dial()
		conns = append(conns, caller{nc, r})
		if text == "" {
			exchange(t, nc, r)
		} else {
			send(t, nc, text)
		}
		// Connections whose header may still be in transit are spared.
		time.Sleep(350 * time.Millisecond)
	}
	open(request[:5])
	open("")
	open(request[:10])
	// The second gives way to the fourth, and the fourth to the fifth.
	for _, want := range []string{"open closed open open", "open closed open closed open"} {
		open("")
		// The server makes room when the next connection may come.
		var got []string
		for _, c := range conns {
			state := "closed"
			if isOpen(c.nc, c.r) {
				state = "open"
			}
			got = append(got, state)
		}
		if got := strings.Join(got, " "); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
	// Nobody is idle: the first header gives way.
	send(t, conns[4].nc, request[:5])
	time.Sleep(350 * time.Millisecond)
	open(request[:5])
	if isOpen(conns[0].nc, conns[0].r) {
		t.Error("got the connection with the oldest incomplete header open, want it closed")
	}
	for _, i := range []int{2, 4} {
		send(t, conns[i].nc, request[map[int]int{2: 10, 4: 5}[i]:])
		if !readResponse(conns[i].r) {
			t.Errorf("got no response on connection %d, whose header was younger", i)
		}
	}
	line := s.logs.waitForLine(t, "connections_evicted")
	if !strings.Contains(line, "limit=3") {
		t.Errorf("got the line %s, want the limit in it", line)
	}
}

// Guards against the loss of a request in flight to a new connection: that waits, and the response
// in flight says that its connection closes.
func TestNewConnectionsWaitForRequestsInFlight(t *testing.T) {
	release := make(chan struct{})
	var started atomic.Int64
	s := serveAtMost(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if started.Add(1) <= 2 {
			<-release
		}
		if callers.Full(r.Context()) {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, "ok")
	})
	var readers []*bufio.Reader
	for n := range 3 {
		nc, r := s.dial()
		readers = append(readers, r)
		send(t, nc, request)
		for n < 2 && started.Load() <= int64(n) {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(500 * time.Millisecond)
	if got := started.Load(); got != 2 {
		t.Errorf("got %d requests started, want 2: the limit and the connection that waits for the next", got)
	}
	close(release)
	closing := 0
	for n, r := range readers {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("response %d: %v", n, err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Errorf("response %d: %v", n, err)
		}
		if res.Close {
			closing++
		}
	}
	if closing == 0 {
		t.Error("got no response that closes its connection, want those that were in flight")
	}
}

// Guards against requests that are read and not answered because their connection gives way.
func TestNoRequestThatWasReadIsLostToAnEviction(t *testing.T) {
	var mu sync.Mutex
	handled, answered := map[string]bool{}, map[string]bool{}
	s := serveAtMost(t, 8, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		handled[r.URL.Path] = true
		mu.Unlock()
		_, _ = io.WriteString(w, "ok")
	})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for caller := range 40 {
		wg.Go(func() {
			var nc net.Conn
			var r *bufio.Reader
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if nc == nil {
					var err error
					if nc, err = net.Dial("tcp", s.addr); err != nil {
						t.Error(err)
						return
					}
					r = bufio.NewReader(nc)
				}
				path := fmt.Sprintf("/%d-%d", caller, n)
				_, err := fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
				if err == nil && readResponse(r) {
					mu.Lock()
					answered[path] = true
					mu.Unlock()
					time.Sleep(time.Duration(n%4) * time.Millisecond)
					continue
				}
				_ = nc.Close()
				nc = nil
			}
		})
	}
	time.Sleep(3 * time.Second)
	close(stop)
	// The callers at the end of the queue are answered once the others have left.
	done := make(chan struct{})
	go func() {
		defer close(done)
		wg.Wait()
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("callers still wait 30 s after the last request")
	}
	lost := 0
	for path := range handled {
		if !answered[path] {
			lost++
		}
	}
	t.Logf("%d requests handled", len(handled))
	if lost > 0 {
		t.Errorf("got %d of %d requests read and not answered, want 0", lost, len(handled))
	}
}

// exhausted is a listener that has no descriptor free for the first accepts.
type exhausted struct {
	net.Listener
	left, accepts *atomic.Int64
}

func (l exhausted) Accept() (net.Conn, error) {
	l.accepts.Add(1)
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a server that ends, or takes all of the processor, while no descriptor is free.
func TestServerGoesOnWithoutDescriptors(t *testing.T) {
	limits := callers.Limits{Idle: 60_000, Header: 60_000}
	var left, accepts atomic.Int64
	s := serveWithOptions(t, serverOptions{
		limits: func() callers.Limits { return limits }, clk: clock.System(),
		wrapListener: func(ln net.Listener) net.Listener { return exhausted{ln, &left, &accepts} },
	}, ok)
	idle, idleReader := s.dial()
	exchange(t, idle, idleReader)
	// One accept is under way.
	left.Store(3)
	first, firstReader := s.dial()
	exchange(t, first, firstReader)
	before := accepts.Load()
	second, secondReader := s.dial()
	exchange(t, second, secondReader)
	if got := accepts.Load() - before; got > 5 {
		t.Errorf("got %d accepts, want the failed ones and one more", got)
	}
	if isOpen(idle, idleReader) {
		t.Error("got the idle connection open, want it closed to free its descriptor")
	}
	if got := strings.Count(s.logs.String(), "msg=accept_failed"); got != 1 {
		t.Errorf("got %d lines accept_failed, want 1", got)
	}
}

// readBody responds with 503 to a request whose body does not arrive in time.
func readBody(w http.ResponseWriter, r *http.Request) bool {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return false
	}
	_, _ = io.WriteString(w, "ok")
	return true
}

// Guards against callers that send half a body and hold all places: the one from which no byte has
// come for longest is told that its request did not run, and a body that goes on is read.
func TestIncompleteBodiesGiveWay(t *testing.T) {
	s := serveAtMost(t, 2, func(w http.ResponseWriter, r *http.Request) { readBody(w, r) })
	const half = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\nhalf"
	resting, restingReader := s.dial()
	send(t, resting, half)
	going, goingReader := s.dial()
	send(t, going, half)
	time.Sleep(350 * time.Millisecond)
	send(t, going, "x")
	time.Sleep(50 * time.Millisecond)
	nc, r := s.dial()
	// An idle connection would give way first.
	send(t, nc, request[:5])
	res, err := http.ReadResponse(restingReader, nil)
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || !res.Close {
		t.Errorf("got %v, %v for a body that rests, want 503 on a connection that closes", res, err)
	}
	send(t, going, "end")
	if !readResponse(goingReader) {
		t.Error("got no response to the request whose body went on")
	}
	send(t, nc, request[5:])
	if !readResponse(r) {
		t.Error("got no response on the new connection")
	}
}

// Guards against requests that are read and not answered, or are canceled, because their body was
// taken for incomplete when it had just arrived.
func TestNoBodyThatArrivedIsLostToAnEviction(t *testing.T) {
	var mu sync.Mutex
	handled, canceled := map[string]bool{}, 0
	s := serveAtMost(t, 8, func(w http.ResponseWriter, r *http.Request) {
		if !readBody(w, r) {
			return
		}
		time.Sleep(5 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		handled[r.URL.Path] = true
		if r.Context().Err() != nil {
			canceled++
		}
	})
	answered, refused := map[string]bool{}, 0
	var wg sync.WaitGroup
	start := time.Now()
	for caller := range 24 {
		wg.Go(func() {
			for n := 0; time.Since(start) < 5*time.Second; n++ {
				nc, err := net.Dial("tcp", s.addr)
				if err != nil {
					t.Error(err)
					return
				}
				path := fmt.Sprintf("/%d-%d", caller, n)
				_, _ = fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\nhalf", path)
				// As long as a new connection is spared, or somewhat longer.
				time.Sleep(time.Duration(290+(37*n+11*caller)%150) * time.Millisecond)
				_, _ = io.WriteString(nc, "rest")
				if res, err := http.ReadResponse(bufio.NewReader(nc), nil); err == nil {
					mu.Lock()
					if res.StatusCode == http.StatusOK {
						answered[path] = true
					} else {
						refused++
					}
					mu.Unlock()
				}
				_ = nc.Close()
			}
		})
	}
	wg.Wait()
	t.Logf("%d requests handled, %d refused", len(handled), refused)
	for path := range handled {
		if !answered[path] {
			t.Errorf("request %s: read and not answered", path)
		}
	}
	if canceled > 0 || len(handled) == 0 || refused == 0 {
		t.Errorf("got %d requests canceled, %d handled and %d refused, want none canceled and both others", canceled, len(handled), refused)
	}
}
