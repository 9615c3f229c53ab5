package link_test

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
)

// peer echoes calls of "echo", streams frames for "stream" and records other messages in
// order.
type peer struct {
	mu  sync.Mutex
	got []string
}

func (*peer) Call(_ context.Context, c *link.Conn, method string, params json.RawMessage) (any, error) {
	switch method {
	case "echo":
		return params, nil
	case "stream":
		for i := range 100 {
			f := wire.Frame{Attempt: 7, Seq: i, Data: []byte{byte(i)}}
			if i == 0 {
				f.Head = &wire.Head{Status: 200, Header: map[string]string{"A": "b"}, Loads: []wire.Load{{Engine: "e", Requests: 3, Age: 5}}}
			}
			if err := c.SendFrame(f); err != nil {
				return nil, err
			}
		}
		return "end", nil
	}
	return nil, errors.New("no such method")
}

func (p *peer) Notify(_ *link.Conn, method string, _ json.RawMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.got = append(p.got, method)
}

func (p *peer) Frame(f wire.Frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.got = append(p.got, string(f.Data))
	if f.Head != nil && (f.Head.Status != 200 || f.Head.Header["A"] != "b" || f.Head.Loads[0] != (wire.Load{Engine: "e", Requests: 3, Age: 5})) {
		p.got = append(p.got, "bad head")
	}
}

func connect(t *testing.T, p *peer) (*link.Pool, string, context.CancelFunc) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	clk := clock.System()
	go link.Serve(ctx, ln, clk, slog.New(slog.DiscardHandler), &peer{}, 0)
	pool := link.NewPool(clk, p)
	t.Cleanup(func() {
		cancel()
		pool.Close()
	})
	return pool, ln.Addr().String(), cancel
}

func TestFramesArriveInOrderAndBeforeTheResult(t *testing.T) {
	p := &peer{}
	pool, addr, _ := connect(t, p)
	c, err := pool.Get(addr, link.Data)
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		var end string
		if err := c.Call(context.Background(), "stream", nil, &end); err != nil || end != "end" {
			t.Fatalf("got %q %v", end, err)
		}
		p.mu.Lock()
		if len(p.got) != 100 {
			t.Fatalf("got %d frames before the result, want 100", len(p.got))
		}
		for i, d := range p.got {
			if d != string([]byte{byte(i)}) {
				t.Fatalf("frame %d: got %q", i, d)
			}
		}
		p.got = nil
		p.mu.Unlock()
	}
}

func TestAPoolKeepsOneConnectionAndRedialsAfterItEnds(t *testing.T) {
	pool, addr, stop := connect(t, &peer{})
	first, err := pool.Get(addr, link.Control)
	if err != nil {
		t.Fatal(err)
	}
	if second, _ := pool.Get(addr, link.Control); second != first {
		t.Error("got another connection, want the same")
	}
	if first.PeerBootID() != link.BootID() {
		t.Errorf("got boot ID %d, want this process's %d", first.PeerBootID(), link.BootID())
	}
	first.Close()
	<-first.Done()
	second, err := pool.Get(addr, link.Control)
	for err == nil && second == first {
		second, err = pool.Get(addr, link.Control)
	}
	var out string
	if err != nil || second.Call(context.Background(), "echo", "x", &out) != nil || out != "x" {
		t.Errorf("got %q %v, want a new connection that answers", out, err)
	}
	stop()
	<-second.Done()
	if _, err := pool.Get(addr, link.Data); err == nil || !strings.Contains(err.Error(), "dial "+addr) {
		t.Errorf("after the end: got %v, want an error that names the address", err)
	}
}

func TestOversizeMessagesAreRefusedWithoutBreakingTheConnection(t *testing.T) {
	pool, addr, _ := connect(t, &peer{})
	c, err := pool.Get(addr, link.Data)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Call(context.Background(), "echo", strings.Repeat("x", link.MaxMessage), nil); err == nil || !strings.Contains(err.Error(), "exceed the limit") {
		t.Errorf("got %v, want the limit named", err)
	}
	var out string
	if err := c.Call(context.Background(), "echo", "x", &out); err != nil || out != "x" {
		t.Errorf("after it: got %q %v, want an answer", out, err)
	}
}
