package prompt_test

import (
	"slices"
	"testing"

	"github.com/weldfall/weldfall/gate/prompt"
)

func TestCommonPrefixSharesKeys(t *testing.T) {
	a := prompt.PrefixKeys(prompt.Parse("5c:800,91:410,e4:250"))
	b := prompt.PrefixKeys(prompt.Parse("5c:800,91:410,ff:90"))
	c := prompt.PrefixKeys(prompt.Parse("5c:800,92:410,e4:250"))
	if len(a) != 2 || !slices.Equal(a, b) {
		t.Errorf("got keys %v and %v for prompts that differ in their last part, want two equal pairs", a, b)
	}
	if a[0] != c[0] || a[1] == c[1] {
		t.Errorf("got keys %v and %v, want only the first to be equal", a, c)
	}
	if got, want := prompt.PrefixTokens(prompt.Parse("5c:800,91:410,e4:250")), 1210; got != want {
		t.Errorf("got %d shared tokens, want %d", got, want)
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{"", "a:1", "a:1,b:x", ":,", "a:-1", "a:1,,b:2", "a:99999999999999999999"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parts := prompt.Parse(text)
		for _, p := range parts {
			if p.ID == "" || p.Tokens < 0 {
				t.Errorf("got part %+v of %q", p, text)
			}
		}
		if got := len(prompt.PrefixKeys(parts)); len(parts) > 0 && got != max(1, len(parts)-1) {
			t.Errorf("got %d keys for %d parts", got, len(parts))
		}
	})
}
