// Package engine is a small stand-in for a language-model engine. It batches
// requests into a limited number of slots by priority, caches prompt prefixes
// in limited memory, resumes and cancels streams, exports and imports its
// cache, reports load and cache events late, accepts fenced orders, and keeps
// a count of what really ran.
package engine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"sync"

	"github.com/gorilla/mux"
	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
)

// Config sets up the stand-in.
type Config struct {
	ID    string
	Model string
	// Slots is the number of requests that run at once.
	Slots int
	// CacheTokens is the cache memory in tokens.
	CacheTokens int
	// PrefillTokensPerMS is the speed at which uncached prompt is read; zero
	// is at once.
	PrefillTokensPerMS int
	// TokenInterval is the time between tokens; zero is none.
	TokenInterval clock.Millis
	// Tokens is the length of an answer when the request does not limit it.
	Tokens int
	// ReportLag is how old load reports and cache events are.
	ReportLag clock.Millis
	// DropEveryNthEvent drops every n-th cache event; zero drops none.
	DropEveryNthEvent int
	// Started is called for each request that starts, may be nil.
	Started func(Run)
	// Ending returns how an answer to an attempt ends, may be nil for Framed.
	Ending func(attempt string) Ending
	Clock  *clock.Clock
}

// Run is what the stand-in knows of one request that started.
type Run struct {
	Attempt string `json:"attempt"`
	Key     string `json:"key"`
	// CallerKey is the caller's own key, if there was one.
	CallerKey string `json:"caller_key,omitempty"`
	// SHA256 is the hash of the content that was produced, hex; empty while
	// the request runs.
	SHA256 string `json:"sha256"`
	Cached int    `json:"cached"`
	Tokens int    `json:"tokens"`
	Done   bool   `json:"done"`
}

// Engine is the stand-in; it is an http.Handler.
type Engine struct {
	cfg    Config
	router *mux.Router

	mu      sync.Mutex
	cache   *cache
	streams map[string]*stream
	running int
	waiting []*waiter
	runs    []*Run
	loads   []loadAt
	fence   int64
	model   string
}

type waiter struct {
	priority int
	ready    chan struct{}
}

type loadAt struct {
	at   clock.Millis
	load LoadReport
}

// LoadReport is what GET /load answers.
type LoadReport struct {
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	Slots         int `json:"slots"`
	CacheCapacity int `json:"cache_capacity"`
	CacheTokens   int `json:"cache_tokens"`
}

var _ http.Handler = (*Engine)(nil)

// New returns an idle engine.
func New(cfg Config) *Engine {
	e := &Engine{cfg: cfg, router: mux.NewRouter(), streams: map[string]*stream{}, model: cfg.Model}
	e.cache = newCache(cfg.CacheTokens, cfg.DropEveryNthEvent)
	e.router.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	e.router.HandleFunc("/v1/streams/{attempt}", e.resume).Methods(http.MethodGet)
	e.router.HandleFunc("/v1/streams/{attempt}", e.cancel).Methods(http.MethodDelete)
	e.router.HandleFunc("/load", e.getLoad).Methods(http.MethodGet)
	e.router.HandleFunc("/cache/events", e.getEvents).Methods(http.MethodGet)
	e.router.HandleFunc("/cache/export/{key}", e.export).Methods(http.MethodGet)
	e.router.HandleFunc("/cache/import/{key}", e.importCache).Methods(http.MethodPost)
	e.router.HandleFunc("/orders", e.order).Methods(http.MethodPost)
	e.router.HandleFunc("/runs", e.getRuns).Methods(http.MethodGet)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// Runs returns what has started so far, in order.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, len(e.runs))
	for i, r := range e.runs {
		out[i] = *r
	}
	return out
}

// acquire waits for a slot; larger priorities go first.
func (e *Engine) acquire(ctx context.Context, priority int) bool {
	e.mu.Lock()
	if e.running < e.cfg.Slots {
		e.running++
		e.noteLoad()
		e.mu.Unlock()
		return true
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(e.waiting, w, func(a, b *waiter) int {
		if a.priority >= b.priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, w)
	e.noteLoad()
	e.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	i := slices.Index(e.waiting, w)
	if i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.noteLoad()
		e.mu.Unlock()
		return false
	}
	e.mu.Unlock()
	// The slot was given at the same moment.
	e.release()
	return false
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) > 0 {
		w := e.waiting[0]
		e.waiting = e.waiting[1:]
		close(w.ready)
	} else {
		e.running--
	}
	e.noteLoad()
}

// noteLoad appends to the history that lagged reports are read from.
func (e *Engine) noteLoad() {
	now := e.cfg.Clock.Now()
	e.loads = append(e.loads, loadAt{now, LoadReport{Running: e.running, Waiting: len(e.waiting)}})
	i := 0
	for i+1 < len(e.loads) && e.loads[i+1].at <= now-e.cfg.ReportLag {
		i++
	}
	e.loads = e.loads[i:]
}

func (e *Engine) laggedLoad() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := LoadReport{}
	limit := e.cfg.Clock.Now() - e.cfg.ReportLag
	for _, l := range e.loads {
		if l.at <= limit {
			out = l.load
		}
	}
	out.Slots = e.cfg.Slots
	out.CacheCapacity, out.CacheTokens = e.cfg.CacheTokens, e.cache.tokens
	return out
}

// Token returns the i-th token of the answer to a request body. It depends on
// the whole request, so that a test can tell whose answer it got.
func Token(request []byte, i int) string {
	h := xxh3.HashSeed(request, uint64(i))
	return "t" + hex.EncodeToString([]byte{byte(h), byte(h >> 8), byte(h >> 16)}) + " "
}

// Content returns the whole content for a request body and a token count.
func Content(request []byte, tokens int) string {
	var out []byte
	for i := range tokens {
		out = append(out, Token(request, i)...)
	}
	return string(out)
}

func hashOf(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}
