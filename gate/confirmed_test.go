package gate_test

import (
	"log/slog"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/gate"
	"github.com/weldfall/weldfall/table"
	"github.com/weldfall/weldfall/verdict"
)

// withKeys returns a version of the table with a route and the keys of one workspace.
func withKeys(version int64, keys ...string) *table.Table {
	return table.New(table.Config{
		Version: version, RequireKey: true, Workspaces: []*table.Workspace{{Name: "w", Keys: keys}},
		Routes: []*table.Route{{Name: "r", Host: "h", Prefix: "/", Kind: table.Safe, Shares: []table.Share{{Service: "app", Weight: 1}}}},
	})
}

// Guards against a revoked key that is accepted: a request that found its route in an outdated
// version took the confirmation of the version that followed as one of its own.
func TestConfirmationOfTheNextVersionVouchesForNoKey(t *testing.T) {
	for name, tc := range map[string]struct {
		key  string
		age  time.Duration
		next bool
		want verdict.Reason
	}{
		"revoked by the next version":        {"revoked", 6 * time.Second, true, verdict.NotReady},
		"in both versions, the first is old": {"kept", 6 * time.Second, true, verdict.NotReady},
		"added by the next version":          {"added", 6 * time.Second, true, verdict.NotReady},
		"in both versions":                   {"kept", time.Second, true, ""},
		"no next version":                    {"kept", time.Second, false, ""},
		"no next version, old":               {"kept", 6 * time.Second, false, verdict.NotReady},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clk := clock.System()
				g := gate.New(gate.Config{Clock: clk, Log: slog.New(slog.DiscardHandler), Dialect: gate.Dialect{RequestID: "X-Id"}, Bounds: gate.Bounds{Revocation: 5000, Change: 2000}})
				g.SetTable(withKeys(5, "kept", "revoked"), table.Arrival{ConfirmedAt: clk.Now()})
				time.Sleep(tc.age)
				r := httptest.NewRequest("GET", "/x", nil)
				r.Host = "h"
				r.Header.Set("X-Id", "1")
				r.Header.Set("Authorization", "Bearer "+tc.key)
				err := g.AuthoriseAfter(r, func() {
					if tc.next {
						g.SetTable(withKeys(6, "kept", "added"), table.Arrival{ConfirmedAt: clk.Now()})
					}
				})
				var got verdict.Reason
				if err != nil {
					got = err.Reason()
				}
				if got != tc.want {
					t.Errorf("got reason %q, want %q", got, tc.want)
				}
			})
		})
	}
}

// Guards against a report that confirms a version as of the time at which the next one was
// confirmed: peers with the earlier one would go on accepting the keys that it still has.
func TestReportedConfirmationIsOfTheReportedVersion(t *testing.T) {
	const versions = 20_000
	clk := clock.System()
	g := gate.New(gate.Config{Clock: clk, Log: slog.New(slog.DiscardHandler), Dialect: gate.Dialect{RequestID: "X-Id"}, Bounds: gate.Bounds{Revocation: 5000, Change: 2000}})
	start := clk.Now()
	// Version v is confirmed as of confirmedAt(v).
	const apart = 1_000_000
	confirmedAt := func(version int64) clock.Millis { return start + clock.Millis(version)*apart }
	g.SetTable(withKeys(0), table.Arrival{ConfirmedAt: confirmedAt(0)})
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				s := g.LocalStatus(0, 0)
				if at := clk.Now() - s.TableAge; at > confirmedAt(s.Table)+apart/2 {
					t.Errorf("got version %d reported as confirmed %d ms after it was", s.Table, at-confirmedAt(s.Table))
					return
				}
			}
		})
	}
	for v := int64(1); v <= versions; v++ {
		g.SetTable(withKeys(v), table.Arrival{ConfirmedAt: confirmedAt(v)})
	}
	close(done)
	wg.Wait()
}
