package table_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/table"
)

func newTable() *table.Table {
	return table.New(table.Config{Version: 3, RequireKey: true, Routes: []*table.Route{
		{Name: "short", Host: "A.example", Prefix: "/a/"},
		{Name: "long", Host: "a.example", Prefix: "/a/b/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
		{Name: "twice", Host: "b.example", Prefix: "/"},
		{Name: "word", Host: "b.example", Prefix: "/wo"},
		{Name: "longer word", Host: "b.example", Prefix: "/word"},
		{Name: "below a word", Host: "b.example", Prefix: "/words/"},
	}, Workspaces: []*table.Workspace{{Name: "w", Keys: []string{"k1", "k2"}}}})
}

func TestLongestPrefixOfHostWins(t *testing.T) {
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/a/x", "short"},
		{"A.EXAMPLE:8080", "/a/b/x", "long"},
		{"a.example", "/a/bc", "short"},
		{"a.example", "/a", ""},
		{"a.example", "/x/", ""},
		{"b.example", "/anything", "other"},
		{"b.example", "/wo", "word"},
		{"b.example", "/words", "longer word"},
		{"b.example", "/words/x", "below a word"},
		{"a.example", "/a/b/" + strings.Repeat("/", 1<<20), "long"},
		{"c.example", "/a/", ""},
	} {
		got := ""
		if r, ok := newTable().Route(tc.host, tc.path); ok {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("%s%s: got route %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
}

func TestWorkspaceOfKey(t *testing.T) {
	for key, want := range map[string]string{"k1": "w", "k2": "w", "k3": "", "": ""} {
		got := ""
		if w, ok := newTable().Workspace(key); ok {
			got = w.Name
		}
		if got != want {
			t.Errorf("key %q: got workspace %q, want %q", key, got, want)
		}
	}
}

func TestPickServiceByWeight(t *testing.T) {
	r := table.Route{Shares: []table.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	got := map[string]int{}
	const n = 10_000
	for i := range n {
		got[r.PickService(fmt.Sprint(i))]++
	}
	if got["a"] < 8700 || got["a"] > 9300 || got["c"] != 0 || got["a"]+got["b"] != n {
		t.Errorf("got %v of %d, want about 9000, 1000 and none", got, n)
	}
}
