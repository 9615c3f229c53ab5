package fleet_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/fleet"
	"github.com/weldfall/weldfall/fleet/member"
	"github.com/weldfall/weldfall/fleet/once"
	"github.com/weldfall/weldfall/fleet/source"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/settings"
	"github.com/weldfall/weldfall/standin/platform"
)

// cannedPeer answers each exchange with what its topics hold.
type cannedPeer struct {
	mu sync.Mutex
	// answer is returned to an exchange, exchanges counts them. fetched is returned to the fetch
	// of a branch.
	answer    func(e wire.Exchange) wire.Exchanged
	fetched   func(path string) wire.Fetched
	exchanges int
}

func (p *cannedPeer) Call(_ context.Context, _ *link.Conn, method string, params json.RawMessage) (any, error) {
	if method == wire.MethodFetch {
		var f wire.Fetch
		if err := json.Unmarshal(params, &f); err != nil {
			return nil, err
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.fetched(f.Keys[0]), nil
	}
	if method != wire.MethodExchange {
		return nil, errors.New("unknown method")
	}
	var e wire.Exchange
	if err := json.Unmarshal(params, &e); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exchanges++
	return p.answer(e), nil
}

func (p *cannedPeer) Notify(*link.Conn, string, json.RawMessage) {}
func (p *cannedPeer) Frame(wire.Frame)                           {}

func (p *cannedPeer) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exchanges
}

func (p *cannedPeer) setAnswer(f func(e wire.Exchange) wire.Exchanged) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answer = f
}

func (p *cannedPeer) setFetched(f func(path string) wire.Fetched) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetched = f
}

// serve returns the address of a peer.
func (p *cannedPeer) serve(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		link.Serve(ctx, ln, clock.System(), slog.New(slog.DiscardHandler), p, 0)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return ln.Addr().String()
}

// unreachable returns an address at which nothing listens.
func unreachable(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// startEntry starts an entry that can't reach the platform.
func startEntry(t *testing.T, bootstrap string) *fleet.Node {
	t.Helper()
	return startEntryAt(t, source.New("http://"+unreachable(t), clock.System(), nil), bootstrap)
}

// startEntryAt starts an entry that reads a platform.
func startEntryAt(t *testing.T, p *source.Client, bootstrap string) *fleet.Node {
	t.Helper()
	clk := clock.System()
	n := fleet.New(fleet.Config{
		ID: "entry-1", Role: member.Entry, Hall: "hall-a", Bootstrap: []string{bootstrap}, Clock: clk, Log: slog.New(slog.DiscardHandler),
		Platform: p, Pool: link.NewPool(clk, &cannedPeer{}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return n
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("got no %s in 10 s", what)
}

// allTopics returns a revision for every topic.
func allTopics(rev int64) map[wire.Topic]int64 {
	out := map[wire.Topic]int64{}
	for _, t := range wire.Topics {
		out[t] = rev
	}
	return out
}

// Guards against a started entry that serves with a part of the settings and of the list of
// instances, because the peer that it asked last has no more: it would claim keys at the few
// daemons that it knows, while other entries claim them at others.
func TestAPeerThatIsBehindDoesNotMakeAnEntryReady(t *testing.T) {
	t.Parallel()
	const (
		daemons = 12
		// listed is how many of them the first response lists.
		listed = 3
	)
	complete, behind := &cannedPeer{}, &cannedPeer{}
	behindAddr := behind.serve(t)
	instances := func(from, to int) []wire.Item {
		var items []wire.Item
		for i := from; i <= to; i++ {
			id := fmt.Sprintf("daemon-%d", i)
			value, err := json.Marshal(member.Instance{ID: id, Role: member.Daemon, Addr: behindAddr, Hall: "hall-a", Pool: "chat", State: member.Live})
			if err != nil {
				t.Fatal(err)
			}
			items = append(items, wire.Item{Topic: wire.TopicInstances, Key: id, Rev: int64(i), Prev: wire.PrevUnknown, Value: string(value)})
		}
		return items
	}
	complete.setAnswer(func(wire.Exchange) wire.Exchanged {
		upto := allTopics(daemons)
		upto[wire.TopicInstances] = listed
		return wire.Exchanged{Items: instances(1, listed), Upto: upto, Revs: allTopics(daemons), PlatformAge: 10}
	})
	behind.setAnswer(func(wire.Exchange) wire.Exchanged {
		return wire.Exchanged{Revs: allTopics(0), PlatformAge: 10}
	})
	n := startEntry(t, complete.serve(t))
	eventually(t, "exchanges with the peer that is behind", func() bool { return behind.count() >= 10 })
	if n.Ready() {
		ws, _, cutOff := n.Witnesses(once.KeyHash("planning/ws0", "k"), 60_000)
		t.Errorf("got a ready entry that claims keys at %d of %d witnesses, cut off %t, want one that is not ready", len(ws), once.Witnesses, cutOff)
	}
	behind.setAnswer(func(wire.Exchange) wire.Exchanged {
		return wire.Exchanged{Items: instances(listed+1, daemons), Upto: allTopics(daemons), Revs: allTopics(daemons), PlatformAge: 10}
	})
	eventually(t, "ready entry", n.Ready)
	if ws, _, _ := n.Witnesses(once.KeyHash("planning/ws0", "k"), 60_000); len(ws) != once.Witnesses {
		t.Errorf("got %d witnesses, want %d", len(ws), once.Witnesses)
	}
}

// Guards against entries that start together, know nothing and tell each other that nothing is
// missing: they would reject valid keys for good.
func TestPeersThatKnowNothingDoNotMakeAnEntryReady(t *testing.T) {
	t.Parallel()
	empty := &cannedPeer{}
	empty.setAnswer(func(wire.Exchange) wire.Exchanged { return wire.Exchanged{Revs: allTopics(0), PlatformAge: 1 << 40} })
	n := startEntry(t, empty.serve(t))
	// An entry that waits for the platform gives up after three seconds.
	time.Sleep(4 * time.Second)
	if n.Ready() {
		t.Errorf("got a ready entry after %d exchanges with a peer that knows nothing, want one that is not ready", empty.count())
	}
}

// Guards against a started entry that serves with a part of the list of instances, because the
// platform answered for the settings alone: it would claim keys at the few daemons that it knows.
func TestSettingsOfThePlatformDoNotMakeAnEntryReady(t *testing.T) {
	t.Parallel()
	clk := clock.System()
	p := platform.New(platform.Config{Clock: clk})
	p.Put("config", "root", "{}")
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, string(source.Instances)) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		p.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	partial := &cannedPeer{}
	partial.setAnswer(func(wire.Exchange) wire.Exchanged {
		value := `{"id":"daemon-1","role":"daemon","addr":"127.0.0.1:1","hall":"hall-a","pool":"chat","state":"leaving"}`
		upto := allTopics(12)
		upto[wire.TopicInstances] = 1
		return wire.Exchanged{
			Items: []wire.Item{{Topic: wire.TopicInstances, Key: "daemon-1", Rev: 1, Prev: wire.PrevUnknown, Value: value}},
			Upto:  upto, Revs: allTopics(12), PlatformAge: 10,
		}
	})
	n := startEntryAt(t, source.New(srv.URL, clk, nil), partial.serve(t))
	await(t, n, 1, 10*time.Second)
	// An entry that waits for its peers gives up after three seconds.
	time.Sleep(4 * time.Second)
	if n.Ready() {
		ws, _, _ := n.Witnesses(once.KeyHash("planning/ws0", "k"), 60_000)
		t.Errorf("got a ready entry that claims keys at %d of %d witnesses, want one that is not ready", len(ws), once.Witnesses)
	}
}

// Guards against a valid key that is rejected for good by an entry that started lately, because
// it may ask for no more branches at present, or because nobody who has them answered.
func TestKeyOfABranchThatMayExistIsNotRejected(t *testing.T) {
	t.Parallel()
	const branches = 30
	key := func(i int) string { return fmt.Sprintf("planning.ws%d.secret", i) }
	for name, tc := range map[string]struct {
		// upto is the revision up to which the peers have the branches, of which the newest has
		// the revision branches. has is whether they have any.
		upto int64
		has  bool
		// known is the least number of keys that are known to be valid, rejected is whether
		// others are rejected.
		known    int
		rejected bool
	}{
		"more than may be asked for":    {branches, true, 1, false},
		"the peers are behind, too":     {1, false, 0, false},
		"the peers have no such branch": {branches, false, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			peer := &cannedPeer{}
			addr := peer.serve(t)
			var items []wire.Item
			for i := range 2 {
				id := fmt.Sprintf("entry-%d", i+2)
				value, err := json.Marshal(member.Instance{ID: id, Role: member.Entry, Addr: addr, Hall: "hall-a", State: member.Live})
				if err != nil {
					t.Fatal(err)
				}
				items = append(items, wire.Item{Topic: wire.TopicInstances, Key: id, Rev: int64(i + 1), Prev: wire.PrevUnknown, Value: string(value)})
			}
			peer.setAnswer(func(wire.Exchange) wire.Exchanged {
				upto := allTopics(branches)
				delete(upto, wire.TopicBranches)
				return wire.Exchanged{Items: items, Upto: upto, Revs: allTopics(branches), PlatformAge: 10}
			})
			peer.setFetched(func(path string) wire.Fetched {
				res := wire.Fetched{Upto: tc.upto}
				if tc.has {
					value := fmt.Sprintf("[access]\nkey_sha256 = [%q]\n", settings.HashKey(strings.Replace(path, "/", ".", 1)+".secret"))
					res.Items = []wire.Item{{Topic: wire.TopicBranches, Key: path, Rev: 1, Prev: wire.PrevUnknown, Value: value}}
				}
				return res
			})
			n := startEntry(t, addr)
			eventually(t, "ready entry", n.Ready)
			known, rejected := 0, 0
			for i := range branches {
				path, err := n.Authenticate(t.Context(), key(i))
				switch {
				case err == nil && path == fmt.Sprintf("planning/ws%d", i):
					known++
				case errors.Is(err, settings.ErrInvalidKey):
					rejected++
				case !errors.Is(err, fleet.ErrBranchUnknown):
					t.Fatalf("got %q and error %v for key %d", path, err, i)
				}
			}
			t.Logf("%d keys known, %d rejected, %d left open", known, rejected, branches-known-rejected)
			if known < tc.known || (rejected > 0) != tc.rejected {
				t.Errorf("got %d keys known and %d rejected, want at least %d known and any rejected: %t", known, rejected, tc.known, tc.rejected)
			}
		})
	}
}
