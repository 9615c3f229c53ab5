package link_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/internal/clocktest"
	"github.com/weldfall/weldfall/internal/linktest"
	"github.com/weldfall/weldfall/link"
)

// wait waits until ok returns true, far longer than that should take.
func wait(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("got no %s in 20 s", what)
}

// startServer starts a server that closes connections after half a second without data.
func startServer(t *testing.T) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go link.Serve(ctx, ln, clock.System(), slog.New(slog.DiscardHandler), &peer{}, 500)
	return ln.Addr().String()
}

// The end of a silent connection is not reported, so the server must close it by itself.
func TestAServerClosesASilentConnection(t *testing.T) {
	for _, way := range []linktest.Direction{linktest.ToTarget, linktest.Both} {
		t.Run(string(way), func(t *testing.T) {
			t.Parallel()
			l := linktest.New(t, startServer(t))
			pool := link.NewPool(clock.System(), &peer{})
			t.Cleanup(pool.Close)
			c, err := pool.Get(l.Addr(), link.Control)
			if err != nil {
				t.Fatal(err)
			}
			l.Silence(way)
			c.Close()
			wait(t, "end of the silent connection at the server", func() bool { return l.HalfOpenConns() == 0 })
		})
	}
}

// A connection in use is kept.
func TestAServerKeepsAConnectionThatIsUsed(t *testing.T) {
	t.Parallel()
	pool := link.NewPool(clock.System(), &peer{})
	t.Cleanup(pool.Close)
	addr := startServer(t)
	first, err := pool.Get(addr, link.Control)
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		if err := first.Call(context.Background(), "echo", "x", nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if again, err := pool.Get(addr, link.Control); again != first {
		t.Errorf("got another connection (%v), want the one in use", err)
	}
}

// A connection that never sends its class byte must not stay open.
func TestAServerClosesAConnectionThatSendsNothing(t *testing.T) {
	t.Parallel()
	c, err := net.Dial("tcp", startServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("got %v, want the end of the connection", err)
	}
}

// Connections without recent data are closed, others are kept.
func TestCloseSilentKeepsActiveConnections(t *testing.T) {
	t.Parallel()
	clk := clock.System()
	pool := link.NewPool(clk, &peer{})
	t.Cleanup(pool.Close)
	silent, err := pool.Get(startServer(t), link.Control)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	at := clk.Now()
	time.Sleep(20 * time.Millisecond)
	addr := startServer(t)
	active, err := pool.Get(addr, link.Control)
	if err != nil {
		t.Fatal(err)
	}
	if got := pool.CloseSilent(at); got != 1 {
		t.Errorf("got %d connections closed, want 1", got)
	}
	<-silent.Done()
	if again, err := pool.Get(addr, link.Control); again != active {
		t.Errorf("got another connection (%v), want the active one", err)
	}
}

// A connection that was idle while this instance was suspended is not used again, no
// matter who noticed the suspension first. One that was dialed since is.
func TestAPoolReplacesConnectionsIdleDuringASuspension(t *testing.T) {
	t.Parallel()
	h := clocktest.New()
	pool := link.NewPool(clock.FromSource(h), &peer{})
	t.Cleanup(pool.Close)
	l := linktest.New(t, startServer(t))
	before, err := pool.Get(l.Addr(), link.Control)
	if err != nil {
		t.Fatal(err)
	}
	l.Silence(linktest.Both)
	h.Suspend(2 * time.Second)
	after, err := pool.Get(l.Addr(), link.Control)
	if err != nil || after == before {
		t.Fatalf("got the connection from before the suspension (%v), want a new one", err)
	}
	if again, err := pool.Get(l.Addr(), link.Control); again != after {
		t.Errorf("got another connection (%v), want the one dialed since", err)
	}
}
