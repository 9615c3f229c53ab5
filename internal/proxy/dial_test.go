package proxy_test

import (
	"log/slog"
	"net"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/internal/proxy"
	"github.com/weldfall/weldfall/link"
)

// Guards against calls between processes that bypass the links which a test puts between them.
func TestPoolsDialLinks(t *testing.T) {
	linked, other := startServer(t), startServer(t)
	l, err := proxy.New(linked)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	t.Cleanup(proxy.DialLinks)
	t.Setenv(proxy.LinksEnv, linked+"="+l.Addr())
	proxy.DialLinks()
	pool := link.NewPool(clock.System(), nil)
	t.Cleanup(pool.Close)
	for _, addr := range []string{other, linked} {
		if got := l.Dials(); got != 0 {
			t.Errorf("got %d connections over the link, want none", got)
		}
		if _, err := pool.Get(addr, link.Control); err != nil {
			t.Error(err)
		}
	}
	if got := l.Dials(); got != 1 {
		t.Errorf("got %d connections over the link, want 1", got)
	}
}

// startServer serves connections of pools until the end of the test, and returns the address.
func startServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go link.Serve(t.Context(), ln, clock.System(), slog.New(slog.DiscardHandler), nil, 1000)
	return ln.Addr().String()
}
