package upstream_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
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
	// soon is when a silent exchange is given up or in doubt.
	soon clock.Millis = 200
	// late is far beyond what an answer takes, so that a busy machine changes
	// no verdict.
	late clock.Millis = 20_000
)

// dialect has the names that the stand-in engine speaks.
var dialect = platform.Dialect()

// rig is a pool of connections to one engine behind a link.
type rig struct {
	pool   *upstream.Pool
	link   *linktest.Link
	engine *standin.Engine
	// doubt is that of the requests.
	doubt clock.Millis
}

func newRig(t *testing.T) *rig { return newRigOn(t, clock.System()) }

// newRigOn returns a rig whose pool goes by a clock of the test's.
func newRigOn(t *testing.T, clk *clock.Clock) *rig {
	t.Helper()
	t.Parallel()
	e, err := standin.NewEngine("i-1", func(standin.Run) standin.Reply { return standin.Reply{Body: "x"} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	names := upstream.HeaderNames{RequestID: dialect.RequestID, NotRun: dialect.NotRun}
	return &rig{pool: upstream.NewPool(clk, names, nil, slog.New(slog.DiscardHandler)), link: linktest.New(t, e.Addr()), engine: e, doubt: soon}
}

func (b *rig) request(id string) *upstream.Request {
	h := http.Header{dialect.RequestID: {id}}
	return &upstream.Request{ID: id, Method: http.MethodGet, URI: "/x", Host: "h", Header: h, SilenceTimeout: b.doubt}
}

func (b *rig) do(id string, limit clock.Millis) error {
	a, err := b.pool.Do(context.Background(), b.link.Addr(), b.request(id), limit)
	if err != nil {
		return err
	}
	defer a.Close()
	_, err = io.Copy(io.Discard, a)
	return err
}

// keep leaves n idle connections in the pool.
func (b *rig) keep(t *testing.T, n int) {
	t.Helper()
	var mu sync.Mutex
	seen, all := map[string]bool{}, make(chan struct{})
	b.engine.SetReply(func(r standin.Run) standin.Reply {
		mu.Lock()
		if seen[r.ID] = true; len(seen) == n {
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
			if err := b.do("keep"+strconv.Itoa(i), late); err != nil {
				t.Errorf("keep %d: %v", i, err)
			}
		})
	}
	wg.Wait()
	b.engine.SetReply(func(standin.Run) standin.Reply { return standin.Reply{Body: "x"} })
	if got := b.link.Open(); got != n {
		t.Fatalf("got %d open connections, want %d", got, n)
	}
}

// A connection that fell silent takes the idle ones with it that have not been
// heard since: the request after it meets none of them.
func TestASilentConnectionIsTheLastOfItsKind(t *testing.T) {
	for _, way := range []linktest.Way{linktest.There, linktest.Back, linktest.Both} {
		t.Run(string(way), func(t *testing.T) {
			b := newRig(t)
			b.keep(t, 3)
			b.link.Silence(way)
			if err := b.do("first", soon); !errors.Is(err, upstream.ErrSilent) {
				t.Fatalf("got %v, want a silent engine", err)
			}
			if err := b.do("second", late); err != nil {
				t.Errorf("got %v on the request after a silent one, want an answer on a new connection", err)
			}
		})
	}
}

// A request that must wait to the end on a silent connection warns the others
// long before.
func TestARequestThatWaitsWarnsTheOthers(t *testing.T) {
	b := newRig(t)
	b.keep(t, 3)
	b.link.Silence(linktest.Both)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a, err := b.pool.Do(ctx, b.link.Addr(), b.request("waits"), late)
		if err == nil {
			a.Close()
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	for b.link.Lost() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep((2 * soon).Duration())
	if err := b.do("next", late); err != nil {
		t.Errorf("got %v while another request waits on a silent connection, want an answer on a new one", err)
	}
}

// An engine that takes long for one request costs none of the connections on
// which it has answered meanwhile.
func TestASlowAnswerCostsNoConnectionThatWasHeard(t *testing.T) {
	b := newRig(t)
	b.doubt = 10 * soon
	b.keep(t, 2)
	slow, arrived := make(chan struct{}), make(chan struct{})
	tell := sync.OnceFunc(func() { close(arrived) })
	b.engine.SetReply(func(r standin.Run) standin.Reply {
		if r.ID == "slow" {
			tell()
			<-slow
		}
		return standin.Reply{Body: "x"}
	})
	done := make(chan error)
	go func() { done <- b.do("slow", late) }()
	<-arrived
	// The clock counts milliseconds.
	time.Sleep(10 * time.Millisecond)
	for range 2 {
		if err := b.do("quick", late); err != nil {
			t.Fatal(err)
		}
		time.Sleep((b.doubt + soon).Duration())
	}
	if err := b.do("quick", late); err != nil {
		t.Fatal(err)
	}
	close(slow)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if got := b.engine.Dials(); got != 2 {
		t.Errorf("got %d connections, want the 2 that were kept", got)
	}
}

// Nothing reaches an engine for a caller who has left, also where a connection
// is at hand.
func TestNothingIsSentForACallerWhoHasLeft(t *testing.T) {
	b := newRig(t)
	b.keep(t, 1)
	before := len(b.engine.Runs())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for i := range 200 {
		a, err := b.pool.Do(ctx, b.link.Addr(), b.request("left"+strconv.Itoa(i)), late)
		if err == nil {
			a.Close()
			t.Error("got an answer, want nothing sent")
			continue
		}
		if !errors.Is(err, upstream.ErrNotSent) {
			t.Fatalf("got %v, want nothing sent", err)
		}
	}
	if err := b.do("after", late); err != nil {
		t.Fatal(err)
	}
	if got := len(b.engine.Runs()) - before; got != 1 {
		t.Errorf("got %d requests at the engine, want the one whose caller is there", got)
	}
}
