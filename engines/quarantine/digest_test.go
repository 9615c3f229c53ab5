package quarantine_test

import (
	"bytes"
	"testing"

	"github.com/weldfall/weldfall/engines/quarantine"
)

var baseKey = quarantine.RequestKey{Workspace: "ws-1", Host: "desk.example", Method: "POST", URI: "/chat/a?b=c"}

func TestDigestIdentifiesRequest(t *testing.T) {
	body := []byte("the body")
	want := quarantine.DigestOf(baseKey, body)
	for name, tc := range map[string]struct {
		change func(*quarantine.RequestKey)
		body   []byte
	}{
		"another workspace":            {func(k *quarantine.RequestKey) { k.Workspace = "ws-2" }, body},
		"no workspace":                 {func(k *quarantine.RequestKey) { k.Workspace = "" }, body},
		"another host":                 {func(k *quarantine.RequestKey) { k.Host = "other.example" }, body},
		"another method":               {func(k *quarantine.RequestKey) { k.Method = "PUT" }, body},
		"another path":                 {func(k *quarantine.RequestKey) { k.URI = "/chat/b?b=c" }, body},
		"another query":                {func(k *quarantine.RequestKey) { k.URI = "/chat/a?b=d" }, body},
		"a longer body":                {func(*quarantine.RequestKey) {}, []byte("the body and more")},
		"a shorter body":               {func(*quarantine.RequestKey) {}, []byte("the bod")},
		"the path's end in the body":   {func(k *quarantine.RequestKey) { k.URI = "/chat/a?b=" }, []byte("cthe body")},
		"the path's end in the method": {func(k *quarantine.RequestKey) { k.Method, k.URI = "POST/", "chat/a?b=c" }, body},
	} {
		key := baseKey
		tc.change(&key)
		if got := quarantine.DigestOf(key, tc.body); got == want {
			t.Errorf("%s: got the same digest, want another", name)
		}
	}
	if got := quarantine.DigestOf(baseKey, bytes.Clone(body)); got != want {
		t.Errorf("got %s for the same request, want %s", got, want)
	}
}

func TestHasherAcceptsBodyInChunks(t *testing.T) {
	body := bytes.Repeat([]byte("a body of some length, "), 100)
	h := quarantine.NewHasher(baseKey)
	for _, b := range body {
		_, _ = h.Write([]byte{b})
	}
	if got, want := h.Digest(), quarantine.DigestOf(baseKey, body); got != want {
		t.Errorf("got %s byte by byte, want %s", got, want)
	}
}
