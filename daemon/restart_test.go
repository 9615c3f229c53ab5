package daemon_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/standin/engine"
	"github.com/weldfall/weldfall/verdict"
)

// restartableEngine is an engine that can restart at its address. It counts the requests
// for its cache events since.
type restartableEngine struct {
	addr string

	mu          sync.Mutex
	incarnation http.Handler
	polls       int
	// noEvents is true if it returns no cache events.
	noEvents bool
}

func newRestartableEngine(t *testing.T) *restartableEngine {
	t.Helper()
	e := &restartableEngine{}
	e.restart()
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	e.addr = srv.Listener.Addr().String()
	return e
}

// cacheTokens is the size of the engine's cache.
const cacheTokens = 200

// restart starts an incarnation with an empty cache, whose events are numbered from the
// start.
func (e *restartableEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation = engine.New(engine.Config{ID: "e", Slots: 64, CacheTokens: cacheTokens, Tokens: 10, Clock: clock.System()})
	e.polls = 0
}

// ServeHTTP implements http.Handler.
func (e *restartableEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	incarnation, noEvents := e.incarnation, e.noEvents && r.URL.Path == "/cache/events"
	e.mu.Unlock()
	if noEvents {
		_, _ = w.Write([]byte("[]"))
	} else {
		incarnation.ServeHTTP(w, r)
	}
	if r.URL.Path == "/cache/events" {
		e.mu.Lock()
		e.polls++
		e.mu.Unlock()
	}
}

// waitPolls waits until a daemon has polled the events n times from now on.
func (e *restartableEngine) waitPolls(t *testing.T, n int) {
	t.Helper()
	e.mu.Lock()
	e.polls = 0
	e.mu.Unlock()
	for range 2000 {
		e.mu.Lock()
		polls := e.polls
		e.mu.Unlock()
		if polls >= n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("got no %d polls of the events in 20 s", n)
}

// fill runs a request of another client that fills nearly all of the engine's cache.
func (e *restartableEngine) fill(t *testing.T) {
	t.Helper()
	body := `{"max_tokens":1,"messages":[{"role":"user","content":"` + strings.Repeat("word ", cacheTokens-20) + `"}]}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.addr+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Attempt", "other")
	req.Header.Set("X-Cache-Key", "ffff")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
}

// offer offers a chat and reports whether it was admitted.
func offer(t *testing.T, c *link.Conn, attempt, chat uint64, mode wire.Mode) bool {
	t.Helper()
	r := run(attempt, 5)
	r.Chat, r.Mode = chat, mode
	got := call[wire.Result](t, c, wire.MethodRun, r)
	if got.Refused && got.Reason != verdict.NotCached {
		t.Fatalf("got chat %d refused for %q, want it admitted or not cached", chat, got.Reason)
	}
	return !got.Refused
}

// startWithChats runs a daemon with an engine that has run chats 1 to n.
func startWithChats(t *testing.T, n uint64) (*restartableEngine, *link.Conn) {
	t.Helper()
	e := newRestartableEngine(t)
	c := startWithEngineAt(t, &sink{}, e.addr)
	for chat := uint64(1); chat <= n; chat++ {
		if !offer(t, c, chat, chat, wire.ModeNormal) {
			t.Fatalf("got chat %d refused, want it run", chat)
		}
	}
	return e, c
}

// enoughPolls is the number of polls after which a daemon has noticed any change.
const enoughPolls = 4

// After a restart, an engine has lost its cache. Its daemon keeps running and must drop the
// chats of the previous incarnation from its cache index. The events of the new incarnation
// are numbered from the start and must be applied.
func TestEngineRestartClearsCacheIndex(t *testing.T) {
	t.Parallel()
	e, c := startWithChats(t, 5)
	e.waitPolls(t, enoughPolls)
	if !offer(t, c, 11, 1, wire.ModeCachedOnly) {
		t.Fatal("got a chat not cached where it ran, want it cached")
	}
	e.restart()
	// The daemon records what runs in the new incarnation.
	if !offer(t, c, 12, 6, wire.ModeNormal) {
		t.Fatal("got a chat refused by the new incarnation, want it run")
	}
	e.waitPolls(t, enoughPolls)
	if offer(t, c, 13, 2, wire.ModeCachedOnly) {
		t.Error("got a chat of the previous incarnation cached, want it dropped")
	}
	if !offer(t, c, 14, 6, wire.ModeCachedOnly) {
		t.Error("got a chat of the new incarnation not cached, want it cached")
	}
	e.fill(t)
	e.waitPolls(t, enoughPolls)
	if offer(t, c, 15, 6, wire.ModeCachedOnly) {
		t.Error("got a chat cached that the new incarnation has evicted, want it dropped")
	}
}

// An engine that drops old events but still has its cache has not restarted.
func TestDroppedEventsAreNoRestart(t *testing.T) {
	t.Parallel()
	e, c := startWithChats(t, 5)
	e.waitPolls(t, enoughPolls)
	e.mu.Lock()
	e.noEvents = true
	e.mu.Unlock()
	e.waitPolls(t, enoughPolls)
	if !offer(t, c, 11, 3, wire.ModeCachedOnly) {
		t.Error("got a chat not cached that the engine has cached, want it cached")
	}
}

// A daemon that starts after its engine learns the cached chats from the engine's events.
func TestReplacedDaemonLearnsCachedChats(t *testing.T) {
	t.Parallel()
	e, _ := startWithChats(t, 3)
	replacement := startWithEngineAt(t, &sink{}, e.addr)
	// A daemon polls only engines that were offered chats.
	offer(t, replacement, 11, 9, wire.ModeCachedOnly)
	e.waitPolls(t, 2*enoughPolls)
	if !offer(t, replacement, 12, 2, wire.ModeCachedOnly) {
		t.Error("got a chat not cached that the engine has cached, want it cached")
	}
	if offer(t, replacement, 13, 8, wire.ModeCachedOnly) {
		t.Error("got a chat cached that never ran, want it not cached")
	}
	e.fill(t)
	e.waitPolls(t, 2*enoughPolls)
	if offer(t, replacement, 14, 3, wire.ModeCachedOnly) {
		t.Error("got a chat cached that the engine has evicted, want it dropped")
	}
}
