package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/gorilla/mux"
	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
)

// Headers of the engine's published protocol.
const (
	HeaderAttempt  = "X-Attempt"
	HeaderKey      = "X-Request-Key"
	HeaderPriority = "X-Priority"
	HeaderCacheKey = "X-Cache-Key"
	// HeaderCallerKey is the caller's own key for the request.
	HeaderCallerKey = "Idempotency-Key"
)

// maxBody is the largest request in bytes.
const maxBody = 16 << 20

// keepStream is how long a finished stream can be resumed.
const keepStream clock.Millis = 20_000

// abandonAfter ends a stream that nobody reads.
const abandonAfter clock.Millis = 10_000

type chatRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
	Stream              bool   `json:"stream"`
	CacheKey            string `json:"prompt_cache_key"`
}

// stream is the answer to one attempt as far as it is produced.
type stream struct {
	mu     sync.Mutex
	events [][]byte
	done   bool
	plain  []byte
	// grown is closed and replaced when events or done change.
	grown   chan struct{}
	cancel  context.CancelFunc
	readers int
	started bool
}

func (s *stream) add(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, data)
	s.wake()
}

func (s *stream) finish(plain []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done, s.plain = true, plain
	s.wake()
}

func (s *stream) wake() {
	close(s.grown)
	s.grown = make(chan struct{})
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	attempt := r.Header.Get(HeaderAttempt)
	if k := r.Header.Get(HeaderCacheKey); k != "" {
		req.CacheKey = k
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &stream{grown: make(chan struct{}), cancel: cancel}
	e.mu.Lock()
	if _, twice := e.streams[attempt]; twice && attempt != "" {
		e.mu.Unlock()
		cancel()
		http.Error(w, "attempt exists", http.StatusConflict)
		return
	}
	e.streams[attempt] = s
	e.mu.Unlock()
	priority, _ := strconv.Atoi(r.Header.Get(HeaderPriority))
	go e.generate(ctx, s, req, body, attempt, r.Header.Get(HeaderKey), r.Header.Get(HeaderCallerKey), priority)
	if req.Stream {
		e.follow(w, r, s, 0, EndingFor(e.cfg.Ending, attempt))
		return
	}
	e.followPlain(w, r, s, EndingFor(e.cfg.Ending, attempt))
}

func (e *Engine) generate(ctx context.Context, s *stream, req chatRequest, body []byte, attempt, key, callerKey string, priority int) {
	defer func() {
		s.cancel()
		clock.Sleep(context.Background(), keepStream)
		e.mu.Lock()
		delete(e.streams, attempt)
		e.mu.Unlock()
	}()
	if !e.acquire(ctx, priority) {
		s.finish(nil)
		return
	}
	defer e.release()
	s.mu.Lock()
	s.started = true
	s.mu.Unlock()
	p, prompt := promptOf(req)
	run := &Run{Attempt: attempt, Key: key, CallerKey: callerKey}
	if e.cfg.Started != nil {
		e.cfg.Started(*run)
	}
	e.mu.Lock()
	cached := e.cache.hit(p.key, p.hashes)
	run.Cached = cached
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	if e.cfg.PrefillTokensPerMS > 0 {
		clock.Sleep(ctx, clock.Millis((prompt-cached)/e.cfg.PrefillTokensPerMS))
	}
	n := tokensOf(req, e.cfg.Tokens)
	content, produced := e.produce(ctx, s, req, body, attempt, n)
	e.mu.Lock()
	run.SHA256, run.Tokens, run.Done = hashOf(content), produced, produced == n
	if run.Done {
		p.add("assistant", content)
		e.cache.store(p, e.cfg.Clock.Now())
	}
	e.mu.Unlock()
	usage := map[string]any{
		"prompt_tokens": prompt, "completion_tokens": produced, "total_tokens": prompt + produced,
		"prompt_tokens_details": map[string]any{"cached_tokens": cached},
	}
	if !run.Done {
		s.finish(nil)
		return
	}
	if req.Stream {
		s.add(chunk(attempt, req.Model, nil, "stop", nil))
		s.add(chunk(attempt, req.Model, nil, "", usage))
		s.add([]byte("[DONE]"))
		s.finish(nil)
		return
	}
	plain, _ := json.Marshal(map[string]any{
		"id": "chatcmpl-" + attempt, "object": "chat.completion", "created": 0, "model": req.Model, "usage": usage,
		"choices": []any{map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]any{"role": "assistant", "content": content}}},
	})
	s.finish(plain)
}

func (e *Engine) produce(ctx context.Context, s *stream, req chatRequest, body []byte, attempt string, n int) (string, int) {
	var content []byte
	var ticks <-chan struct{}
	if e.cfg.TokenInterval > 0 {
		c := make(chan struct{})
		tickCtx, stop := context.WithCancel(ctx)
		defer stop()
		go clock.Every(tickCtx, e.cfg.TokenInterval, func() {
			select {
			case c <- struct{}{}:
			case <-tickCtx.Done():
			}
		})
		ticks = c
	}
	for i := range n {
		if ticks != nil {
			select {
			case <-ticks:
			case <-ctx.Done():
				return string(content), i
			}
		}
		if ctx.Err() != nil {
			return string(content), i
		}
		token := Token(body, i)
		content = append(content, token...)
		if req.Stream {
			s.add(chunk(attempt, req.Model, &token, "", nil))
		}
	}
	return string(content), n
}

func tokensOf(req chatRequest, fallback int) int {
	if req.MaxCompletionTokens > 0 {
		return req.MaxCompletionTokens
	}
	if req.MaxTokens > 0 {
		return req.MaxTokens
	}
	return fallback
}

// promptOf returns the request as a prefix and its tokens, four bytes each.
func promptOf(req chatRequest) (*prefix, int) {
	p := &prefix{key: req.CacheKey}
	for _, m := range req.Messages {
		var text string
		if json.Unmarshal(m.Content, &text) != nil {
			text = string(m.Content)
		}
		p.add(m.Role, text)
	}
	return p, p.total
}

func (p *prefix) add(role, text string) {
	n := 1 + len(text)/4
	p.hashes = append(p.hashes, xxh3.HashString(role+"\x00"+text))
	p.tokens = append(p.tokens, n)
	p.total += n
}

func chunk(attempt, model string, token *string, finish string, usage map[string]any) []byte {
	choice := map[string]any{"index": 0, "delta": map[string]any{}}
	if token != nil {
		choice["delta"] = map[string]any{"role": "assistant", "content": *token}
	}
	if finish != "" {
		choice["finish_reason"] = finish
	}
	m := map[string]any{"id": "chatcmpl-" + attempt, "object": "chat.completion.chunk", "created": 0, "model": model, "choices": []any{choice}}
	if usage != nil {
		m["usage"], m["choices"] = usage, []any{}
	}
	out, _ := json.Marshal(m)
	return out
}

// follow writes the events of a stream from a number on, as they come.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request, s *stream, from int, ending Ending) {
	w.Header().Set("Content-Type", "text/event-stream")
	ending.SetFraming(w)
	s.read(+1)
	defer s.abandon()
	rc := http.NewResponseController(w)
	for {
		s.mu.Lock()
		events, done, grown := s.events, s.done, s.grown
		s.mu.Unlock()
		for ; from < len(events); from++ {
			event := fmt.Appendf(nil, "id: %d\ndata: %s\n\n", from, events[from])
			if from > 0 {
				event = ending.Truncate(event)
			}
			if _, err := w.Write(event); err != nil || (from > 0 && ending == Truncated) {
				return
			}
		}
		if rc.Flush() != nil || done {
			return
		}
		select {
		case <-grown:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) followPlain(w http.ResponseWriter, r *http.Request, s *stream, ending Ending) {
	s.read(+1)
	defer s.abandon()
	for {
		s.mu.Lock()
		plain, done, grown := s.plain, s.done, s.grown
		s.mu.Unlock()
		if done && plain == nil {
			http.Error(w, "canceled", http.StatusServiceUnavailable)
			return
		}
		if done {
			w.Header().Set("Content-Type", "application/json")
			ending.SetFraming(w)
			_, _ = w.Write(ending.Truncate(plain))
			return
		}
		select {
		case <-grown:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *stream) read(delta int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers += delta
	return s.readers
}

// abandon ends a stream that is left without readers for too long.
func (s *stream) abandon() {
	if s.read(-1) > 0 {
		return
	}
	go func() {
		clock.Sleep(context.Background(), abandonAfter)
		if s.read(0) == 0 {
			s.cancel()
		}
	}()
}

// stream returns the stream that the path names, or answers 404 and nil.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[mux.Vars(r)["attempt"]]
	if s == nil {
		http.Error(w, "unknown attempt", http.StatusNotFound)
	}
	return s
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	s := e.stream(w, r)
	if s == nil {
		return
	}
	if r.URL.Query().Get("plain") != "" {
		e.followPlain(w, r, s, EndingFor(e.cfg.Ending, mux.Vars(r)["attempt"]))
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	e.follow(w, r, s, from, EndingFor(e.cfg.Ending, mux.Vars(r)["attempt"]))
}

// cancel ends a stream and says whether it had started.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	s := e.stream(w, r)
	if s == nil {
		return
	}
	s.cancel()
	s.mu.Lock()
	started := s.started
	s.mu.Unlock()
	writeJSON(w, map[string]bool{"started": started})
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.laggedLoad()) }

func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.cache.since(after, e.cfg.Clock.Now(), e.cfg.ReportLag))
}

// exported is the form in which a cached prefix travels.
type exported struct {
	Hashes []uint64 `json:"hashes"`
	Tokens []int    `json:"tokens"`
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	el, ok := e.cache.entries[mux.Vars(r)["key"]]
	if !ok {
		http.Error(w, "not cached", http.StatusNotFound)
		return
	}
	p := el.Value.(*prefix)
	writeJSON(w, exported{p.hashes, p.tokens})
}

func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	var x exported
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&x); err != nil || len(x.Hashes) != len(x.Tokens) {
		http.Error(w, "malformed prefix", http.StatusBadRequest)
		return
	}
	p := &prefix{key: mux.Vars(r)["key"], hashes: x.Hashes, tokens: x.Tokens}
	for _, n := range x.Tokens {
		p.total += n
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.store(p, e.cfg.Clock.Now())
}

// Order is a fenced order; one with a lower fence than the latest is refused.
type Order struct {
	Fence int64  `json:"fence"`
	Model string `json:"model"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		http.Error(w, "fenced off", http.StatusConflict)
		return
	}
	e.fence, e.model = o.Fence, o.Model
}

func (e *Engine) getRuns(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Runs()) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
