// Package admin serves the read-only admin pages of a process. Operators change
// the system only through their branch of the settings.
package admin

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/weldfall/weldfall/fleet"
	"github.com/weldfall/weldfall/report/burn"
)

// Process is the process that the pages describe.
type Process interface {
	Node() *fleet.Node
	Ready() bool
}

// Burner is a process that measures burn rates. Its snapshot is served at /burn.
type Burner interface{ Burn() burn.Snapshot }

// Handler returns the handler for the admin pages of a process.
func Handler(p Process) http.Handler {
	r := mux.NewRouter()
	get := func(path string, f http.HandlerFunc) { r.HandleFunc(path, f).Methods(http.MethodGet, http.MethodHead) }
	get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !p.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	get("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	get("/settings", func(w http.ResponseWriter, r *http.Request) {
		path := r.URL.Query().Get("path")
		if path == "" {
			path = "fleet"
		}
		sources, err := p.Node().Explain(path, r.URL.Query().Get("key"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, map[string]any{"path": path, "settings": sources, "revisions": p.Node().Revisions(), "problems": p.Node().Problems()})
	})
	get("/engines", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Node().Engines()) })
	if b, ok := p.(Burner); ok {
		get("/burn", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.Burn()) })
	}
	return r
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}
