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

// laggingHost wants the changes that its peers have.
type laggingHost struct {
	fakeHost
	received []changes.Delta
}

func (f *laggingHost) WantedChanges(sum uint32) (changes.Position, bool) {
	return changes.Position{Epoch: 3, Revision: 10}, sum == listSum
}

func (f *laggingHost) ReceiveChanges(_ string, w changes.Delta, _ clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, w)
}

func (f *laggingHost) deltas() []changes.Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

// listSum is the checksum of currentHost's list.
const listSum = 77

// currentHost knows the changes since revision 10.
type currentHost struct{ fakeHost }

func (*currentHost) LocalStatus(int, int) peers.Status { return peers.Status{ListSum: listSum} }

func (*currentHost) ChangesSince(p changes.Position) (changes.Delta, bool) {
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

func TestChangesAreFetchedFromThePeerThatReportedThem(t *testing.T) {
	knows := runPeers(t, "e1", nil, &currentHost{})
	late := &laggingHost{}
	runPeers(t, "e2", []string{knows}, late)
	wait(t, "changes", func() bool { return len(late.deltas()) > 0 })
	got := late.deltas()[0]
	if got.From != (changes.Position{Epoch: 3, Revision: 10}) || len(got.Changes) != 1 || string(got.Changes[0].Value) != "\x00\xff" {
		t.Errorf("got the delta %+v, want the change since revision 10", got)
	}
}

// oldPeer is a process of a version without the changes method.
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

// Exchanges with a peer that does not support changes continue over the same connection.
func TestAPeerWithoutChangesKeepsItsConnection(t *testing.T) {
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
		link.Serve(ctx, counted, clock.System(), slog.New(slog.DiscardHandler), old, 6000)
	}()
	t.Cleanup(func() { cancel(); <-done })
	late := &laggingHost{}
	runPeers(t, "e2", []string{ln.Addr().String()}, late)
	for range 4 {
		<-old.asked
	}
	wait(t, "responses", func() bool { return late.responses() >= 3 })
	if n := len(late.deltas()); n != 0 {
		t.Errorf("got %d deltas from a peer that does not support changes", n)
	}
	// The listener is waiting for one more.
	if got := counted.accepted.Load() - 1; got != 1 {
		t.Errorf("got %d connections for four requests, want one", got)
	}
}
