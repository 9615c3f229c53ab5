package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/upstream"
	"github.com/weldfall/weldfall/platform/standin"
)

// question is what engines are asked to find out whether they are dark.
var question = &upstream.Request{Method: http.MethodGet, URI: "/healthz", Host: "h", Header: http.Header{}}

// An engine is dark if nothing comes from it though its machine takes connections.
func TestAnEngineIsDarkThatNothingComesFrom(t *testing.T) {
	silent := func(standin.Run) standin.Reply { return standin.Reply{Wait: late.Duration()} }
	for name, tc := range map[string]struct {
		before func(t *testing.T, b *rig)
		// since is how long ago the silence began.
		since clock.Millis
		want  bool
	}{
		"gives no sign": {func(_ *testing.T, b *rig) { b.engine.SetReply(silent) }, 0, true},
		"answers":       {func(*testing.T, *rig) {}, 0, false},
		"answers with a failure": {func(_ *testing.T, b *rig) {
			b.engine.SetReply(func(standin.Run) standin.Reply { return standin.Reply{Status: http.StatusServiceUnavailable} })
		}, 0, false},
		"breaks the connection": {func(_ *testing.T, b *rig) {
			b.engine.SetReply(func(standin.Run) standin.Reply { return standin.Reply{Reset: true} })
		}, 0, false},
		"refuses connections": {func(_ *testing.T, b *rig) { b.engine.Close() }, 0, false},
		"was heard on another connection": {func(t *testing.T, b *rig) {
			b.keepDirect(t)
			b.engine.SetReply(silent)
		}, late, false},
		"was heard before": {func(t *testing.T, b *rig) {
			b.keepDirect(t)
			time.Sleep(5 * time.Millisecond)
			b.engine.SetReply(silent)
		}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			clk := clock.System()
			b := newRigOn(t, clk)
			tc.before(t, b)
			if got := b.pool.Unresponsive(context.Background(), b.engine.Addr(), question, clk.Now()-tc.since, soon); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// An engine that is known to work is not asked.
func TestAnEngineThatWasHeardIsNotAsked(t *testing.T) {
	clk := clock.System()
	b := newRigOn(t, clk)
	b.keepDirect(t)
	before := b.engine.Dials()
	b.pool.Unresponsive(context.Background(), b.engine.Addr(), question, clk.Now()-late, soon)
	if got := b.engine.Dials() - before; got != 0 {
		t.Errorf("got %d connections to ask an engine that was heard, want none", got)
	}
}

// Of an engine that takes no connection, or a question that is broken off, it is not known.
func TestAnEngineThatCannotBeReachedIsNotDark(t *testing.T) {
	b := newRig(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	if b.pool.Unresponsive(context.Background(), addr, question, 0, soon) {
		t.Error("got an engine dark whose address refuses connections, want it not known")
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.engine.SetReply(func(standin.Run) standin.Reply {
		cancel()
		return standin.Reply{Wait: late.Duration()}
	})
	if b.pool.Unresponsive(ctx, b.engine.Addr(), question, 0, late) {
		t.Error("got an engine dark though the question was broken off, want it not known")
	}
}

// keepDirect has an idle connection to the engine on which it was heard, past the link.
func (b *rig) keepDirect(t *testing.T) {
	t.Helper()
	a, err := b.pool.Do(context.Background(), b.engine.Addr(), b.request("keep"), late)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, a); err != nil {
		t.Fatal(err)
	}
	a.Close()
}
