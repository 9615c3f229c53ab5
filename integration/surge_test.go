package integration_test

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/internal/fleettest"
)

// TestSurgeIsShedAndOtherPartnerIsServed floods two small engines with the chats of one
// partner. Every request must get a response, the other partner's responses must be
// complete, and shed requests must not have run.
func TestSurgeIsShedAndOtherPartnerIsServed(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{
		Engines: 2, Entries: 2, Fleet: "[limits]\nqueue_per_engine = 8\n",
		EngineArgs: []string{"--gap-ms", "4", "--slots", "5", "--lag-ms", "500"},
	})
	// Slots and reserve are known once the engines have been polled.
	wait(1500)
	var stop atomic.Bool
	var wg sync.WaitGroup
	var mu sync.Mutex
	var shed, complete int
	var others []response
	for range 60 {
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				a := chat(f.Entries[n%2], chatBody(true, 50, "surge")).send()
				mu.Lock()
				if a.complete {
					complete++
				} else {
					shed++
					others = append(others, a)
				}
				mu.Unlock()
				if !a.complete {
					wait(20)
				}
			}
		})
	}
	wait(500)
	clk := clock.System()
	var took []int64
	for n := range 20 {
		q := chat(f.Entries[n%2], chatBody(true, 50, "calm"))
		q.key = fleettest.Key("vigia", "ws0")
		start := clk.Micros()
		if a := q.send(); !a.complete {
			t.Errorf("other partner: got %d %s, want a complete response", a.status, a.reason)
		}
		took = append(took, clk.Micros()-start)
	}
	stop.Store(true)
	wg.Wait()
	ran := map[string]bool{}
	for _, e := range f.Engines {
		for _, r := range f.StartedRuns(e) {
			ran[r.Key] = true
		}
	}
	for _, a := range others {
		if a.status != http.StatusTooManyRequests || a.verdict != "not_run" || a.header.Get("Retry-After") == "" || ran[requestID(a)] {
			t.Errorf("got %d %s %s, ran %t, want 429, not_run and Retry-After", a.status, a.verdict, a.reason, ran[requestID(a)])
		}
	}
	if shed == 0 || complete == 0 {
		t.Errorf("got %d shed and %d complete, want both", shed, complete)
	}
	slices.Sort(took)
	t.Logf("%d complete and %d shed of the surge; the other partner's median %d us", complete, shed, took[len(took)/2])
}
