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

// Headers of the engine protocol.
const (
	HeaderAttempt  = "X-Attempt"
	HeaderKey      = "X-Request-Key"
	HeaderPriority = "X-Priority"
	HeaderCacheKey = "X-Cache-Key"
	// HeaderCallerKey has the caller's own idempotency key.
	HeaderCallerKey = "Idempotency-Key"
)

// maxBodyBytes is the maximum size of a request.
const maxBodyBytes = 16 << 20

// streamRetention is how long a finished stream can be resumed.
const streamRetention clock.Millis = 20_000

// readerTimeout is how long a stream continues without readers.
const readerTimeout clock.Millis = 10_000

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

// stream is the response to an attempt, as far as it has been generated.
type stream struct {
	mu     sync.Mutex
	events [][]byte
	done   bool
	// body is the response if it is not streamed, nil if it was canceled.
	body []byte
	// changed is closed and replaced when events or done change.
	changed chan struct{}
	cancel  context.CancelFunc
	readers int
	started bool
}

func (s *stream) appendEvent(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, data)
	s.notify()
}

func (s *stream) finish(body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done, s.body = true, body
	s.notify()
}

// notify wakes the readers. The caller holds s.mu.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
	s := &stream{changed: make(chan struct{}), cancel: cancel}
	e.mu.Lock()
	if _, exists := e.streams[attempt]; exists && attempt != "" {
		e.mu.Unlock()
		cancel()
		http.Error(w, "an attempt of this ID exists", http.StatusConflict)
		return
	}
	e.streams[attempt] = s
	e.mu.Unlock()
	priority, _ := strconv.Atoi(r.Header.Get(HeaderPriority))
	go e.generate(ctx, s, req, body, attempt, r.Header.Get(HeaderKey), r.Header.Get(HeaderCallerKey), priority)
	if req.Stream {
		e.streamEvents(w, r, s, 0, EndingFor(e.cfg.Ending, attempt))
		return
	}
	e.writeBody(w, r, s, EndingFor(e.cfg.Ending, attempt))
}

func (e *Engine) generate(ctx context.Context, s *stream, req chatRequest, body []byte, attempt, key, callerKey string, priority int) {
	defer func() {
		s.cancel()
		clock.Sleep(context.Background(), streamRetention)
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
	p, prompt := promptPrefix(req)
	run := &Run{Attempt: attempt, Key: key, CallerKey: callerKey}
	if e.cfg.Started != nil {
		e.cfg.Started(*run)
	}
	e.mu.Lock()
	cached := e.cache.cachedTokens(p.key, p.hashes)
	run.Cached = cached
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	if e.cfg.PrefillTokensPerMS > 0 {
		clock.Sleep(ctx, clock.Millis((prompt-cached)/e.cfg.PrefillTokensPerMS))
	}
	n := outputTokens(req, e.cfg.Tokens)
	content, generated := e.generateTokens(ctx, s, req, body, attempt, n)
	e.mu.Lock()
	run.SHA256, run.Tokens, run.Done = hexSHA256(content), generated, generated == n
	if run.Done {
		p.appendMessage("assistant", content)
		e.cache.store(p, e.cfg.Clock.Now())
	}
	e.mu.Unlock()
	usage := map[string]any{
		"prompt_tokens": prompt, "completion_tokens": generated, "total_tokens": prompt + generated,
		"prompt_tokens_details": map[string]any{"cached_tokens": cached},
	}
	if !run.Done {
		s.finish(nil)
		return
	}
	if req.Stream {
		s.appendEvent(chunk(attempt, req.Model, nil, "stop", nil))
		s.appendEvent(chunk(attempt, req.Model, nil, "", usage))
		s.appendEvent([]byte("[DONE]"))
		s.finish(nil)
		return
	}
	response, _ := json.Marshal(map[string]any{
		"id": "chatcmpl-" + attempt, "object": "chat.completion", "created": 0, "model": req.Model, "usage": usage,
		"choices": []any{map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]any{"role": "assistant", "content": content}}},
	})
	s.finish(response)
}

// generateTokens generates n tokens and returns the content and the number of tokens. It stops
// early if ctx ends.
func (e *Engine) generateTokens(ctx context.Context, s *stream, req chatRequest, body []byte, attempt string, n int) (string, int) {
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
			s.appendEvent(chunk(attempt, req.Model, &token, "", nil))
		}
	}
	return string(content), n
}

// outputTokens returns the length of the response, fallback without a limit in the request.
func outputTokens(req chatRequest, fallback int) int {
	if req.MaxCompletionTokens > 0 {
		return req.MaxCompletionTokens
	}
	if req.MaxTokens > 0 {
		return req.MaxTokens
	}
	return fallback
}

// promptPrefix returns the prompt of a request and its token count, at four bytes a token.
func promptPrefix(req chatRequest) (*prefix, int) {
	p := &prefix{key: req.CacheKey}
	for _, m := range req.Messages {
		var text string
		if json.Unmarshal(m.Content, &text) != nil {
			text = string(m.Content)
		}
		p.appendMessage(m.Role, text)
	}
	return p, p.total
}

func (p *prefix) appendMessage(role, text string) {
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

// streamEvents writes the events of a stream, starting with event number from, as they are
// generated.
func (e *Engine) streamEvents(w http.ResponseWriter, r *http.Request, s *stream, from int, ending Ending) {
	w.Header().Set("Content-Type", "text/event-stream")
	ending.SetFraming(w)
	s.addReaders(+1)
	defer s.removeReader()
	rc := http.NewResponseController(w)
	for {
		s.mu.Lock()
		events, done, changed := s.events, s.done, s.changed
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
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// writeBody writes a response that is not streamed once it is complete.
func (e *Engine) writeBody(w http.ResponseWriter, r *http.Request, s *stream, ending Ending) {
	s.addReaders(+1)
	defer s.removeReader()
	for {
		s.mu.Lock()
		body, done, changed := s.body, s.done, s.changed
		s.mu.Unlock()
		if done && body == nil {
			http.Error(w, "canceled", http.StatusServiceUnavailable)
			return
		}
		if done {
			w.Header().Set("Content-Type", "application/json")
			ending.SetFraming(w)
			_, _ = w.Write(ending.Truncate(body))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// addReaders changes the number of readers by delta and returns it.
func (s *stream) addReaders(delta int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers += delta
	return s.readers
}

// removeReader cancels the stream if it then has no readers for readerTimeout.
func (s *stream) removeReader() {
	if s.addReaders(-1) > 0 {
		return
	}
	go func() {
		clock.Sleep(context.Background(), readerTimeout)
		if s.addReaders(0) == 0 {
			s.cancel()
		}
	}()
}

// stream returns the stream of the attempt in the path. If there is none, it responds with 404
// and returns nil.
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
		e.writeBody(w, r, s, EndingFor(e.cfg.Ending, mux.Vars(r)["attempt"]))
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	e.streamEvents(w, r, s, from, EndingFor(e.cfg.Ending, mux.Vars(r)["attempt"]))
}

// cancel cancels a stream and responds whether it had started.
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
	writeJSON(w, e.cache.eventsSince(after, e.cfg.Clock.Now(), e.cfg.ReportLag))
}

// exportedPrefix is the wire format of a cached prefix.
type exportedPrefix struct {
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
	writeJSON(w, exportedPrefix{p.hashes, p.tokens})
}

func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	var x exportedPrefix
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&x); err != nil || len(x.Hashes) != len(x.Tokens) {
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

// Order sets the model. An order with a lower fencing token than the latest one is rejected.
type Order struct {
	Fence int64  `json:"fence"`
	Model string `json:"model"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		http.Error(w, "the fence is lower than that of the latest order", http.StatusConflict)
		return
	}
	e.fence, e.model = o.Fence, o.Model
}

func (e *Engine) getRuns(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Runs()) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
