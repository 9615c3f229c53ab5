package integration_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/internal/fleettest"
	"github.com/weldfall/weldfall/standin/engine"
)

func TestMain(m *testing.M) { fleettest.Main(m) }

// response is the response that a caller received.
type response struct {
	status  int
	header  http.Header
	body    string
	content string
	// complete is true for a stream that ended with its end marker, or for a complete
	// response that is no stream.
	complete bool
	// verdict and reason are those of an error, "" otherwise.
	verdict, reason string
	err             error
}

// request is what a caller sends.
type request struct {
	entry   *fleettest.Process
	path    string
	key     string
	body    string
	headers map[string]string
}

func chat(entry *fleettest.Process, body string) request {
	return request{entry: entry, path: "/v1/chat/completions", key: fleettest.Key("planning", "ws0"), body: body}
}

func chatBody(stream bool, tokens int, turns ...string) string {
	var messages []string
	for i, text := range turns {
		role := "user"
		if i%2 == 1 {
			role = "assistant"
		}
		messages = append(messages, fmt.Sprintf(`{"role":%q,"content":%q}`, role, text))
	}
	return fmt.Sprintf(`{"model":"draft-1","stream":%t,"max_tokens":%d,"messages":[%s]}`, stream, tokens, strings.Join(messages, ","))
}

func (q request) send() response {
	req, err := http.NewRequest(http.MethodPost, "http://"+q.entry.CallerAddr+q.path, strings.NewReader(q.body))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+q.key)
	for k, v := range q.headers {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	a := response{status: res.StatusCode, header: res.Header, body: string(body), err: err}
	a.read(strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream"))
	return a
}

type chunk struct {
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
	Error *struct {
		Code    string `json:"code"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

func (a *response) read(stream bool) {
	if !stream {
		var c chunk
		if json.Unmarshal([]byte(a.body), &c) == nil {
			a.addChunk(c)
		}
		a.complete = a.err == nil && a.status == http.StatusOK
		return
	}
	for line := range strings.SplitSeq(a.body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if data == "[DONE]" {
			a.complete = a.err == nil
		}
		var c chunk
		if ok && json.Unmarshal([]byte(data), &c) == nil {
			a.addChunk(c)
		}
	}
}

func (a *response) addChunk(c chunk) {
	for _, ch := range c.Choices {
		a.content += ch.Delta.Content + ch.Message.Content
	}
	if c.Error != nil {
		a.verdict, a.reason = c.Error.Verdict, c.Error.Code
	}
}

func TestRequestThroughSeparateProcesses(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 2, Services: 1, Entries: 1, EngineArgs: []string{"--gap-ms", "1"}})
	for _, stream := range []bool{false, true} {
		body := chatBody(stream, 20, "hello")
		a := chat(f.Entries[0], body).send()
		if got, want := a.content, engine.Content([]byte(body), 20); got != want || !a.complete {
			t.Errorf("stream %t: got %q, complete %t, want %q, complete", stream, got, a.complete, want)
		}
		if a.header.Get("X-Request-Id") == "" {
			t.Errorf("stream %t: got no request id", stream)
		}
	}
	q := request{entry: f.Entries[0], path: "/services/desk/fees?ref=7", key: fleettest.Key("vigia", "ws1"), body: "pay"}
	a := q.send()
	if a.status != http.StatusOK || !strings.Contains(a.body, `"path":"/fees?ref=7"`) {
		t.Errorf("service: got %d %s, want 200 with the path", a.status, a.body)
	}
	if runs := f.StartedRuns(f.Services[0]); len(runs) != 1 {
		t.Errorf("service runs: got %d, want 1: %+v", len(runs), runs)
	}
	wrong := chat(f.Entries[0], chatBody(false, 1, "x"))
	wrong.key = "planning.ws0.wrong"
	before := len(f.StartedRuns(f.Engines[0])) + len(f.StartedRuns(f.Engines[1]))
	if a := wrong.send(); a.status != http.StatusUnauthorized || a.verdict != "not_run" {
		t.Errorf("wrong key: got %d %q, want 401 not_run", a.status, a.verdict)
	}
	if after := len(f.StartedRuns(f.Engines[0])) + len(f.StartedRuns(f.Engines[1])); after != before {
		t.Errorf("wrong key: got %d runs, want %d", after, before)
	}
}

// A plain service must get only the requests of callers: a daemon's polls for cache and
// load are for chat engines, and a service would run them as requests.
func TestPlainServiceGetsOnlyCallerRequests(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 1, Services: 1, Entries: 1})
	ask := func() {
		t.Helper()
		a := request{entry: f.Entries[0], path: "/services/desk/fees", key: fleettest.Key("vigia", "ws1"), body: "pay"}.send()
		if a.status != http.StatusOK {
			t.Errorf("got %d %s, want 200", a.status, a.body)
		}
	}
	ask()
	// This is longer than a daemon's poll period.
	wait(2500)
	ask()
	if runs := f.StartedRuns(f.Services[0]); len(runs) != 2 {
		t.Errorf("got %d requests at the service, want only the 2 of callers: %+v", len(runs), runs)
	}
}
