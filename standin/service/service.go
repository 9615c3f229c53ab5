// Package service is a stand-in for a plain service. It responds to each
// request with a body that depends on the request, and records each request that it starts.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/standin/engine"
)

// Config is the configuration of the stand-in.
type Config struct {
	ID string
	// Delay is the processing time of a request.
	Delay clock.Millis
	// PaddingBytes is the length of the padding in the response.
	PaddingBytes int
	// Started is called at the start of each request. It may be nil.
	Started func(engine.Run)
	// Ending returns how the response to an attempt ends. Nil stands for engine.Framed.
	Ending func(attempt string) engine.Ending
}

// Service is the stand-in; it is an http.Handler.
type Service struct {
	cfg Config

	mu   sync.Mutex
	runs []engine.Run
}

var _ http.Handler = (*Service)(nil)

// New returns a service that has started no requests.
func New(cfg Config) *Service { return &Service{cfg: cfg} }

// maxBodyBytes is the maximum size of a request.
const maxBodyBytes = 16 << 20

// Runs returns the requests started so far, in order.
func (s *Service) Runs() []engine.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]engine.Run(nil), s.runs...)
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/runs" {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Runs())
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	run := engine.Run{Attempt: r.Header.Get(engine.HeaderAttempt), Key: r.Header.Get(engine.HeaderKey), CallerKey: r.Header.Get(engine.HeaderCallerKey)}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	if s.cfg.Started != nil {
		s.cfg.Started(run)
	}
	clock.Sleep(r.Context(), s.cfg.Delay)
	w.Header().Set("Content-Type", "application/json")
	response, err := json.Marshal(map[string]any{
		"path": r.URL.RequestURI(), "method": r.Method, "bytes": len(body),
		"echo": xxh3.Hash(body), "padding": strings.Repeat("x", s.cfg.PaddingBytes),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	ending := engine.EndingFor(s.cfg.Ending, run.Attempt)
	ending.SetFraming(w)
	// Fails if the client has disconnected.
	_, _ = w.Write(ending.Truncate(append(response, '\n')))
}
