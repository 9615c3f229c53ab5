package upstream_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/upstream"
	"github.com/weldfall/weldfall/internal/linktest"
	"github.com/weldfall/weldfall/platform"
	"github.com/weldfall/weldfall/platform/standin"
)

const (
	// soon is the timeout of silent exchanges.
	soon clock.Millis = 200
	// late is far longer than a response takes, so that a busy machine does not change
	// the result.
	late clock.Millis = 20_000
)

// dialect holds the header names of the stand-in engine.
var dialect = platform.Dialect()

// rig is a pool with connections to one engine behind a link.
type rig struct {
	pool   *upstream.Pool
	link   *linktest.Link
	engine *standin.Engine
	// silenceTimeout is that of the requests.
	silenceTimeout clock.Millis
}

func newRig(t *testing.T) *rig { return newRigOn(t, clock.System()) }

// newRigOn returns a rig whose pool uses clk.
func newRigOn(t *testing.T, clk *clock.Clock) *rig {
	t.Helper()
	t.Parallel()
	e, err := standin.NewEngine("i-1", func(standin.Run) standin.Reply { return standin.Reply{Body: "x"} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	names := upstream.HeaderNames{RequestID: dialect.RequestID, NotRun: dialect.NotRun}
	return &rig{pool: upstream.NewPool(clk, names, nil, slog.New(slog.DiscardHandler)), link: linktest.New(t, e.Addr()), engine: e, silenceTimeout: soon}
}

func (r *rig) request(id string) *upstream.Request {
	h := http.Header{dialect.RequestID: {id}}
	return &upstream.Request{ID: id, Method: http.MethodGet, URI: "/x", Host: "h", Header: h, SilenceTimeout: r.silenceTimeout}
}

func (r *rig) do(id string, limit clock.Millis) error {
	a, err := r.pool.Do(context.Background(), r.link.Addr(), r.request(id), limit)
	if err != nil {
		return err
	}
	defer a.Close()
	_, err = io.Copy(io.Discard, a)
	return err
}

// keep fills the pool with n idle connections.
func (r *rig) keep(t *testing.T, n int) {
	t.Helper()
	var mu sync.Mutex
	seen, all := map[string]bool{}, make(chan struct{})
	r.engine.SetReply(func(run standin.Run) standin.Reply {
		mu.Lock()
		if seen[run.ID] = true; len(seen) == n {
			select {
			case <-all:
			default:
				close(all)
			}
		}
		mu.Unlock()
		<-all
		return standin.Reply{Body: "x"}
	})
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			if err := r.do("keep"+strconv.Itoa(i), late); err != nil {
				t.Errorf("keep %d: %v", i, err)
			}
		})
	}
	wg.Wait()
	r.engine.SetReply(func(standin.Run) standin.Reply { return standin.Reply{Body: "x"} })
	if got := r.link.OpenConns(); got != n {
		t.Fatalf("got %d open connections, want %d", got, n)
	}
}

// After a connection went silent, the idle ones that received no data since are closed, so
// the next request uses none of them.
func TestSilentConnectionClosesIdleOnes(t *testing.T) {
	for _, way := range []linktest.Direction{linktest.ToTarget, linktest.FromTarget, linktest.Both} {
		t.Run(string(way), func(t *testing.T) {
			r := newRig(t)
			r.keep(t, 3)
			r.link.Silence(way)
			if err := r.do("first", soon); !errors.Is(err, upstream.ErrSilent) {
				t.Fatalf("got %v, want ErrSilent", err)
			}
			if err := r.do("second", late); err != nil {
				t.Errorf("got %v on the request after a silent one, want a response on a new connection", err)
			}
		})
	}
}

// A request that waits on a silent connection makes others avoid the idle ones long before
// it times out itself.
func TestWaitingRequestMarksConnectionSilent(t *testing.T) {
	r := newRig(t)
	r.keep(t, 3)
	r.link.Silence(linktest.Both)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a, err := r.pool.Do(ctx, r.link.Addr(), r.request("waits"), late)
		if err == nil {
			a.Close()
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	for r.link.DroppedChunks() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep((2 * soon).Duration())
	if err := r.do("next", late); err != nil {
		t.Errorf("got %v while another request waits on a silent connection, want a response on a new one", err)
	}
}

// A slow response closes none of the connections that received data meanwhile.
func TestSlowResponseKeepsActiveConnections(t *testing.T) {
	r := newRig(t)
	r.silenceTimeout = 10 * soon
	r.keep(t, 2)
	slow, arrived := make(chan struct{}), make(chan struct{})
	notify := sync.OnceFunc(func() { close(arrived) })
	r.engine.SetReply(func(run standin.Run) standin.Reply {
		if run.ID == "slow" {
			notify()
			<-slow
		}
		return standin.Reply{Body: "x"}
	})
	done := make(chan error)
	go func() { done <- r.do("slow", late) }()
	<-arrived
	// The clock counts milliseconds.
	time.Sleep(10 * time.Millisecond)
	for n := range 2 {
		if err := r.do("quick"+strconv.Itoa(n), late); err != nil {
			t.Fatal(err)
		}
		time.Sleep((r.silenceTimeout + soon).Duration())
	}
	if err := r.do("quick", late); err != nil {
		t.Fatal(err)
	}
	close(slow)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if got := r.engine.Dials(); got != 2 {
		t.Errorf("got %d connections, want the 2 that were kept", got)
	}
}

// Nothing is sent for a caller that has left, even if an idle connection is available.
func TestNothingIsSentAfterCallerLeft(t *testing.T) {
	r := newRig(t)
	r.keep(t, 1)
	before := len(r.engine.Runs())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for i := range 200 {
		a, err := r.pool.Do(ctx, r.link.Addr(), r.request("left"+strconv.Itoa(i)), late)
		if err == nil {
			a.Close()
			t.Error("got a response, want nothing sent")
			continue
		}
		if !errors.Is(err, upstream.ErrNotSent) {
			t.Fatalf("got %v, want nothing sent", err)
		}
	}
	if err := r.do("after", late); err != nil {
		t.Fatal(err)
	}
	if got := len(r.engine.Runs()) - before; got != 1 {
		t.Errorf("got %d requests at the engine, want only the one whose caller has not left", got)
	}
}

// Guards against a body that ends with the first timeout: the chunked reader of net/http
// reports a timeout again on every later read. The exchange is asked again after each further
// silence, and data that arrived while it was asked is not lost.
func TestExchangeGoesOnAfterSilence(t *testing.T) {
	for place, reply := range map[string]standin.Reply{
		"before the header":     {Events: 4, Wait: 3 * soon.Duration()},
		"between events":        {Events: 4, Silence: 3 * soon.Duration(), SilentBefore: 3},
		"before the last chunk": {Events: 4, Silence: 3 * soon.Duration(), SilentBefore: 5},
	} {
		t.Run(place, func(t *testing.T) {
			r := newRig(t)
			r.engine.SetReply(func(standin.Run) standin.Reply { return reply })
			asked := 0
			req := r.request("silent")
			req.OnSilence = func(arrived func() bool) clock.Millis {
				if asked++; asked == 1 {
					return 1
				}
				for deadline := time.Now().Add(late.Duration()); !arrived() && time.Now().Before(deadline); {
					time.Sleep(time.Millisecond)
				}
				if !arrived() {
					t.Error("got no data, want data to have arrived")
				}
				return late
			}
			a, err := r.pool.Do(t.Context(), r.link.Addr(), req, soon)
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			a.SetReadTimeout(soon)
			body, err := io.ReadAll(a)
			if got, want := strings.Count(string(body), "id:"), reply.Events; got != want || err != nil {
				t.Errorf("got %d events and %v, want %d", got, err, want)
			}
			if asked < 2 {
				t.Errorf("got %d questions, want two", asked)
			}
		})
	}
}
