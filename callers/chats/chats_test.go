package chats_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/callers/chats"
	"github.com/weldfall/weldfall/verdict"
)

func parse(t *testing.T, text string) chats.Turn {
	t.Helper()
	turn, err := chats.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return turn
}

func header(pairs ...string) http.Header {
	h := http.Header{}
	for i := 0; i < len(pairs); i += 2 {
		h.Set(pairs[i], pairs[i+1])
	}
	return h
}

const (
	firstTurn  = `{"messages":[{"role":"system","content":"s"},{"role":"user","content":"hello"}]}`
	secondTurn = `{"messages":[{"role":"system","content":"s"},{"role":"user","content":"hello"},{"role":"assistant","content":"hi"},{"role":"user","content":"more"}]}`
	otherChat  = `{"messages":[{"role":"system","content":"s"},{"role":"user","content":"good day"}]}`
)

// Checks that all turns of a chat have the same key, and that different chats have different
// keys.
func TestChatKey(t *testing.T) {
	for name, tc := range map[string]struct {
		a, b   string
		ha, hb http.Header
		wa, wb string
		same   bool
	}{
		"later turn":                            {a: firstTurn, b: secondTurn, same: true},
		"another first message":                 {a: firstTurn, b: otherChat},
		"another workspace":                     {a: firstTurn, b: firstTurn, wb: "w2"},
		"another first message, same header":    {a: firstTurn, b: otherChat, ha: header(chats.HeaderChat, "c"), hb: header(chats.HeaderChat, "c"), same: true},
		"same first message, different headers": {a: firstTurn, b: firstTurn, ha: header(chats.HeaderChat, "c"), hb: header(chats.HeaderChat, "d")},
		"field":                                 {a: firstTurn, b: `{"prompt_cache_key":"c","messages":[{"role":"user","content":"x"}]}`, ha: header(chats.HeaderChat, "c"), same: true},
		"header overrides field":                {a: firstTurn, b: `{"prompt_cache_key":"c","messages":[{"role":"user","content":"x"}]}`, ha: header(chats.HeaderChat, "d"), hb: header(chats.HeaderChat, "d"), same: true},
		"first message equal to a field":        {a: firstTurn, b: `{"prompt_cache_key":"hello","messages":[{"role":"user","content":"hello"}]}`},
	} {
		a, _ := parse(t, tc.a).ChatKey("w"+tc.wa, tc.ha)
		b, _ := parse(t, tc.b).ChatKey("w"+tc.wb, tc.hb)
		if got := a == b; got != tc.same {
			t.Errorf("%s: got same key %v, want %v", name, got, tc.same)
		}
	}
	if _, returning := parse(t, firstTurn).ChatKey("w", nil); returning {
		t.Error("got returning for a first turn, want a new chat")
	}
	if _, returning := parse(t, secondTurn).ChatKey("w", nil); !returning {
		t.Error("got a new chat for a second turn, want returning")
	}
}

func TestNamed(t *testing.T) {
	named := `{"prompt_cache_key":"c","messages":[{"role":"user","content":"x"}]}`
	for name, c := range map[string]struct {
		body string
		h    http.Header
		want bool
	}{
		"header":  {body: firstTurn, h: header(chats.HeaderChat, "c"), want: true},
		"field":   {body: named, want: true},
		"neither": {body: firstTurn},
	} {
		if got := parse(t, c.body).Named(c.h); got != c.want {
			t.Errorf("%s: got named %v, want %v", name, got, c.want)
		}
	}
}

func TestTurnFields(t *testing.T) {
	turn := parse(t, `{"model":"m","stream":true,"stream_options":{"include_usage":true},"max_tokens":7,"messages":[{"role":"user","content":"x"}]}`)
	if turn.Model() != "m" || !turn.WantsStream() || !turn.WantsUsage() {
		t.Errorf("got model %q, stream %v, usage %v, want m, true, true", turn.Model(), turn.WantsStream(), turn.WantsUsage())
	}
	if got, want := turn.Cost(400), 1+100+7; got != want {
		t.Errorf("got %d tokens, want %d", got, want)
	}
	if got, want := parse(t, firstTurn).Cost(0), 1+256; got != want {
		t.Errorf("got %d tokens without max_tokens, want %d", got, want)
	}
	if got, want := (chats.Turn{}).Cost(0), 1+256; got != want {
		t.Errorf("got %d tokens for a plain service, want %d", got, want)
	}
}

// Checks that invalid input is reported as not run, and that the message says what to change.
func TestInvalidInput(t *testing.T) {
	_, notChat := chats.Parse([]byte(`{"messages":1}`))
	_, noMessages := chats.Parse([]byte(`{}`))
	_, noKey := chats.BearerKey(header("Authorization", "Basic x"))
	_, badFlag := chats.Repeatable(header(chats.HeaderRepeatable, "perhaps"), true)
	for text, err := range map[string]*verdict.Error{
		"not a valid chat request": notChat, "messages": noMessages, "Authorization: Bearer": noKey, "true or false": badFlag,
	} {
		if err == nil || err.Verdict() != verdict.NotRun || !strings.Contains(err.Message(), text) {
			t.Errorf("got %v, want not_run with %q", err, text)
		}
	}
}

func TestRepeatable(t *testing.T) {
	for name, tc := range map[string]struct {
		h          http.Header
		bySettings bool
		want       bool
	}{
		"settings true":             {bySettings: true, want: true},
		"settings false":            {},
		"key overrides settings":    {h: header(chats.HeaderIdempotencyKey, "k"), bySettings: true},
		"header overrides key":      {h: header(chats.HeaderIdempotencyKey, "k", chats.HeaderRepeatable, "true"), want: true},
		"header overrides settings": {h: header(chats.HeaderRepeatable, "false"), bySettings: true},
		"header 1 means true":       {h: header(chats.HeaderRepeatable, "1"), want: true},
	} {
		got, err := chats.Repeatable(tc.h, tc.bySettings)
		if err != nil || got != tc.want {
			t.Errorf("%s: got %v (%v), want %v", name, got, err, tc.want)
		}
	}
}
