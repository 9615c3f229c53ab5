package gate_test

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/gate"
	"github.com/weldfall/weldfall/peers"
	"github.com/weldfall/weldfall/table"
	"github.com/weldfall/weldfall/verdict"
)

// newLoadedGate returns a gate with engines that reported the given number of requests for
// ten slots each, and a route of each priority.
//
// The returned function reports the loads again: reports are recent for a second only, which a
// busy machine may take for a few requests.
func newLoadedGate(t *testing.T, requests int, priorities ...int) (*gate.Gate, func()) {
	t.Helper()
	return newLoggingGate(t, slog.New(slog.DiscardHandler), requests, priorities...)
}

// newLoggingGate is like newLoadedGate, with a log.
func newLoggingGate(t *testing.T, log *slog.Logger, requests int, priorities ...int) (*gate.Gate, func()) {
	t.Helper()
	clk := clock.System()
	g := gate.New(gate.Config{Clock: clk, Log: log, Dialect: gate.Dialect{RequestID: "Id", Deadline: "Deadline", Prompt: "Prompt", Tokens: "Tokens", Tenant: "Tenant", Priority: "Priority", FetchFrom: "Fetch", ExpectEngine: "Expect", NotRun: "Not-Run", Load: "Load", LastEventID: "Last", Resumes: "Resumes"}})
	cfg := table.Config{Version: 1}
	for i, p := range priorities {
		cfg.Routes = append(cfg.Routes, &table.Route{
			Name: fmt.Sprint(i), Host: "example.com", Prefix: fmt.Sprintf("/%d/", i), Kind: table.Safe, Timeout: 10_000, Goal: 500,
			Priority: p, Shares: []table.Share{{Service: "s", Weight: 1}}, Attempts: 1,
		})
	}
	g.SetTable(table.New(cfg), table.Arrival{ConfirmedAt: clk.Now()})
	var loads []peers.Load
	for i := range 4 {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
		t.Cleanup(srv.CloseClientConnections)
		in := engines.Info{ID: fmt.Sprint("e", i), Service: "s", Addr: strings.TrimPrefix(srv.URL, "http://"), Slots: 10}
		g.PutEngine(in)
		loads = append(loads, peers.Load{Incarnation: in.Incarnation().Hash(), Requests: requests})
	}
	return g, func() { g.ReceiveLoads(loads, clk.Now()) }
}

// rejected returns how many of 100 requests to a route are rejected for want of room.
func rejected(t *testing.T, g *gate.Gate, report func(), route int) int {
	t.Helper()
	n := 0
	for i := range 100 {
		report()
		r := httptest.NewRequest(http.MethodGet, fmt.Sprintf("/%d/x", route), nil)
		r.Header.Set("Id", fmt.Sprint("id-", i))
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		if !strings.Contains(w.Body.String(), string(verdict.NoRoom)) {
			continue
		}
		n++
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
			t.Errorf("got status %d, Retry-After %q, want 503 with a delay", w.Code, w.Header().Get("Retry-After"))
		}
	}
	return n
}

func TestLeastUrgentIsRejectedForWantOfRoom(t *testing.T) {
	g, report := newLoadedGate(t, 9, 0, 1)
	if got := rejected(t, g, report, 1); got < 70 {
		t.Errorf("got %d of 100 least urgent requests rejected, want 70 at least", got)
	}
	if got := rejected(t, g, report, 0); got != 0 {
		t.Errorf("got %d of 100 most urgent requests rejected, want none", got)
	}
}

func TestServiceWithOnePriorityIsNotChecked(t *testing.T) {
	g, report := newLoadedGate(t, 40, 1, 1)
	if got := rejected(t, g, report, 0); got != 0 {
		t.Errorf("got %d of 100 requests rejected, want none", got)
	}
}
