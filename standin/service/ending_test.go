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

func TestStandInsEndAnswersWithTheirConnections(t *testing.T) {
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
		framed        framing.Framing
	}{
		{"service", "{}", framing.Length},
		{"engine", `{"messages":[{"role":"user","content":"x"}]}`, framing.Length},
		{"engine", `{"stream":true,"messages":[{"role":"user","content":"x"}]}`, framing.Chunked},
	} {
		srv := httptest.NewServer(handlers[tc.handler])
		defer srv.Close()
		whole, framed := post(t, srv.URL, tc.body, engine.Framed)
		if framed != tc.framed {
			t.Errorf("%s %s: got framing %s, want %s", tc.handler, tc.body, framed, tc.framed)
		}
		got, framed := post(t, srv.URL, tc.body, engine.UntilClose)
		if framed != framing.UntilClose || len(got) < len(whole) {
			t.Errorf("%s %s: got %q by %s, want all until close", tc.handler, tc.body, got, framed)
		}
		got, framed = post(t, srv.URL, tc.body, engine.Truncated)
		if framed != framing.UntilClose || got == "" || strings.HasSuffix(got, "\n") || len(got) >= len(whole) {
			t.Errorf("%s %s: got %q by %s, want a part until close", tc.handler, tc.body, got, framed)
		}
	}
}

// post returns an answer that ends without an error, and its framing. The attempt begins with
// how it ends.
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
