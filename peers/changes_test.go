package peers_test

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/peers"
	"github.com/weldfall/weldfall/peers/changes"
)

// lateFacts is a process that wants the changes that its peers tell of.
type lateFacts struct {
	facts
	told []changes.Delta
}

func (f *lateFacts) WantedChanges(sum uint32) (changes.Position, bool) {
	return changes.Position{Epoch: 3, Revision: 10}, sum == listSum
}

func (f *lateFacts) ReceiveChanges(_ string, w changes.Delta, _ clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told = append(f.told, w)
}

func (f *lateFacts) words() []changes.Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.told
}

// listSum stands for the list that knowing processes tell of.
const listSum = 77

// knowingFacts is a process that knows what came since revision 10.
type knowingFacts struct{ facts }

func (*knowingFacts) LocalStatus(int, int) peers.Status { return peers.Status{ListSum: listSum} }

func (*knowingFacts) ChangesSince(p changes.Position) (changes.Delta, bool) {
	return changes.Delta{From: p, Sum: listSum, Changes: []changes.Change{{Key: "a", Value: []byte{0, 255}, Revision: 12}}}, p.Revision == 10
}

func runPeers(t *testing.T, id string, seeds []string, f peers.Host) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	p := peers.New(peers.Config{ID: id, Addr: addr, Seeds: seeds, Host: f, Clock: clock.System(), Log: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx, ln)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return addr
}

func TestChangesAreAskedOfThePeerThatToldOfThem(t *testing.T) {
	knows := runPeers(t, "e1", nil, &knowingFacts{})
	late := &lateFacts{}
	runPeers(t, "e2", []string{knows}, late)
	wait(t, "changes", func() bool { return len(late.words()) > 0 })
	got := late.words()[0]
	if got.From != (changes.Position{Epoch: 3, Revision: 10}) || len(got.Changes) != 1 || string(got.Changes[0].Value) != "\x00\xff" {
		t.Errorf("got the word %+v, want the change since revision 10", got)
	}
}

// oldPeer is a process of a version that does not tell changes.
type oldPeer struct{ asked chan string }

func (o oldPeer) Call(_ context.Context, _ *link.Conn, method string, _ json.RawMessage) (any, error) {
	if method == "ask" {
		o.asked <- method
		return map[string]any{"m": []peers.Member{{ID: "old"}}, "k": peers.Status{ListSum: listSum}}, nil
	}
	return nil, errors.New("unknown method " + method)
}

func (oldPeer) Notify(*link.Conn, string, json.RawMessage) {}
func (oldPeer) Frame(wire.Frame)                           {}

// acceptingListener counts the connections that it accepts.
type acceptingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *acceptingListener) Accept() (net.Conn, error) {
	l.accepted.Add(1)
	return l.Listener.Accept()
}

// Talk goes on with a peer that cannot tell, over the same connection.
func TestAPeerThatTellsNoChangesCostsNothingElse(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	counted := &acceptingListener{Listener: ln}
	old := oldPeer{asked: make(chan string, 100)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = link.Serve(ctx, counted, clock.System(), old, 6000)
	}()
	t.Cleanup(func() { cancel(); <-done })
	late := &lateFacts{}
	runPeers(t, "e2", []string{ln.Addr().String()}, late)
	for range 4 {
		<-old.asked
	}
	wait(t, "answers", func() bool { return late.answers() >= 3 })
	if n := len(late.words()); n != 0 {
		t.Errorf("got %d words of a peer that tells none", n)
	}
	// One more is being waited for.
	if got := counted.accepted.Load() - 1; got != 1 {
		t.Errorf("got %d connections for four questions, want one", got)
	}
}
