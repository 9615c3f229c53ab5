// Package service is a small stand-in for a plain service. It answers each
// request with a body that depends on it, and keeps a count of what really
// ran, by request key.
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

// Config sets up the stand-in.
type Config struct {
	ID string
	// Delay is how long a request runs.
	Delay clock.Millis
	// PaddingBytes pads the answer, in bytes.
	PaddingBytes int
	// Started is called for each request that starts, may be nil.
	Started func(engine.Run)
	// Ending returns how an answer to an attempt ends, may be nil for engine.Framed.
	Ending func(attempt string) engine.Ending
}

// Service is the stand-in; it is an http.Handler.
type Service struct {
	cfg Config

	mu   sync.Mutex
	runs []engine.Run
}

var _ http.Handler = (*Service)(nil)

// New returns a service.
func New(cfg Config) *Service { return &Service{cfg: cfg} }

// maxBody is the largest request in bytes.
const maxBody = 16 << 20

// Runs returns what has started so far, in order.
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
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
	answer, err := json.Marshal(map[string]any{
		"path": r.URL.RequestURI(), "method": r.Method, "bytes": len(body),
		"echo": xxh3.Hash(body), "padding": strings.Repeat("x", s.cfg.PaddingBytes),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	ending := engine.EndingFor(s.cfg.Ending, run.Attempt)
	ending.SetFraming(w)
	// A caller that is gone needs no answer.
	_, _ = w.Write(ending.Truncate(append(answer, '\n')))
}
