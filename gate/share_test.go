package gate_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/gate"
	"github.com/weldfall/weldfall/table"
)

// newShareGate returns a gate with four workspaces and one service, whose log goes to w.
func newShareGate(w *bytes.Buffer, requireKey bool, priorities ...int) *gate.Gate {
	clk := clock.System()
	g := gate.New(gate.Config{Clock: clk, Log: slog.New(slog.NewTextHandler(w, nil)), Bounds: gate.Bounds{Revocation: 1_000_000, Change: 2000}, Dialect: gate.Dialect{RequestID: "X-Id", Tokens: "X-Tokens", Prompt: "X-Prompt"}})
	cfg := table.Config{Version: 1, RequireKey: requireKey}
	for i, p := range priorities {
		cfg.Routes = append(cfg.Routes, &table.Route{Name: fmt.Sprint("r", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Priority: p, Shares: []table.Share{{Service: "s"}}, PromptAffinity: true})
	}
	cfg.Routes = append(cfg.Routes, &table.Route{Name: "public", Host: "h", Prefix: "/public/", Public: true, Priority: priorities[0], Shares: []table.Share{{Service: "s"}}})
	for i := range 4 {
		cfg.Workspaces = append(cfg.Workspaces, &table.Workspace{Name: fmt.Sprint("ws-", i), Keys: []string{fmt.Sprint("key-", i)}})
	}
	g.SetTable(table.New(cfg), table.Arrival{ConfirmedAt: clk.Now()})
	return g
}

func shareRequest(path string, workspace, n int, tokens string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, path, nil)
	r.Host = "h"
	r.Header.Set("X-Id", fmt.Sprint(workspace, "-", n))
	r.Header.Set("X-Tokens", tokens)
	r.Header.Set("Authorization", fmt.Sprint("Bearer key-", workspace))
	return r
}

// Few requests for many tokens are as much use as many for few.
func TestExcessOfAWorkspaceIsSeenAndTold(t *testing.T) {
	for name, c := range map[string]struct {
		requests int
		tokens   string
	}{
		"many requests": {12, "100,100"},
		"many tokens":   {1, "1200,1200"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				g := newShareGate(&log, true, 0, 3)
				asked, marked := [4]int{}, [4]int{}
				for i := range 1600 {
					time.Sleep(10 * time.Millisecond)
					for w := range 4 {
						requests, tokens := 1, "100,100"
						if w == 2 && i >= 1000 {
							requests, tokens = c.requests, c.tokens
						}
						for j := range requests {
							asked[w]++
							if g.OverShare(shareRequest("/0/x", w, 100*i+j, tokens)) {
								marked[w]++
							}
						}
					}
					if i == 999 && g.LocalStatus(0, 0).Usage != "" {
						t.Error("got usage reported as usual, want none")
					}
				}
				for w := range 4 {
					if part := float64(marked[w]) / float64(asked[w]); w != 2 && part > 0.03 {
						t.Errorf("got %.3f of workspace %d marked, want at most 0.03", part, w)
					}
				}
				if marked[2] < 200 {
					t.Errorf("got %d of the surge marked, want 200 at least", marked[2])
				}
				if g.LocalStatus(0, 0).Usage == "" {
					t.Error("got no usage reported in the surge, want some")
				}
				if want := "msg=share service=s workspace=ws-2 over=true"; strings.Count(log.String(), want) != 1 {
					t.Errorf("got log\n%s\nwant one line with %q", log.String(), want)
				}
			})
		})
	}
}

func TestUseIsNotTrackedWhereItDecidesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		requireKey bool
		path       string
		priorities []int
	}{
		"no keys":      {false, "/0/x", []int{0, 3}},
		"one priority": {true, "/0/x", []int{3, 3}},
		"public route": {true, "/public/x", []int{0, 3}},
	} {
		var log bytes.Buffer
		g := newShareGate(&log, c.requireKey, c.priorities...)
		for i := range 100 {
			if g.OverShare(shareRequest(c.path, 1, i, "")) {
				t.Errorf("%s: got a request above its part, want none", name)
			}
		}
		if got := g.TrackedWorkspaces(); got != 0 {
			t.Errorf("%s: got %d tracked workspaces, want 0", name, got)
		}
	}
}
