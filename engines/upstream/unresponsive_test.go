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

// healthCheck is the request that checks whether an engine is unresponsive.
var healthCheck = &upstream.Request{Method: http.MethodGet, URI: "/healthz", Host: "h", Header: http.Header{}}

// An engine is unresponsive if it sends nothing though its machine accepts connections.
func TestUnresponsive(t *testing.T) {
	silent := func(standin.Run) standin.Reply { return standin.Reply{Wait: late.Duration()} }
	for name, tc := range map[string]struct {
		before func(t *testing.T, r *rig)
		// since is how long before now the pool looks for received data.
		since clock.Millis
		want  bool
	}{
		"sends nothing": {func(_ *testing.T, r *rig) { r.engine.SetReply(silent) }, 0, true},
		"responds":      {func(*testing.T, *rig) {}, 0, false},
		"responds with an error": {func(_ *testing.T, r *rig) {
			r.engine.SetReply(func(standin.Run) standin.Reply { return standin.Reply{Status: http.StatusServiceUnavailable} })
		}, 0, false},
		"breaks the connection": {func(_ *testing.T, r *rig) {
			r.engine.SetReply(func(standin.Run) standin.Reply { return standin.Reply{Reset: true} })
		}, 0, false},
		"refuses connections": {func(_ *testing.T, r *rig) { r.engine.Close() }, 0, false},
		"sent data on another connection": {func(t *testing.T, r *rig) {
			r.keepDirect(t)
			r.engine.SetReply(silent)
		}, late, false},
		"sent data before": {func(t *testing.T, r *rig) {
			r.keepDirect(t)
			time.Sleep(5 * time.Millisecond)
			r.engine.SetReply(silent)
		}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			clk := clock.System()
			r := newRigOn(t, clk)
			tc.before(t, r)
			if got := r.pool.Unresponsive(context.Background(), r.engine.Addr(), healthCheck, clk.Now()-tc.since, soon); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// An engine that is known to work gets no health check.
func TestActiveEngineIsNotProbed(t *testing.T) {
	clk := clock.System()
	r := newRigOn(t, clk)
	r.keepDirect(t)
	before := r.engine.Dials()
	r.pool.Unresponsive(context.Background(), r.engine.Addr(), healthCheck, clk.Now()-late, soon)
	if got := r.engine.Dials() - before; got != 0 {
		t.Errorf("got %d connections to check an active engine, want none", got)
	}
}

// An engine is not reported as unresponsive if it accepts no connection, or if the health
// check is canceled.
func TestUnreachableEngineIsNotUnresponsive(t *testing.T) {
	r := newRig(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	if r.pool.Unresponsive(context.Background(), addr, healthCheck, 0, soon) {
		t.Error("got unresponsive for an address that refuses connections, want false")
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.engine.SetReply(func(standin.Run) standin.Reply {
		cancel()
		return standin.Reply{Wait: late.Duration()}
	})
	if r.pool.Unresponsive(ctx, r.engine.Addr(), healthCheck, 0, late) {
		t.Error("got unresponsive after the health check was canceled, want false")
	}
}

// keepDirect opens an idle connection to the engine that bypasses the link and has
// received data.
func (r *rig) keepDirect(t *testing.T) {
	t.Helper()
	a, err := r.pool.Do(context.Background(), r.engine.Addr(), r.request("keep"), late)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, a); err != nil {
		t.Fatal(err)
	}
	a.Close()
}
