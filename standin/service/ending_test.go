package service_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/standin/engine"
	"github.com/weldfall/weldfall/standin/service"
)

// The stand-ins of engines and services implement each engine.Ending.
func TestStandInsEndResponsesWithTheirConnections(t *testing.T) {
	ending := func(attempt string) engine.Ending {
		name, _, _ := strings.Cut(attempt, "-")
		return engine.Ending(name)
	}
	handlers := map[string]http.Handler{
		"service": service.New(service.Config{Ending: ending}),
		"engine":  engine.New(engine.Config{Slots: 2, CacheTokens: 100, Tokens: 3, Clock: clock.System(), Ending: ending}),
	}
	for _, tc := range []struct {
		handler, body string
		want          framing.Framing
	}{
		{"service", "{}", framing.Length},
		{"engine", `{"messages":[{"role":"user","content":"x"}]}`, framing.Length},
		{"engine", `{"stream":true,"messages":[{"role":"user","content":"x"}]}`, framing.Chunked},
	} {
		srv := httptest.NewServer(handlers[tc.handler])
		defer srv.Close()
		complete, framed := post(t, srv.URL, tc.body, engine.Framed)
		if framed != tc.want {
			t.Errorf("%s %s: got framing %s, want %s", tc.handler, tc.body, framed, tc.want)
		}
		got, framed := post(t, srv.URL, tc.body, engine.UntilClose)
		if framed != framing.UntilClose || len(got) < len(complete) {
			t.Errorf("%s %s: got %q by %s, want the complete body until close", tc.handler, tc.body, got, framed)
		}
		got, framed = post(t, srv.URL, tc.body, engine.Truncated)
		if framed != framing.UntilClose || got == "" || strings.HasSuffix(got, "\n") || len(got) >= len(complete) {
			t.Errorf("%s %s: got %q by %s, want a part of the body until close", tc.handler, tc.body, got, framed)
		}
	}
}

// post sends a request whose attempt ID starts with the ending of its response. It returns the
// body and the framing, and fails the test if the body ends with an error.
func post(t *testing.T, url, body string, ending engine.Ending) (string, framing.Framing) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(engine.HeaderAttempt, fmt.Sprintf("%s-%d", ending, len(body)))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(got), framing.OfResponse(res)
}
