// Package engine is a stand-in for a language-model engine. It runs requests in
// a limited number of slots by priority, caches prompt prefixes in limited
// memory, resumes and cancels streams, exports and imports its cache, reports
// load and cache events with a lag, accepts orders with a fencing token, and
// records each request that it starts.
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

// Config is the configuration of the stand-in.
type Config struct {
	ID    string
	Model string
	// Slots is the number of requests that run at once.
	Slots int
	// CacheTokens is the capacity of the cache.
	CacheTokens int
	// PrefillTokensPerMS is the prefill rate of uncached tokens, zero for no delay.
	PrefillTokensPerMS int
	// TokenInterval is the time between output tokens.
	TokenInterval clock.Millis
	// Tokens is the length of a response whose request has no limit.
	Tokens int
	// ReportLag is the age of load reports, and the least age of cache events.
	ReportLag clock.Millis
	// DropEveryNthEvent omits every n-th cache event, zero omits none.
	DropEveryNthEvent int
	// Started is called at the start of each request. It may be nil.
	Started func(Run)
	// Ending returns how the response to an attempt ends. Nil stands for Framed.
	Ending func(attempt string) Ending
	Clock  *clock.Clock
}

// Run is a request that the stand-in has started.
type Run struct {
	Attempt string `json:"attempt"`
	Key     string `json:"key"`
	// CallerKey is the caller's own idempotency key, if any.
	CallerKey string `json:"caller_key,omitempty"`
	// SHA256 is the hex hash of the generated content, empty while the request runs.
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
	queue   []*queued
	runs    []*Run
	loads   []loadAt
	fence   int64
	model   string
}

type queued struct {
	priority int
	ready    chan struct{}
}

type loadAt struct {
	at   clock.Millis
	load LoadReport
}

// LoadReport is the response to GET /load.
type LoadReport struct {
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	Slots         int `json:"slots"`
	CacheCapacity int `json:"cache_capacity"`
	CacheTokens   int `json:"cache_tokens"`
}

var _ http.Handler = (*Engine)(nil)

// New returns an idle engine with an empty cache.
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

// Runs returns the requests started so far, in order.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, len(e.runs))
	for i, r := range e.runs {
		out[i] = *r
	}
	return out
}

// acquire waits for a slot; higher priorities go first. It returns false if ctx ends before.
func (e *Engine) acquire(ctx context.Context, priority int) bool {
	e.mu.Lock()
	if e.running < e.cfg.Slots {
		e.running++
		e.recordLoad()
		e.mu.Unlock()
		return true
	}
	w := &queued{priority: priority, ready: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(e.queue, w, func(a, b *queued) int {
		if a.priority >= b.priority {
			return -1
		}
		return 1
	})
	e.queue = slices.Insert(e.queue, at, w)
	e.recordLoad()
	e.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	i := slices.Index(e.queue, w)
	if i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
		e.recordLoad()
		e.mu.Unlock()
		return false
	}
	e.mu.Unlock()
	// The slot was assigned concurrently.
	e.release()
	return false
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) > 0 {
		w := e.queue[0]
		e.queue = e.queue[1:]
		close(w.ready)
	} else {
		e.running--
	}
	e.recordLoad()
}

// recordLoad appends to the load history, from which laggedLoad reads. The caller holds e.mu.
func (e *Engine) recordLoad() {
	now := e.cfg.Clock.Now()
	e.loads = append(e.loads, loadAt{now, LoadReport{Running: e.running, Waiting: len(e.queue)}})
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
	asOf := e.cfg.Clock.Now() - e.cfg.ReportLag
	for _, l := range e.loads {
		if l.at <= asOf {
			out = l.load
		}
	}
	out.Slots = e.cfg.Slots
	out.CacheCapacity, out.CacheTokens = e.cfg.CacheTokens, e.cache.tokens
	return out
}

// Token returns the i-th token of the response to a request body. It depends on the whole
// body, so that a test can tell which request a response belongs to.
func Token(request []byte, i int) string {
	h := xxh3.HashSeed(request, uint64(i))
	return "t" + hex.EncodeToString([]byte{byte(h), byte(h >> 8), byte(h >> 16)}) + " "
}

// Content returns the complete content for a request body and a token count.
func Content(request []byte, tokens int) string {
	var out []byte
	for i := range tokens {
		out = append(out, Token(request, i)...)
	}
	return string(out)
}

func hexSHA256(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}
