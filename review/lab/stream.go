package lab

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// StreamEngine is a stand-in of an engine that answers each request with a stream of Pieces
// events, Gap apart. It continues after the event that Last-Event-Id names.
type StreamEngine struct {
	ID, Addr, Service string
	Pieces            int
	Gap               time.Duration

	l *Lab

	mu      sync.Mutex
	version string
	born    int64
	srv     *http.Server
	running int
}

// StartStreamEngine starts an engine with a version of its software.
func (l *Lab) StartStreamEngine(service, id, version string, pieces int, gap time.Duration) (*StreamEngine, error) {
	e := &StreamEngine{ID: id, Addr: "127.0.0.1:0", Service: service, Pieces: pieces, Gap: gap, l: l}
	if err := e.Start(version); err != nil {
		return nil, err
	}
	return e, nil
}

// Start starts the engine, again under its ID and at its address if it ended before.
func (e *StreamEngine) Start(version string) error {
	ln, err := net.Listen("tcp", e.Addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Addr, e.version, e.born = ln.Addr().String(), version, time.Now().UnixMilli()
	srv := &http.Server{Handler: e}
	e.srv = srv
	go func() { _ = srv.Serve(ln) }()
	e.l.Recordf("engine %s starts with version %s", e.ID, version)
	return nil
}

// Crash ends the engine without a word. Its entry stays.
func (e *StreamEngine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.srv.Close()
	e.l.Recordf("engine %s crashes", e.ID)
}

// List writes the engine's entry.
func (e *StreamEngine) List() {
	e.mu.Lock()
	entry := Entry(e.Service, e.Addr, "ready")
	entry["version"], entry["born"] = e.version, e.born
	e.mu.Unlock()
	e.l.Publish("servers/"+e.ID, entry)
	e.l.Recordf("the store confirms the entry of engine %s with version %v", e.ID, entry["version"])
}

// ServeHTTP implements http.Handler.
func (e *StreamEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Weldfall-Request-Id")
	w.Header().Set("Weldfall-Request-Id", id)
	if want := r.Header.Get("Weldfall-Expect-Instance"); want != "" && want != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Weldfall-Instance-Id", e.ID)
	if r.URL.Path == "/healthz" {
		return
	}
	e.mu.Lock()
	version := e.version
	w.Header().Set("Weldfall-Engine-Load", fmt.Sprintf("%d,0,64", e.running))
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
	}()
	first := 1
	if after := r.Header.Get("Last-Event-Id"); after != "" {
		n, err := strconv.Atoi(after)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		first = n + 1
		e.l.Recordf("engine %s (%s) continues %s after piece %d", e.ID, version, id, n)
	}
	w.Header().Set("Weldfall-Engine-Signature", e.ID+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= e.Pieces; i++ {
		select {
		case <-time.After(e.Gap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s from %s %s\n\n", i, i, id, e.ID, version); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}
