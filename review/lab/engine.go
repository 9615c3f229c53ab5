package lab

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is a request that arrived at an engine.
type Run struct {
	Engine, ID string
	At         time.Time
	Header     http.Header
}

// Engine is a stand-in of an engine that runs every request that is meant for it and answers
// after Work.
type Engine struct {
	ID, Addr string
	Work     time.Duration

	l   *Lab
	srv *http.Server

	mu   sync.Mutex
	runs []Run
}

// StartEngine starts an engine. It is not on the list yet.
func (l *Lab) StartEngine(id string, work time.Duration) (*Engine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{ID: id, Addr: ln.Addr().String(), Work: work, l: l}
	e.srv = &http.Server{Handler: e}
	go func() { _ = e.srv.Serve(ln) }()
	return e, nil
}

// Stop ends the engine.
func (e *Engine) Stop() { _ = e.srv.Close() }

// List writes the engine's entry in a state and returns when the store confirmed it.
func (e *Engine) List(service, state string) time.Time {
	at := e.l.Publish("servers/"+e.ID, Entry(service, e.Addr, state))
	e.l.Recordf("the store confirms that engine %s of %s at %s is %s", e.ID, service, e.Addr, state)
	return at
}

// Unlist removes the engine's entry.
func (e *Engine) Unlist() {
	e.l.Withdraw("servers/" + e.ID)
	e.l.Recordf("the entry of engine %s is removed", e.ID)
}

// Runs returns the requests that the engine ran, in order.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	run := Run{Engine: e.ID, ID: id, At: time.Now(), Header: r.Header.Clone()}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	select {
	case <-time.After(e.Work):
	case <-r.Context().Done():
		return
	}
	body := fmt.Sprintf("run of %s at %s", id, e.ID)
	w.Header().Set("Weldfall-Engine-Signature", e.ID+"."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}
