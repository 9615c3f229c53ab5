package review_test

import (
	"slices"
	"testing"

	"github.com/weldfall/weldfall/table"
	"github.com/weldfall/weldfall/table/review"
)

// valid returns a config without findings.
func valid() table.Config {
	return table.Config{
		Version: 7, RequireKey: true,
		Routes: []*table.Route{
			{Name: "chat", Host: "a.example", Prefix: "/chat/", Kind: table.Stream, Timeout: 12_000, Goal: 500, PauseGoal: 400, Attempts: 2, Resumable: true, Shares: []table.Share{{Service: "llm", Weight: 1}}},
			{Name: "book", Host: "a.example", Prefix: "/book/", Kind: table.Unsafe, Timeout: 600, Goal: 120, Priority: 2, Attempts: 1, Shares: []table.Share{{Service: "app", Weight: 90}, {Service: "llm", Weight: 10}}},
		},
		Services:   []table.Service{{Name: "llm", Warmup: 3000, WarmupRate: 16}, {Name: "app"}},
		Workspaces: []*table.Workspace{{Name: "w1", Keys: []string{"k1", "k2"}}, {Name: "w2", Keys: []string{"k3"}}},
		Limits:     table.Limits{HeaderBytes: 16_384, BodyBytes: 1 << 22, Header: 3000, Idle: 15_000},
	}
}

func TestCheckFindsFaults(t *testing.T) {
	ten := 10
	for _, tc := range []struct {
		name   string
		change func(*table.Config)
		want   []string
	}{
		{"valid", func(*table.Config) {}, nil},
		{"unknown service", func(c *table.Config) { c.Routes[0].Shares[0].Service = "lm" },
			[]string{`error: route chat: service "lm" is not published: publish it or correct the name`}},
		{"same prefix", func(c *table.Config) { c.Routes[1].Prefix, c.Routes[1].Host = "/chat/", "A.example" },
			[]string{"never matches: route book: route chat has the same host and prefix and comes first"}},
		{"host with port", func(c *table.Config) { c.Routes[0].Host = "a.example:80" },
			[]string{`never matches: route chat: host "a.example:80" has a port, which is removed from the host of a request: remove it here, too`}},
		{"relative prefix", func(c *table.Config) { c.Routes[0].Prefix = "chat/" },
			[]string{`never matches: route chat: prefix "chat/" does not start with a slash, as each path does`}},
		{"weight 0", func(c *table.Config) { c.Routes[1].Shares[1].Weight = 0 },
			[]string{`never matches: route book: service "llm" has the weight 0 beside others and gets nothing`}},
		{"service without route", func(c *table.Config) { c.Services = append(c.Services, table.Service{Name: "old"}) },
			[]string{"never matches: service old: no route leads to it: add a route or remove it"}},
		{"goal beyond timeout", func(c *table.Config) { c.Routes[1].Goal = 700 },
			[]string{"contradiction: route book: its goal of 700 ms lies beyond its timeout of 600 ms"}},
		{"attempts of an unsafe route", func(c *table.Config) { c.Routes[1].Attempts = 2 },
			[]string{"contradiction: route book: it allows 2 attempts, and its requests run at most once: allow 1"}},
		{"warm-up without rate", func(c *table.Config) { c.Services[0].WarmupRate = 0 },
			[]string{"contradiction: service llm: engines warm up for 3000 ms and may get no requests meanwhile: publish a rate above 0"}},
		{"key of two workspaces", func(c *table.Config) { c.Workspaces[1].Keys[0] = "k1" },
			[]string{"error: workspace w2: key 1 also belongs to workspace w1, and the last one counts: issue another"}},
		{"key with a blank", func(c *table.Config) { c.Workspaces[1].Keys[0] = "k3 " },
			[]string{"never matches: workspace w2: key 1 is empty or begins or ends with a blank, which is removed from what callers send"}},
		{"priority out of range", func(c *table.Config) { c.Workspaces[0].Priority = &ten },
			[]string{"error: workspace w1: priority 10 is not from 0 (most urgent) to 9, and the nearest counts"}},
		{"no keys", func(c *table.Config) { c.Workspaces = nil },
			[]string{"contradiction: workspaces: requests need a key, and no workspace has one: every request of a route that is not public is rejected"}},
		{"header time beyond idle time", func(c *table.Config) { c.Limits.Header = 20_000 },
			[]string{"contradiction: limits: a header may take 20000 ms, and a connection may rest for only 15000 ms"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := valid()
			tc.change(&cfg)
			var got []string
			for _, f := range review.Check(cfg) {
				got = append(got, f.String())
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// What the check calls unreachable must be unreachable in the table, too.
func TestNeverMatchingRoutesAreNotFound(t *testing.T) {
	cfg := valid()
	cfg.Routes[0].Host = "a.example:80"
	cfg.Routes[1].Prefix = "book/"
	tab := table.New(cfg)
	for _, r := range cfg.Routes {
		if got, ok := tab.Route(r.Host, "/"+r.Prefix); ok {
			t.Errorf("got route %s for %s %s, want none", got.Name, r.Host, r.Prefix)
		}
	}
}

func TestCompareShowsWhatDiffers(t *testing.T) {
	next := valid()
	next.Version = 8
	next.Routes[0].Goal = 600
	next.Routes = append(next.Routes[:1], &table.Route{Name: "new"})
	next.Workspaces[0].Keys = []string{"k2", "k4", "k5"}
	next.Limits.Idle = 10_000
	var got []string
	for _, f := range review.Compare(valid(), next) {
		got = append(got, f.String())
	}
	want := []string{
		"differs: route book: removed", "differs: route chat: Goal: 600, was 500", "differs: route new: added",
		"differs: workspace w1: 2 keys added, 1 key removed and rejected from then on", "differs: limits: Idle: 10000, was 15000",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestAnOlderVersionIsAnError(t *testing.T) {
	got := review.Compare(valid(), valid())
	if len(got) != 1 || got[0].Kind != review.Error {
		t.Errorf("got %v, want one error", got)
	}
}
