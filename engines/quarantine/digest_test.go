package quarantine_test

import (
	"bytes"
	"testing"

	"github.com/weldfall/weldfall/engines/quarantine"
)

var usual = quarantine.RequestKey{Workspace: "ws-1", Host: "desk.example", Method: "POST", URI: "/chat/a?b=c"}

func TestADigestNamesWhatWasAsked(t *testing.T) {
	body := []byte("the body")
	want := quarantine.DigestOf(usual, body)
	for name, tc := range map[string]struct {
		asked func(*quarantine.RequestKey)
		body  []byte
	}{
		"another workspace":            {func(a *quarantine.RequestKey) { a.Workspace = "ws-2" }, body},
		"no workspace":                 {func(a *quarantine.RequestKey) { a.Workspace = "" }, body},
		"another host":                 {func(a *quarantine.RequestKey) { a.Host = "other.example" }, body},
		"another method":               {func(a *quarantine.RequestKey) { a.Method = "PUT" }, body},
		"another path":                 {func(a *quarantine.RequestKey) { a.URI = "/chat/b?b=c" }, body},
		"another query":                {func(a *quarantine.RequestKey) { a.URI = "/chat/a?b=d" }, body},
		"a longer body":                {func(*quarantine.RequestKey) {}, []byte("the body and more")},
		"a shorter body":               {func(*quarantine.RequestKey) {}, []byte("the bod")},
		"the path's end in the body":   {func(a *quarantine.RequestKey) { a.URI = "/chat/a?b=" }, []byte("cthe body")},
		"the path's end in the method": {func(a *quarantine.RequestKey) { a.Method, a.URI = "POST/", "chat/a?b=c" }, body},
	} {
		a := usual
		tc.asked(&a)
		if got := quarantine.DigestOf(a, tc.body); got == want {
			t.Errorf("%s: got the same digest, want another", name)
		}
	}
	if got := quarantine.DigestOf(usual, bytes.Clone(body)); got != want {
		t.Errorf("got %s for the same request, want %s", got, want)
	}
}

func TestABodyMayComeInPieces(t *testing.T) {
	body := bytes.Repeat([]byte("a body of some length, "), 100)
	h := quarantine.NewHasher(usual)
	for _, b := range body {
		_, _ = h.Write([]byte{b})
	}
	if got, want := h.Digest(), quarantine.DigestOf(usual, body); got != want {
		t.Errorf("got %s byte by byte, want %s", got, want)
	}
}
