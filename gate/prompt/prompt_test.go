package prompt_test

import (
	"slices"
	"strings"
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

// Guards against a part that is unseen because of how its caller spells the list.
func TestSharedIDsDoNotDependOnSpelling(t *testing.T) {
	many := strings.Repeat("f:1,", 100) + "5c:800,e4:250"
	for _, tc := range []struct {
		name, text string
		want       []string
	}{
		{"usual", "5c:800,91:410,e4:250", []string{"5c", "91"}},
		{"upper case", "5C:800,91:410,E4:250", []string{"5c", "91"}},
		{"spaces", " 5c : 800 ,\t91:410 , e4:250", []string{"5c", "91"}},
		{"leading zeros", "005c:800,91:410,e4:250", []string{"5c", "91"}},
		{"only zeros", "00:800,e4:250", []string{"00"}},
		{"invalid count in front", "aa:x,5c:800,e4:250", []string{"aa", "5c"}},
		{"no count", "aa,5c:800,e4:250", []string{"aa", "5c"}},
		{"empty parts", ",,5c:800,,e4:250,", []string{"5c"}},
		{"behind more parts than are ranked", many, []string{"f", "5c"}},
		{"twice", "5c:800,5c:800,91:1,e4:250", []string{"5c", "91"}},
		{"also last", "5c:800,91:1,5c:800", []string{"5c", "91"}},
		{"one", "5c:800", nil},
		{"none", "", nil},
	} {
		if got := prompt.SharedIDs(tc.text); !slices.Equal(got, tc.want) {
			t.Errorf("%s: got %q, want %q", tc.name, got, tc.want)
		}
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
