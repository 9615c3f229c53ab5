package peers_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/origin"
	"github.com/weldfall/weldfall/peers"
)

// originHost holds the origins of streams.
type originHost struct {
	fakeHost
	book *origin.Book
	// others are the other entries, set by peers.New.
	others origin.Peers
	// lies is true if it returns the record of another stream.
	lies bool
}

func (h *originHost) SetOriginPeers(p origin.Peers) { h.others = p }

func (h *originHost) HoldOrigins(records []origin.Record) {
	for _, r := range records {
		h.book.Hold(r, 0)
	}
}

func (h *originHost) FindOrigin(q origin.Query) origin.Finding {
	r, ambiguous := h.book.Find(q.Workspace, q.Key, 0)
	if h.lies {
		other := originRecord(0)
		r = &other
	}
	return origin.Finding{Record: r, Ambiguous: ambiguous, Knowledge: origin.Knowledge{Sole: "v1", Several: q.Service == "several"}}
}

// originFleet is a fleet of entries that know each other.
type originFleet struct {
	hosts []*originHost
	stop  []func()
}

func newOriginFleet(t *testing.T, n int) *originFleet {
	t.Helper()
	f := &originFleet{}
	var seeds []string
	var known []*peers.Peers
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := ln.Addr().String()
		h := &originHost{book: origin.NewBook()}
		p := peers.New(peers.Config{ID: fmt.Sprintf("e%d", i), Addr: addr, Seeds: seeds, Host: h, Clock: clock.System(), Log: slog.New(slog.DiscardHandler)})
		seeds = append(seeds[:0:0], addr)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.Run(ctx, ln)
		}()
		stop := func() { cancel(); <-done }
		t.Cleanup(stop)
		f.hosts, f.stop, known = append(f.hosts, h), append(f.stop, stop), append(known, p)
	}
	wait(t, "full member lists", func() bool {
		for _, p := range known {
			if p.Count() < n {
				return false
			}
		}
		return true
	})
	return f
}

// holders returns how many hosts hold a record.
func (f *originFleet) holders(r origin.Record) int {
	n := 0
	for _, h := range f.hosts {
		if got, _ := h.book.Find(r.Workspace, r.Key, 0); got != nil {
			n++
		}
	}
	return n
}

func originRecord(i int) origin.Record {
	return origin.Record{Key: origin.NewKey("ws", fmt.Sprint(i)), Workspace: 1, Call: uint32(i), Attempt: 1, Version: "v2", TTL: 60_000}
}

// The record of a stream is at another entry once Store reports so, and any entry finds it
// after the entry that sent it has ended, and a second one.
func TestOriginsOutliveTheirEntry(t *testing.T) {
	t.Parallel()
	const entries, streams = 6, 40
	f := newOriginFleet(t, entries)
	for i := range streams {
		<-f.hosts[0].others.Store(originRecord(i))
		if f.holders(originRecord(i)) == 0 {
			t.Errorf("stream %d: got no holder when the store ended, want one", i)
		}
	}
	for i := range streams {
		wait(t, "three holders", func() bool { return f.holders(originRecord(i)) == 3 })
	}
	f.stop[0]()
	f.stop[1]()
	for i := range streams {
		r := originRecord(i)
		search := f.hosts[2+i%(entries-2)].others.Find(t.Context(), origin.Query{Key: r.Key, Workspace: r.Workspace, Service: "llm"})
		found := false
		for _, o := range search.Findings {
			found = found || (o.Record != nil && o.Record.Version == r.Version && o.Record.Call == r.Call)
		}
		held, _ := f.hosts[2+i%(entries-2)].book.Find(r.Workspace, r.Key, 0)
		if search.Others == 0 || (!found && held == nil) {
			t.Errorf("stream %d: got %+v, want its record", i, search)
		}
	}
	search := f.hosts[3].others.Find(t.Context(), origin.Query{Key: origin.NewKey("ws", "unknown"), Workspace: 1, Service: "several"})
	if search.Others == 0 || len(search.Findings) < 3 {
		t.Fatalf("got %+v, want a finding of each entry that runs", search)
	}
	for _, o := range search.Findings {
		if o.Record != nil || !o.Knowledge.Several || o.Knowledge.Sole != "v1" {
			t.Errorf("got the finding %+v, want no record, several versions and the sole version", o)
		}
	}
}

// A store must end though no other entry responds, and at once if none is known.
func TestStoreEndsWithoutOtherEntries(t *testing.T) {
	t.Parallel()
	alone := newOriginFleet(t, 1)
	<-alone.hosts[0].others.Store(originRecord(0))
	if alone.hosts[0].others.Find(t.Context(), origin.Query{}).Others > 0 {
		t.Error("got other entries, want none")
	}
	f := newOriginFleet(t, 4)
	for _, stop := range f.stop[1:] {
		stop()
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for i := range 20 {
			<-f.hosts[0].others.Store(originRecord(i))
		}
	}()
	select {
	case <-ended:
	case <-time.After(30 * time.Second):
		t.Error("got no end of 20 stores in 30 s")
	}
}

// A record that an entry does not take goes to another one.
func TestRecordIsSentToOtherHoldersIfOnesFail(t *testing.T) {
	t.Parallel()
	const entries, streams = 6, 30
	f := newOriginFleet(t, entries)
	for _, stop := range f.stop[1:4] {
		stop()
	}
	for i := range streams {
		<-f.hosts[0].others.Store(originRecord(i))
	}
	for i := range streams {
		wait(t, "record at both entries that run", func() bool {
			for _, h := range f.hosts[4:] {
				if r, _ := h.book.Find(1, originRecord(i).Key, 0); r == nil {
					return false
				}
			}
			return true
		})
	}
}

// The record of another stream is no finding.
func TestRecordOfAnotherStreamIsIgnored(t *testing.T) {
	t.Parallel()
	f := newOriginFleet(t, 2)
	f.hosts[1].lies = true
	q := origin.Query{Key: originRecord(1).Key, Workspace: 1, Service: "llm"}
	findings := f.hosts[0].others.Find(t.Context(), q).Findings
	if len(findings) != 1 || findings[0].Record != nil {
		t.Errorf("got the findings %+v, want one without a record", findings)
	}
}
