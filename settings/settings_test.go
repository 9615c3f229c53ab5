package settings_test

import (
	"os"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/settings"
)

func apply(t *testing.T, tree *settings.Tree, path, text string, rev int64) settings.ApplyResult {
	t.Helper()
	got, _ := tree.Apply(path, text, rev)
	return got
}

func TestBranchInheritsUnsetKeys(t *testing.T) {
	tree := settings.NewTree()
	apply(t, tree, "fleet", "[routing]\nload_bound = 1.5\n[models]\na = \"pool-a\"\n", 1)
	apply(t, tree, "planning", "[limits]\ndeadline_ms = 5000\n[models]\nb = \"pool-b\"\n", 2)
	apply(t, tree, "planning/ws0/chat", "[routing]\nload_floor = 7\n", 3)
	v := tree.Effective("planning/ws0/chat")
	if v.Routing.LoadBound != 1.5 || v.Limits.DeadlineMS != 5000 || v.Routing.LoadFloor != 7 || v.Models["a"] != "pool-a" || v.Models["b"] != "pool-b" {
		t.Errorf("got %+v", v)
	}
	other := tree.Effective("vigia/ws0/chat")
	if want := settings.Defaults().Limits.DeadlineMS; other.Limits.DeadlineMS != want || other.Models["b"] != "" {
		t.Errorf("another partner: got %+v, want nothing of planning's", other)
	}
	apply(t, tree, "fleet", "[routing]\nload_bound = 2.0\n", 4)
	if got := tree.Effective("planning/ws0/chat").Routing.LoadBound; got != 2.0 {
		t.Errorf("after a change above: got %v, want 2", got)
	}
}

func TestOlderRevisionIsIgnored(t *testing.T) {
	tree := settings.NewTree()
	apply(t, tree, "planning", "[limits]\ndeadline_ms = 2000\n", 10)
	if got, want := apply(t, tree, "planning", "[limits]\ndeadline_ms = 1000\n", 9), settings.Older; got != want {
		t.Errorf("older: got %q, want %q", got, want)
	}
	if got, want := apply(t, tree, "planning", "[limits]\ndeadline_ms = 1000\n", 10), settings.Older; got != want {
		t.Errorf("same revision: got %q, want %q", got, want)
	}
	tree.Remove("planning", 11)
	if got, want := apply(t, tree, "planning", "[limits]\ndeadline_ms = 1000\n", 10), settings.Older; got != want {
		t.Errorf("after a deletion: got %q, want %q", got, want)
	}
	if got, want := tree.Effective("planning").Limits.DeadlineMS, settings.Defaults().Limits.DeadlineMS; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}

func TestInvalidBranchKeepsLastGoodAndOthers(t *testing.T) {
	tree := settings.NewTree()
	apply(t, tree, "planning", "[limits]\ndeadline_ms = 2000\n", 1)
	apply(t, tree, "vigia", "[limits]\ndeadline_ms = 3000\n", 2)
	if got, want := apply(t, tree, "planning", "[limits]\ndeadline_ms = \"soon\"\n", 3), settings.Invalid; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := tree.Effective("planning").Limits.DeadlineMS; got != 2000 {
		t.Errorf("got %d, want the last good 2000", got)
	}
	if got := tree.Effective("vigia").Limits.DeadlineMS; got != 3000 {
		t.Errorf("other branch: got %d, want 3000", got)
	}
	p := tree.Problems()
	if len(p) != 1 || p[0].Path != "planning" || p[0].Revision != 3 || p[0].InForce != 1 {
		t.Errorf("got %+v, want planning at 3 with 1 in force", p)
	}
	apply(t, tree, "planning", "[limits]\ndeadline_ms = 4000\n", 4)
	if len(tree.Problems()) != 0 || tree.Effective("planning").Limits.DeadlineMS != 4000 {
		t.Errorf("after a valid value: got %+v", tree.Problems())
	}
}

func TestLockAppliesInEitherOrder(t *testing.T) {
	lock := "[routing]\nload_bound = 1.2\n[lock]\nkeys = [\"routing.load_bound\"]\n"
	child := "[routing]\nload_bound = 9.0\n[limits]\ndeadline_ms = 1234\n"
	for _, lockFirst := range []bool{true, false} {
		tree := settings.NewTree()
		if lockFirst {
			apply(t, tree, "fleet", lock, 1)
			apply(t, tree, "planning", child, 2)
		} else {
			apply(t, tree, "planning", child, 2)
			apply(t, tree, "fleet", lock, 1)
		}
		v := tree.Effective("planning")
		if v.Routing.LoadBound != 1.2 || v.Limits.DeadlineMS != 1234 {
			t.Errorf("lock first %t: got bound %v deadline %d, want 1.2 and 1234", lockFirst, v.Routing.LoadBound, v.Limits.DeadlineMS)
		}
		if p := tree.Problems(); len(p) != 1 || !strings.Contains(p[0].Error, "locked by \"fleet\"") {
			t.Errorf("lock first %t: got %+v, want the locked key", lockFirst, p)
		}
	}
}

func TestParseErrorNamesPlaceAndRemedy(t *testing.T) {
	for _, c := range []struct{ path, text, want string }{
		{"planning", "[limits]\ndeadline = 5\n", `planning:2:1: key "limits.deadline": unknown setting: did you mean "limits.deadline_ms"?`},
		{"planning", "\n[routing]\nload_bound = 0.5\n", `planning:3: key "routing.load_bound": 0.5 is out of range: write 1.01 to 100`},
		{"planning", "[routing]\nload_bound = nan\n", `out of range`},
		{"planning", "[access]\nkey_sha256 = []\n", `planning:2: key "access.key_sha256": belongs to a workspace's branch`},
		{"planning/ws0", "[access]\nkey_sha256 = [\"xx\"]\n", `needs 64 hex digits`},
		{"planning/ws0", "[fairness]\npartner_share = 5.0\n", `belongs to the fleet's or a partner's branch`},
		{"planning/ws0", "[lock]\nkeys = []\n", `only the fleet's and a partner's branches lock keys`},
		{"planning", "[lock]\nkeys = [\"routing.load_bond\"]\n", `did you mean "routing.load_bound"?`},
		{"planning", "[limits\n", `planning:`},
		{"planning/ws0/chat/more", "", `deeper than partner/workspace/service`},
		{"Planning", "", `names use a-z`},
		{"planning//x", "", `each name has 1 to 64 bytes`},
		{"planning", strings.Repeat("#", settings.MaxBranchBytes+1), `exceed the limit`},
	} {
		_, err := settings.ParseBranch(c.path, c.text)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s %.40q: got %v, want %q", c.path, c.text, err, c.want)
		}
	}
}

func TestExplainReturnsSourceBranch(t *testing.T) {
	tree := settings.NewTree()
	apply(t, tree, "fleet", "[routing]\nload_bound = 1.5\n", 4)
	apply(t, tree, "planning/ws0", "[limits]\ndeadline_ms = 900\n", 6)
	for key, want := range map[string]settings.Source{
		"routing.load_bound": {Key: "routing.load_bound", Value: 1.5, Path: "fleet", Revision: 4},
		"limits.deadline_ms": {Key: "limits.deadline_ms", Value: int64(900), Path: "planning/ws0", Revision: 6},
		"retry.attempts":     {Key: "retry.attempts", Value: int64(8), Path: "default"},
	} {
		got, err := tree.Explain("planning/ws0/chat", key)
		if err != nil || len(got) != 1 || got[0] != want {
			t.Errorf("%s: got %+v %v, want %+v", key, got, err, want)
		}
	}
	if _, err := tree.Explain("planning", "limits.dedline_ms"); err == nil || !strings.Contains(err.Error(), "did you mean") {
		t.Errorf("unknown key: got %v, want a suggestion", err)
	}
}

func TestAuthenticateRequiresCompleteKey(t *testing.T) {
	tree := settings.NewTree()
	apply(t, tree, "planning/ws0", "[access]\nkey_sha256 = [\""+settings.HashKey("planning.ws0.secret")+"\"]\n", 1)
	if got, err := tree.Authenticate("planning.ws0.secret"); err != nil || got != "planning/ws0" {
		t.Errorf("got %q %v, want planning/ws0", got, err)
	}
	for _, key := range []string{"", "planning.ws0.", "planning.ws0.wrong", "vigia.ws0.secret", "planning", "planning.ws1.secret", "../x.y.z"} {
		if path, err := tree.Authenticate(key); err == nil {
			t.Errorf("%q: got %q, want an error", key, path)
		}
	}
}

func TestReferenceListsAllSettings(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range settings.KnownKeys() {
		if !strings.Contains(string(page), "`"+key+"`") {
			t.Errorf("docs/SETTINGS.md: %s is missing", key)
		}
	}
}

func FuzzParseBranch(f *testing.F) {
	f.Add("planning", "[limits]\ndeadline_ms = 5\n")
	f.Add("planning/ws0", "[access]\nkey_sha256 = [\"\"]\n")
	f.Add("fleet", "[lock]\nkeys = [\"limits\"]\n[models]\n\"a.b\" = \"c\"\n")
	f.Fuzz(func(t *testing.T, path, text string) {
		b, err := settings.ParseBranch(path, text)
		if err != nil {
			return
		}
		tree := settings.NewTree()
		if got, err := tree.Apply(path, text, 1); got != settings.InForce {
			t.Fatalf("a valid branch: got %q %v, want in force", got, err)
		}
		if _, err := tree.Explain(b.Path(), ""); err != nil {
			t.Fatalf("explain: %v", err)
		}
	})
}
