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
	"github.com/weldfall/weldfall/internal/linktest"
	"github.com/weldfall/weldfall/peers"
	"github.com/weldfall/weldfall/peers/changes"
)

// facts counts the answers that a process hears.
type facts struct {
	mu    sync.Mutex
	heard int
}

func (f *facts) LocalStatus(int, int) peers.Status { return peers.Status{} }

func (f *facts) ReceiveStatus(string, peers.Status, clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard++
}

func (f *facts) answers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heard
}

func (f *facts) Stop() peers.Stop                        { return peers.Stop{} }
func (f *facts) SetOthers(string, []string)              {}
func (f *facts) SetFleet(peers.Fleet)                    {}
func (f *facts) ReceiveLoads([]peers.Load, clock.Millis) {}

func (f *facts) WantedChanges(uint32) (changes.Position, bool)       { return changes.Position{}, false }
func (f *facts) ChangesSince(changes.Position) (changes.Delta, bool) { return changes.Delta{}, false }
func (f *facts) ReceiveChanges(string, changes.Delta, clock.Millis)  {}
func (f *facts) ReceiveSuspects(string, string)                      {}

func (f *facts) BroadcastSuspects() {}

func (f *facts) SuspectsPending() <-chan struct{} { return nil }

func (f *facts) TakeSuspects() string { return "" }

// When all connections between entries fall silent, each loses one question and
// then asks over new connections.
func TestPeersAskOverNewConnectionsWhenAllAreSilent(t *testing.T) {
	for _, way := range []linktest.Way{linktest.There, linktest.Back, linktest.Both} {
		t.Run(string(way), func(t *testing.T) {
			t.Parallel()
			const entries = 4
			links, all, known := meet(t, entries)
			wait(t, "acquaintance", func() bool {
				for _, p := range known {
					if p.Count() < entries {
						return false
					}
				}
				return true
			})
			// Each has asked each of its neighbours.
			time.Sleep(3 * time.Second)
			before := make([]int, entries)
			for i, l := range links {
				l.Silence(way)
				before[i] = all[i].answers()
			}
			at := time.Now()
			const rounds = 8
			wait(t, "answers", func() bool {
				for i, f := range all {
					if f.answers() < before[i]+rounds {
						return false
					}
				}
				return true
			})
			lost := 0
			for _, l := range links {
				lost += l.Lost()
			}
			t.Logf("%d rounds of %d entries took %v, %d questions were lost on their way", rounds, entries, time.Since(at), lost)
			if way != linktest.Back && lost > entries {
				t.Errorf("got %d questions lost on silent connections, want at most one of each entry", lost)
			}
		})
	}
}

// meet starts entries that know each other by links.
func meet(t *testing.T, n int) (links []*linktest.Link, all []*facts, known []*peers.Peers) {
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
		f := &facts{}
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

// wait waits until ok, far longer than it should take.
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
