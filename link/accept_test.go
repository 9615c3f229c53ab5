package link_test

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link"
)

// failingListener fails the first accepts.
type failingListener struct {
	net.Listener
	left atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A server goes on after an accept failed, as it does where no file descriptor is free. It would
// be out of the reach of the other processes for the rest of its life.
func TestAServerGoesOnAfterAFailedAccept(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: ln}
	failing.left.Store(3)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	clk := clock.System()
	go link.Serve(ctx, failing, clk, slog.New(slog.DiscardHandler), &peer{}, 0)
	pool := link.NewPool(clk, &peer{})
	defer pool.Close()
	c, err := pool.Get(ln.Addr().String(), link.Control)
	if err != nil {
		t.Fatal(err)
	}
	callCtx, stop := context.WithTimeout(ctx, clock.Millis(20_000).Duration())
	defer stop()
	var out string
	if err := c.Call(callCtx, "echo", "x", &out); err != nil || out != "x" {
		t.Errorf("got %q %v after failed accepts, want an answer", out, err)
	}
}
