package integration_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/weldfall/weldfall/commands"
	"github.com/weldfall/weldfall/internal/fleettest"
)

func client(e *fleettest.Process, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+e.CallerAddr+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func params(model string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: model, MaxTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("be brief"), openai.UserMessage("hello")},
	}
}

func TestOpenAIClient(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 2, Entries: 1, EngineArgs: []string{"--gap-ms", "20"}})
	c := client(f.Entries[0], fleettest.Key("planning", "ws0"))
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()

	plain, err := c.Chat.Completions.New(ctx, params("draft-1", 8))
	if err != nil || len(strings.Fields(plain.Choices[0].Message.Content)) != 8 || plain.Usage.CompletionTokens != 8 {
		t.Errorf("plain: got %+v %v, want 8 tokens", plain, err)
	}

	stream := c.Chat.Completions.NewStreaming(ctx, params("draft-1", 8))
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	if err := stream.Err(); err != nil || len(strings.Fields(acc.Choices[0].Message.Content)) != 8 || acc.Choices[0].FinishReason != "stop" {
		t.Errorf("streamed: got %q %v, want 8 tokens and a finish", acc.Choices[0].Message.Content, err)
	}

	models, err := c.Models.List(ctx)
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != "draft-1" {
		t.Errorf("models: got %+v %v, want draft-1", models, err)
	}

	var refused *openai.Error
	wrong := client(f.Entries[0], "planning.ws0.wrong")
	if _, err := wrong.Chat.Completions.New(ctx, params("draft-1", 8)); !errors.As(err, &refused) || refused.StatusCode != http.StatusUnauthorized || refused.Code != "unauthorized" {
		t.Errorf("wrong key: got %v, want 401 unauthorized", err)
	}
	if _, err := c.Chat.Completions.New(ctx, params("draft-9", 8)); !errors.As(err, &refused) || refused.StatusCode != http.StatusNotFound {
		t.Errorf("unknown model: got %v, want 404", err)
	}

	canceled, stop := context.WithCancel(ctx)
	stream = c.Chat.Completions.NewStreaming(canceled, params("draft-1", 400))
	stream.Next()
	stop()
	for stream.Next() {
	}
	f.Eventually("the engine's work is canceled", func() bool {
		return strings.Contains(f.Entries[0].Log(), "reason=caller_gone") && idle(f)
	})
}

// idle reports whether no engine has a request according to its daemon.
func idle(f *fleettest.Fleet) bool {
	for _, d := range f.EngineDaemons {
		if strings.Contains(d.Page("/engines"), `"requests": 1`) {
			return false
		}
	}
	return true
}

func TestInvalidRequestGetsErrorAndReachesNoEngine(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 1, Entries: 1, Fleet: "[limits]\nbody_bytes = 2000\n"})
	e := f.Entries[0]
	good := chat(e, chatBody(false, 2, "x"))
	edit := func(f func(q *request)) request {
		q := good
		f(&q)
		return q
	}
	for name, c := range map[string]struct {
		q      request
		status int
		reason string
	}{
		"oversize":        {edit(func(q *request) { q.body = chatBody(false, 2, strings.Repeat("x", 3000)) }), 413, "too_large"},
		"no json":         {edit(func(q *request) { q.body = "hello" }), 400, "bad_request"},
		"no messages":     {edit(func(q *request) { q.body = `{"model":"draft-1"}` }), 400, "bad_request"},
		"unknown model":   {edit(func(q *request) { q.body = `{"model":"x","messages":[{"role":"user","content":"x"}]}` }), 404, "unknown_model"},
		"wrong key":       {edit(func(q *request) { q.key = "planning.ws0.x" }), 401, "unauthorized"},
		"no service pool": {edit(func(q *request) { q.path = "/services/nothing/x" }), 400, "bad_request"},
		"bad marker":      {edit(func(q *request) { q.headers = map[string]string{"Weldfall-Repeatable": "maybe"} }), 400, "bad_request"},
		"key from the future": {edit(func(q *request) {
			q.headers = map[string]string{"Idempotency-Key": "ffffffff-ffff-7000-8000-000000000000"}
		}), 400, "bad_request"},
		"header flood": {edit(func(q *request) { q.headers = map[string]string{"X-Flood": strings.Repeat("x", 100<<10)} }), 431, ""},
	} {
		a := c.q.send()
		if a.status != c.status || a.reason != c.reason {
			t.Errorf("%s: got %d %q %v, want %d %q", name, a.status, a.reason, a.err, c.status, c.reason)
		}
		if c.reason != "" && (a.verdict != "not_run" || a.header.Get("X-Request-Id") == "") {
			t.Errorf("%s: got verdict %q id %q, want not_run and an id", name, a.verdict, a.header.Get("X-Request-Id"))
		}
	}
	if got := len(f.StartedRuns(f.Engines[0])); got != 0 {
		t.Errorf("got %d runs, want none", got)
	}
}

func TestSlowCallerDoesNotDelayOthers(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 1, Entries: 1, EngineArgs: []string{"--gap-ms", "0"}})
	body := chatBody(true, 60_000, "much")
	conn, err := net.Dial("tcp", f.Entries[0].CallerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", fleettest.Key("planning", "ws0"), len(body), body)
	if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		if a := chat(f.Entries[0], chatBody(true, 5, "short")).send(); !a.complete {
			t.Fatalf("beside a slow caller: got %d %s, want a complete response", a.status, a.reason)
		}
	}
}

func TestIncompleteHeaderTimesOut(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 1, Entries: 1})
	conn, err := net.Dial("tcp", f.Entries[0].CallerAddr)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost:")
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.ReadAll(conn); err != nil {
		t.Errorf("half a header: got %v, want the connection closed", err)
	}
	if got := len(f.StartedRuns(f.Engines[0])); got != 0 {
		t.Errorf("got %d runs, want none", got)
	}
}

func TestEntryStartsWithoutPlatform(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 1})
	f.SetPlatformMode("down")
	e := f.StartEntryWithoutPeers(0)
	f.Eventually("log line", func() bool { return strings.Contains(e.Log(), "msg=platform_unreachable") })
	if e.Ready() {
		t.Error("got ready, want not ready")
	}
	if a := chat(e, chatBody(false, 1, "x")).send(); a.status != http.StatusServiceUnavailable || a.verdict != "not_run" || a.header.Get("Retry-After") == "" {
		t.Errorf("got %d %q, want 503, not_run and Retry-After", a.status, a.verdict)
	}
	f.SetPlatformMode("ok")
	f.Eventually("ready when the platform is back", e.Ready)
}

func TestStartErrorsAreOneLineWithRemedy(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	good := fmt.Sprintf("id = \"e\"\nhall = \"h\"\nlisten = %q\npeers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\nplatform = \"http://127.0.0.1:1\"\n", taken.Addr())
	for name, c := range map[string]struct{ text, want string }{
		"port":       {good, "the port is taken: choose another"},
		"unknown":    {good + "lisen = \"x\"\n", `entry.toml:7:1: key "lisen": unknown setting: did you mean "listen"?`},
		"log level":  {good + "log_level = \"loud\"\n", `entry.toml:7: key "log_level": "loud": write debug, info, warn or error`},
		"memory":     {good + "memory_mb = 8\n", `entry.toml:7: key "memory_mb": 8: write 48 to 1048576`},
		"address":    {strings.Replace(good, taken.Addr().String(), "here", 1), `entry.toml:3: key "listen": "here": write IP:PORT`},
		"no id":      {strings.Replace(good, `"e"`, `""`, 1), `entry.toml:1: key "id"`},
		"wrong type": {strings.Replace(good, `"h"`, `7`, 1), `entry.toml:2`},
	} {
		file := t.TempDir() + "/entry.toml"
		if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out, errOut bytes.Buffer
		if got, want := commands.Main([]string{"entry", "--settings", file}, &out, &errOut), 2; got != want {
			t.Errorf("%s: got exit %d, want %d", name, got, want)
		}
		line := strings.TrimSpace(errOut.String())
		if !strings.Contains(line, c.want) || strings.Contains(line, "\n") {
			t.Errorf("%s: got %q, want one line with %q", name, line, c.want)
		}
	}
}

func TestChatIsIdentifiedByHeaderFieldOrOpening(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 4, Entries: 2, EngineArgs: []string{"--gap-ms", "0", "--tokens", "4"}})
	opening := strings.Repeat("an opening that stays the same ", 20)
	first := chat(f.Entries[0], chatBody(false, 4, opening)).send()
	for name, q := range map[string]request{
		"opening": chat(f.Entries[1], chatBody(false, 4, opening, first.content, "more")),
	} {
		if a := q.send(); !a.complete || strings.Contains(a.body, `"cached_tokens":0}`) {
			t.Errorf("%s: got %s, want a cached prefix through the other entry", name, a.body)
		}
	}
	if got, want := first.header.Get("Weldfall-Hint"), logField(f.Entries[0].Log(), "engine"); got == "" || got != want {
		t.Errorf("hint: got %q, want the engine %q", got, want)
	}
	forged := chat(f.Entries[1], chatBody(false, 4, opening, first.content, "again"))
	forged.headers = map[string]string{"Weldfall-Hint": "engine-99"}
	if a := forged.send(); !a.complete {
		t.Errorf("forged hint: got %d %s, want a complete response", a.status, a.reason)
	}
	withKey := strings.Replace(chatBody(false, 4, "changing "+opening), `"stream"`, `"prompt_cache_key":"chat-7","stream"`, 1)
	header := map[string]string{"Weldfall-Chat": "chat-8"}
	for range 2 {
		for _, e := range f.Entries {
			if a := (request{entry: e, path: "/v1/chat/completions", key: fleettest.Key("planning", "ws0"), body: withKey}).send(); !a.complete {
				t.Errorf("field: got %d %s", a.status, a.reason)
			}
			if a := (request{entry: e, path: "/v1/chat/completions", key: fleettest.Key("planning", "ws0"), body: chatBody(false, 4, "other "+opening), headers: header}).send(); !a.complete {
				t.Errorf("header: got %d %s", a.status, a.reason)
			}
		}
	}
	engines := map[string]bool{}
	for _, line := range strings.Split(f.Entries[0].Log()+f.Entries[1].Log(), "\n") {
		if strings.Contains(line, "msg=request") {
			engines[logField(line, "chat")+" "+logField(line, "engine")] = true
		}
	}
	if got, want := len(engines), 3; got != want {
		t.Errorf("got %d pairs of chat and engine, want %d: %v", got, want, engines)
	}
}

func logField(line, key string) string {
	_, rest, _ := strings.Cut(line, " "+key+"=")
	v, _, _ := strings.Cut(rest, " ")
	return v
}

func TestRateLimitedWorkspaceGetsRetryAfter(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 1, Entries: 1, EngineArgs: []string{"--gap-ms", "0"}})
	f.PutConfig("planning/ws1/chat", "[limits]\ntokens_per_second = 100.0\nburst_tokens = 400\n")
	q := chat(f.Entries[0], chatBody(false, 100, "x"))
	q.key = fleettest.Key("planning", "ws1")
	f.Eventually("limit in force", func() bool {
		return f.Entries[0].EffectiveSetting("planning/ws1/chat", "limits.burst_tokens") == 400.0
	})
	limited := 0
	for range 10 {
		if a := q.send(); a.status == http.StatusTooManyRequests {
			limited++
			if a.verdict != "not_run" || a.reason != "rate_limited" || a.header.Get("Retry-After") == "" {
				t.Errorf("got %q %q Retry-After %q, want not_run, rate_limited and a time", a.verdict, a.reason, a.header.Get("Retry-After"))
			}
		}
	}
	if limited < 5 {
		t.Errorf("got %d of 10 limited, want at least 5", limited)
	}
	if got, want := len(f.StartedRuns(f.Engines[0])), 10-limited; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

// Tests that count runs after a response rely on the run of that response being counted.
func TestRunIsRecordedBeforeItsResponse(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 1, Entries: 1, EngineArgs: []string{"--gap-ms", "0"}})
	for i := 1; i <= 500; i++ {
		if a := chat(f.Entries[0], chatBody(false, 1, "x")).send(); !a.complete {
			t.Fatalf("response %d: got %d %s, want it complete", i, a.status, a.reason)
		}
		if got, want := len(f.StartedRuns(f.Engines[0])), i; got != want {
			t.Fatalf("after response %d: got %d runs, want %d", i, got, want)
		}
	}
}
