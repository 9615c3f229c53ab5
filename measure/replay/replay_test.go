package replay_test

import (
	"encoding/json"
	"flag"
	"math"
	"os"
	"sync"
	"testing"

	"github.com/weldfall/weldfall/measure/replay"
	"github.com/weldfall/weldfall/measure/trace"
)

// update rewrites the expected outcomes from this run.
var update = flag.Bool("update", false, "rewrite testdata/outcomes.json")

// readTurns returns the recorded arrivals of a partner.
func readTurns(t *testing.T, name string) []trace.Turn {
	t.Helper()
	f, err := os.Open("testdata/" + name + ".csv.gz")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	turns, err := trace.Read(f)
	if err != nil {
		t.Fatal(err)
	}
	return turns
}

// baseConfig is a pool of 12 engines that generate a token every 20 ms, with 3 entries, one
// engine replaced each minute with notice, a list delay of up to 3 s and load reports that
// are 2 s old.
func baseConfig() replay.Config {
	return replay.Config{
		Engines: 12, Entries: 3, Slots: 32, CacheTokens: 400_000, PrefillTokensPerMS: 20, TokenGap: 20,
		ReplacePeriod: 60_000, DrainNotice: 5000, ListLag: 3000, ReportLag: 2000, Bound: 1.25, Floor: 2, Seed: 1,
	}
}

// condition is a variation of the pool.
type condition struct {
	name string
	set  func(c *replay.Config)
}

var conditions = []condition{
	{"replaced each minute", func(*replay.Config) {}},
	{"steady", func(c *replay.Config) { c.ReplacePeriod = 0 }},
	{"replaced without notice", func(c *replay.Config) { c.DrainNotice = 0 }},
	{"reports lag 5 s", func(c *replay.Config) { c.ReportLag = 5000 }},
	{"unequal engines", func(c *replay.Config) { c.UnequalSlots = true }},
	{"half gone", func(c *replay.Config) { c.HalfLostAt, c.ReplacePeriod = 120_000, 0 }},
	{"flapping", func(c *replay.Config) { c.FlapPeriod = 10_000 }},
	{"split in two", func(c *replay.Config) { c.SplitAt, c.ReplacePeriod = 120_000, 0 }},
	{"light load", func(c *replay.Config) { c.TokenGap, c.Floor = 5, 4 }},
}

func policies() []replay.Policy {
	return []replay.Policy{
		&replay.Weldfall{}, &replay.EntriesOnly{}, &replay.EntriesOnly{PrefixTransfer: true}, replay.Omniscient{}, replay.PlainHash{}, &replay.RoundRobin{}, replay.LeastReported{}, replay.TwoChoices{},
	}
}

func runAll(t *testing.T, partner string) map[string]map[string]replay.Outcome {
	t.Helper()
	turns := readTurns(t, partner)
	out := map[string]map[string]replay.Outcome{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, c := range conditions {
		cfg := baseConfig()
		c.set(&cfg)
		byPolicy := map[string]replay.Outcome{}
		out[c.name] = byPolicy
		for _, p := range policies() {
			wg.Go(func() {
				o := replay.Run(cfg, p, turns)
				mu.Lock()
				defer mu.Unlock()
				byPolicy[o.Policy] = o
				t.Logf("%-8s %-24s %-14s reuse %.3f  skew worst %.2f p99 %.2f  over bound %.3f  offers %.2f shed %.4f",
					partner, c.name, o.Policy, o.Reuse, o.SkewWorst, o.SkewP99, o.OverBound, o.Tries, o.Shed)
			})
		}
	}
	wg.Wait()
	return out
}

// partners are the two recorded load shapes.
var partners = []string{"planning", "vigia"}

// TestRecordedTraces replays the recorded arrivals under every condition and compares the
// results with the committed outcomes.
func TestRecordedTraces(t *testing.T) {
	got := map[string]map[string]map[string]replay.Outcome{}
	for _, p := range partners {
		got[p] = runAll(t, p)
	}
	const file = "testdata/outcomes.json"
	if *update {
		b, err := json.MarshalIndent(got, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var want map[string]map[string]map[string]replay.Outcome
	if err := json.Unmarshal(b, &want); err != nil {
		t.Fatal(err)
	}
	for p, byCondition := range want {
		for c, byPolicy := range byCondition {
			for name, w := range byPolicy {
				if g := got[p][c][name]; !near(g.Reuse, w.Reuse) || !near(g.SkewP99, w.SkewP99) || !near(g.OverBound, w.OverBound) {
					t.Errorf("%s, %s, %s: got %+v, want %+v", p, c, name, g, w)
				}
			}
		}
	}
	checkTargets(t, got)
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// checkTargets checks the outcomes against the targets.
func checkTargets(t *testing.T, got map[string]map[string]map[string]replay.Outcome) {
	t.Helper()
	for _, p := range partners {
		w, best := got[p]["replaced each minute"]["weldfall"], got[p]["replaced each minute"]["all-knowing"]
		if ratio := w.Reuse / best.Reuse; ratio < 0.95 {
			t.Errorf("%s: got %.3f of the reuse of the omniscient router, want at least 0.95", p, ratio)
		}
		for _, c := range conditions {
			ours := got[p][c.name]["weldfall"]
			for _, name := range []string{"plain hash", "least reported", "two choices"} {
				if other := got[p][c.name][name]; ours.SkewP99 >= other.SkewP99 || ours.OverBound >= other.OverBound {
					t.Errorf("%s, %s: got skew %.2f over %.3f, want less than %s, %.2f and %.3f", p, c.name, ours.SkewP99, ours.OverBound, name, other.SkewP99, other.OverBound)
				}
			}
			// With half of the pool failed and a delayed list, all offers of a request may
			// go to failed engines.
			if ours.Shed > 0.001 {
				t.Errorf("%s, %s: got %.4f shed, want at most 0.001", p, c.name, ours.Shed)
			}
		}
	}
}
