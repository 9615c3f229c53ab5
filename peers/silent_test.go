package peers_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/origin"
	"github.com/weldfall/weldfall/internal/linktest"
	"github.com/weldfall/weldfall/peers"
	"github.com/weldfall/weldfall/peers/changes"
)

// fakeHost counts the statuses that it receives.
type fakeHost struct {
	noOrigins
	mu       sync.Mutex
	statuses int
}

func (f *fakeHost) LocalStatus(int, int) peers.Status { return peers.Status{} }

func (f *fakeHost) ReceiveStatus(string, peers.Status, clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statuses++
}

func (f *fakeHost) responses() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.statuses
}

func (f *fakeHost) Stop() peers.Stop                        { return peers.Stop{} }
func (f *fakeHost) SetOthers(string, []string)              {}
func (f *fakeHost) SetFleet(peers.Fleet)                    {}
func (f *fakeHost) ReceiveLoads([]peers.Load, clock.Millis) {}
func (*fakeHost) ReceiveUsage(string, string, clock.Millis) {}

func (f *fakeHost) WantedChanges(uint32) (changes.Position, bool) { return changes.Position{}, false }
func (f *fakeHost) ChangesSince(changes.Position) (changes.Delta, bool) {
	return changes.Delta{}, false
}
func (f *fakeHost) ReceiveChanges(string, changes.Delta, clock.Millis) {}
func (f *fakeHost) ReceiveSuspects(string, string)                     {}

func (f *fakeHost) BroadcastSuspects() {}

// noOrigins is a host that knows no origins of streams.
type noOrigins struct{}

func (noOrigins) SetOriginPeers(origin.Peers)            {}
func (noOrigins) HoldOrigins([]origin.Record)            {}
func (noOrigins) FindOrigin(origin.Query) origin.Finding { return origin.Finding{} }

func (f *fakeHost) SuspectsPending() <-chan struct{} { return nil }

func (f *fakeHost) TakeSuspects() string { return "" }

// When all connections between entries fall silent, each entry loses one request and then
// uses new connections.
func TestPeersRedialWhenAllConnectionsAreSilent(t *testing.T) {
	for _, way := range []linktest.Direction{linktest.ToTarget, linktest.FromTarget, linktest.Both} {
		t.Run(string(way), func(t *testing.T) {
			t.Parallel()
			const entries = 4
			links, all, known := startLinked(t, entries)
			wait(t, "full member lists", func() bool {
				for _, p := range known {
					if p.Count() < entries {
						return false
					}
				}
				return true
			})
			// By now each entry has called each of its neighbors.
			time.Sleep(3 * time.Second)
			before := make([]int, entries)
			for i, l := range links {
				l.Silence(way)
				before[i] = all[i].responses()
			}
			at := time.Now()
			const rounds = 8
			wait(t, "responses", func() bool {
				for i, f := range all {
					if f.responses() < before[i]+rounds {
						return false
					}
				}
				return true
			})
			lost := 0
			for _, l := range links {
				lost += l.DroppedChunks()
			}
			t.Logf("%d rounds of %d entries took %v, %d requests were lost", rounds, entries, time.Since(at), lost)
			if way != linktest.FromTarget && lost > entries {
				t.Errorf("got %d requests lost on silent connections, want at most one for each entry", lost)
			}
		})
	}
}

// startLinked starts entries that reach each other through links.
func startLinked(t *testing.T, n int) (links []*linktest.Link, all []*fakeHost, known []*peers.Peers) {
	t.Helper()
	lns := make([]net.Listener, n)
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		lns[i] = ln
		links = append(links, linktest.New(t, ln.Addr().String()))
	}
	for i := range n {
		f := &fakeHost{}
		p := peers.New(peers.Config{
			ID: fmt.Sprintf("e%d", i), Addr: links[i].Addr(), Seeds: []string{links[0].Addr()}, Host: f,
			Clock: clock.System(), Log: slog.New(slog.DiscardHandler),
		})
		all, known = append(all, f), append(known, p)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.Run(ctx, lns[i])
		}()
		t.Cleanup(func() {
			cancel()
			<-done
		})
	}
	return links, all, known
}

// wait waits until ok returns true, far longer than that should take.
func wait(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 3000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("got no %s in 30 s", what)
}
