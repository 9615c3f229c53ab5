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
	first  = `{"messages":[{"role":"system","content":"s"},{"role":"user","content":"hello"}]}`
	second = `{"messages":[{"role":"system","content":"s"},{"role":"user","content":"hello"},{"role":"assistant","content":"hi"},{"role":"user","content":"more"}]}`
	other  = `{"messages":[{"role":"system","content":"s"},{"role":"user","content":"good day"}]}`
)

// All turns of a chat have one key, and no other chat has it.
func TestTheTurnsOfAChatHaveOneKey(t *testing.T) {
	for name, tc := range map[string]struct {
		a, b   string
		ha, hb http.Header
		wa, wb string
		same   bool
	}{
		"a later turn":                        {a: first, b: second, same: true},
		"another opening":                     {a: first, b: other},
		"another workspace":                   {a: first, b: first, wb: "w2"},
		"another opening, one header":         {a: first, b: other, ha: header(chats.HeaderChat, "c"), hb: header(chats.HeaderChat, "c"), same: true},
		"one opening, two headers":            {a: first, b: first, ha: header(chats.HeaderChat, "c"), hb: header(chats.HeaderChat, "d")},
		"the protocol's field":                {a: first, b: `{"prompt_cache_key":"c","messages":[{"role":"user","content":"x"}]}`, ha: header(chats.HeaderChat, "c"), same: true},
		"the header goes before the field":    {a: first, b: `{"prompt_cache_key":"c","messages":[{"role":"user","content":"x"}]}`, ha: header(chats.HeaderChat, "d"), hb: header(chats.HeaderChat, "d"), same: true},
		"an opening is not what a key may be": {a: first, b: `{"prompt_cache_key":"hello","messages":[{"role":"user","content":"hello"}]}`},
	} {
		a, _ := parse(t, tc.a).ChatKey("w"+tc.wa, tc.ha)
		b, _ := parse(t, tc.b).ChatKey("w"+tc.wb, tc.hb)
		if got := a == b; got != tc.same {
			t.Errorf("%s: got one key %v, want %v", name, got, tc.same)
		}
	}
	if _, returning := parse(t, first).ChatKey("w", nil); returning {
		t.Error("got a returning chat for a first turn")
	}
	if _, returning := parse(t, second).ChatKey("w", nil); !returning {
		t.Error("got a new chat for a second turn")
	}
}

func TestAChatIsNamedByHeaderOrField(t *testing.T) {
	named := `{"prompt_cache_key":"c","messages":[{"role":"user","content":"x"}]}`
	for name, c := range map[string]struct {
		body string
		h    http.Header
		want bool
	}{
		"header":  {body: first, h: header(chats.HeaderChat, "c"), want: true},
		"field":   {body: named, want: true},
		"opening": {body: first},
	} {
		if got := parse(t, c.body).Named(c.h); got != c.want {
			t.Errorf("%s: got named %v, want %v", name, got, c.want)
		}
	}
}

func TestATurnIsWhatItsBodySays(t *testing.T) {
	turn := parse(t, `{"model":"m","stream":true,"stream_options":{"include_usage":true},"max_tokens":7,"messages":[{"role":"user","content":"x"}]}`)
	if turn.Model() != "m" || !turn.WantsStream() || !turn.WantsUsage() {
		t.Errorf("got model %q, stream %v, usage %v, want m and both", turn.Model(), turn.WantsStream(), turn.WantsUsage())
	}
	if got, want := turn.Cost(400), 1+100+7; got != want {
		t.Errorf("got %d tokens, want %d", got, want)
	}
	if got, want := parse(t, first).Cost(0), 1+256; got != want {
		t.Errorf("got %d tokens where no bound is told, want %d", got, want)
	}
	if got, want := (chats.Turn{}).Cost(0), 1+256; got != want {
		t.Errorf("got %d tokens for a plain service, want %d", got, want)
	}
}

// What cannot be served as it is has not run, and the caller hears what to change.
func TestBadInputNamesItsRemedy(t *testing.T) {
	_, notChat := chats.Parse([]byte(`{"messages":1}`))
	_, noMessages := chats.Parse([]byte(`{}`))
	_, noKey := chats.BearerKey(header("Authorization", "Basic x"))
	_, mark := chats.Repeatable(header(chats.HeaderRepeatable, "perhaps"), true)
	for text, err := range map[string]*verdict.Error{
		"no chat request": notChat, "messages": noMessages, "Authorization: Bearer": noKey, "true or false": mark,
	} {
		if err == nil || err.Verdict() != verdict.NotRun || !strings.Contains(err.Message(), text) {
			t.Errorf("got %v, want not_run with %q", err, text)
		}
	}
}

func TestWhatMayRunAgain(t *testing.T) {
	for name, tc := range map[string]struct {
		h          http.Header
		bySettings bool
		want       bool
	}{
		"by the settings":                  {bySettings: true, want: true},
		"not by the settings":              {},
		"a key goes before the settings":   {h: header(chats.HeaderIdempotencyKey, "k"), bySettings: true},
		"a mark goes before the key":       {h: header(chats.HeaderIdempotencyKey, "k", chats.HeaderRepeatable, "true"), want: true},
		"a mark goes before the settings":  {h: header(chats.HeaderRepeatable, "false"), bySettings: true},
		"a mark with another way to write": {h: header(chats.HeaderRepeatable, "1"), want: true},
	} {
		got, err := chats.Repeatable(tc.h, tc.bySettings)
		if err != nil || got != tc.want {
			t.Errorf("%s: got %v (%v), want %v", name, got, err, tc.want)
		}
	}
}
