package gate_test

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/gate"
	"github.com/weldfall/weldfall/verdict"
)

// Many requests come, run, and leave while they wait; each returns its place exactly once.
func TestTurnsAreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gate.New(gate.Config{ID: "edge-1", Clock: clock.System(), Log: slog.New(slog.DiscardHandler)})
		if end, err := g.Turn(t.Context(), 500, 2000); err != nil {
			t.Fatalf("got %v before a rejection, want a turn", err)
		} else {
			g.RejectTurn()
			end()
		}
		var served, refused, left atomic.Int64
		var wg sync.WaitGroup
		for i := range 2000 {
			wg.Go(func() {
				clock.Sleep(t.Context(), clock.Millis(i%500))
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if i%5 == 0 {
					go func() {
						clock.Sleep(ctx, clock.Millis(i%30))
						cancel()
					}()
				}
				end, err := g.Turn(ctx, 500, 2000)
				defer end()
				switch {
				case err == nil:
					served.Add(1)
					clock.Sleep(ctx, 300)
					end()
				case err.Reason() == verdict.CallerGone:
					left.Add(1)
				case err.Verdict() == verdict.NotRun && err.RetryAfter() > 0:
					refused.Add(1)
				default:
					t.Errorf("got error %v, want one that says not run and when to return", err)
				}
			})
		}
		wg.Wait()
		if running, waiting, channels := g.Turns(); running != 0 || waiting != 0 || channels != 0 {
			t.Errorf("got %d running, %d waiting, %d channels at the end, want none", running, waiting, channels)
		}
		if served.Load() == 0 || refused.Load() == 0 || left.Load() == 0 {
			t.Errorf("got %d served, %d refused, %d left, want some of each", served.Load(), refused.Load(), left.Load())
		}
	})
}
