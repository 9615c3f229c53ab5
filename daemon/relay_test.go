package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/daemon"
	"github.com/weldfall/weldfall/fleet/source"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/standin/engine"
	"github.com/weldfall/weldfall/verdict"
)

// sink is a link handler that counts frames and their bytes.
type sink struct{ frames, bytes int }

func (*sink) Call(context.Context, *link.Conn, string, json.RawMessage) (any, error) { return nil, nil }

func (*sink) Notify(*link.Conn, string, json.RawMessage) {}

func (s *sink) Frame(f wire.Frame) {
	s.frames += max(1, f.Count)
	s.bytes += len(f.Data)
}

func listen(tb testing.TB) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = ln.Close() })
	return ln
}

// start runs a daemon with an engine without delays and returns a connection to the daemon.
func start(tb testing.TB, h link.Handler) *link.Conn {
	return startEngine(tb, h, engine.Config{ID: "e", Slots: 64, CacheTokens: 1 << 20, Tokens: 10})
}

// startSlow is start with an engine that has one slot and 10 ms between tokens.
func startSlow(tb testing.TB, h link.Handler) *link.Conn {
	return startEngine(tb, h, engine.Config{ID: "e", Slots: 1, CacheTokens: 1 << 20, Tokens: 10, TokenInterval: 10})
}

func startEngine(tb testing.TB, h link.Handler, cfg engine.Config) *link.Conn {
	return startSlots(tb, h, serveEngine(tb, cfg), cfg.Slots)
}

// serveEngine runs a stand-in engine and returns its address.
func serveEngine(tb testing.TB, cfg engine.Config) string {
	cfg.Clock = clock.System()
	ln := listen(tb)
	srv := &http.Server{Handler: engine.New(cfg)}
	go func() { _ = srv.Serve(ln) }()
	tb.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

func startWithEngineAt(tb testing.TB, h link.Handler, addr string) *link.Conn {
	const slots = 64
	return startSlots(tb, h, addr, slots)
}

func startSlots(tb testing.TB, h link.Handler, addr string, slots int) *link.Conn {
	c, _ := startDaemon(tb, h, addr, slots)
	return c
}

func startDaemon(tb testing.TB, h link.Handler, addr string, slots int) (*link.Conn, *daemon.Daemon) {
	clk := clock.System()
	ln := listen(tb)
	d := daemon.New(daemon.Config{
		ID: "d", Hall: "h", Pool: "p", Engines: []daemon.Engine{{ID: "e", Addr: addr, Slots: slots}},
		Platform: source.New("http://127.0.0.1:1", clk, nil), Clock: clk, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	go func() { _ = d.Run(ctx, ln) }()
	pool := link.NewPool(clk, h)
	tb.Cleanup(pool.Close)
	c, err := pool.Get(ln.Addr().String(), link.Data)
	if err != nil {
		tb.Fatal(err)
	}
	return c, d
}

func run(attempt uint64, tokens int) wire.Run {
	return wire.Run{
		Attempt: attempt, Request: fmt.Sprint("r", attempt), Engine: "e", Partner: "p", Workspace: "w", PartnerShare: 1, WorkspaceShare: 1,
		Chat: attempt, Mode: wire.ModeNormal, Method: http.MethodPost, Path: "/v1/chat/completions", Stream: true,
		Body: []byte(fmt.Sprintf(`{"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, tokens)),
		Cost: 10, Remaining: 60_000, MeanLoad: -1, LoadBound: 1.25, LoadFloor: 2, QueueLimit: 10,
	}
}

func TestRelayStream(t *testing.T) {
	s := &sink{}
	c := start(t, s)
	for i := range uint64(3) {
		var res wire.Result
		if err := c.Call(context.Background(), wire.MethodRun, run(i+1, 50), &res); err != nil {
			t.Fatal(err)
		}
		if res.Verdict != verdict.Ran || res.Frames != 51 || s.frames != 51*int(i+1) {
			t.Errorf("got %+v and %d frames, want 51 more", res, s.frames)
		}
	}
	// A repeated attempt, as after a lost result, does not run again.
	var res wire.Result
	if err := c.Call(context.Background(), wire.MethodRun, run(1, 50), &res); err != nil || res.Verdict != verdict.Ran {
		t.Errorf("repeated attempt: got %+v %v, want its result", res, err)
	}
}

// BenchmarkRelay measures a token from the stand-in engine through daemon and connection,
// all in this process.
func BenchmarkRelay(b *testing.B) {
	c := start(b, &sink{})
	const tokens = 2000
	b.ReportAllocs()
	attempt := uint64(0)
	for b.Loop() {
		attempt++
		var res wire.Result
		if err := c.Call(context.Background(), wire.MethodRun, run(attempt, tokens), &res); err != nil || res.Verdict != verdict.Ran {
			b.Fatalf("got %+v %v", res, err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(attempt)/tokens, "ns/token")
}
