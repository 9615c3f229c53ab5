package soak_test

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"github.com/weldfall/weldfall/measure/soak"
)

// The seeds of TestKeptSeeds guard against known faults only while they draw the same
// schedules.
func TestKeptSeedsKeepTheirSchedules(t *testing.T) {
	for seed, want := range map[uint64]uint64{1: 0x32a0d87668d69dc, 2: 0x3177a7374ffc113e, 3: 0xa53632ff3e979063, 30007: 0xd6ef8c13bf951dfa} {
		h := fnv.New64a()
		for _, s := range soak.Schedule(seed, 18*time.Second, soak.Even) {
			fmt.Fprintln(h, s)
		}
		if got := h.Sum64(); got != want {
			t.Errorf("seed %d: got schedule %#x, want %#x", seed, got, want)
		}
	}
}

func TestPlannedPlayStopsGatesWithinASecondOfTheirStart(t *testing.T) {
	ways, many, again := map[string]bool{}, map[int]bool{}, map[int]bool{}
	for seed := range uint64(50) {
		early := false
		for _, s := range soak.Schedule(seed, 18*time.Second, soak.Planned) {
			switch s.Kind {
			case soak.Series:
				early = early || s.Start < time.Second
				ways[s.Variant], many[s.Count], again[s.Repeats] = true, true, true
				if s.Duration >= time.Second {
					t.Errorf("seed %d: got %v between return and stop, want under a second", seed, s.Duration)
				}
			case soak.Reload, soak.PublishConfig, soak.AddEngine, soak.DrainEngine, soak.Compact:
			default:
				t.Errorf("seed %d: got %v, want only planned work", seed, s)
			}
		}
		if !early {
			t.Errorf("seed %d: got no stop within a second of the start", seed)
		}
	}
	if len(ways) < 3 || len(many) < 3 || len(again) < 3 {
		t.Errorf("got variants %v, group sizes %v, repeats %v, want three of each", ways, many, again)
	}
}

func TestLongEventsDistribution(t *testing.T) {
	const n = 2000
	short, full := 0, 0
	most := soak.LongEvents("", 0)
	for i := range n {
		got := soak.LongEvents(fmt.Sprint(i), soak.LongTokens)
		most = max(most, got)
		if got < soak.LongTokens/4/10 {
			t.Fatalf("got %d events of %d tokens, want a tenth at least", got, soak.LongTokens)
		}
		if got < soak.LongTokens/4/3 {
			short++
		}
		if got == soak.LongTokens/4 {
			full++
		}
	}
	if short < n*2/3 || full < n/50 || full > n/5 || most > soak.LongTokens/4 {
		t.Errorf("got %d short and %d full of %d, at most %d events", short, full, n, most)
	}
}

func TestResponsesBrokenAroundAPlannedStop(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		response        soak.BrokenResponse
		again           []time.Duration
		broken, excused int
	}{
		"sent late and broken":                   {response: soak.BrokenResponse{Sent: 2200 * ms, Ended: 4600 * ms}, broken: 1},
		"sent before and broken early":           {response: soak.BrokenResponse{Sent: -200 * ms, Ended: 1000 * ms}, broken: 1},
		"early, running at the end":              {response: soak.BrokenResponse{Sent: 1800 * ms, Ended: 4600 * ms}, excused: 1},
		"early, seen after the next stop":        {response: soak.BrokenResponse{Sent: 1800 * ms, Ended: 4602 * ms}, again: []time.Duration{4601 * ms}, excused: 1},
		"late, seen after the next stop":         {response: soak.BrokenResponse{Sent: 2200 * ms, Ended: 4602 * ms}, again: []time.Duration{4601 * ms}, broken: 1},
		"broken early by the next stop":          {response: soak.BrokenResponse{Sent: 4700 * ms, Ended: 5000 * ms}, again: []time.Duration{4800 * ms}, broken: 1},
		"complete":                               {response: soak.BrokenResponse{Sent: 2200 * ms, Ended: 4600 * ms, Whole: true}},
		"the caller gave up":                     {response: soak.BrokenResponse{Sent: 2200 * ms, Ended: 4600 * ms, GaveUp: true}},
		"as long as permitted":                   {response: soak.BrokenResponse{Path: "/safe/x", Sent: 500 * ms, Ended: 3500 * ms}},
		"another gate":                           {response: soak.BrokenResponse{Sent: 2200 * ms, Ended: 4600 * ms, Gate: 1}},
		"before the stop":                        {response: soak.BrokenResponse{Sent: -900 * ms, Ended: -100 * ms}},
		"long after the stop":                    {response: soak.BrokenResponse{Sent: 5000 * ms, Ended: 6100 * ms}},
		"engine disturbance meanwhile":           {response: soak.BrokenResponse{Sent: 2200 * ms, Ended: 4600 * ms, TroubleGate: soak.EveryGate, Trouble: 3000 * ms, Until: 3500 * ms}, excused: 1},
		"disturbance of the gate shortly ago":    {response: soak.BrokenResponse{Sent: 2200 * ms, Ended: 4600 * ms, Trouble: -3000 * ms, Until: -500 * ms}, excused: 1},
		"disturbance of the gate, long over":     {response: soak.BrokenResponse{Sent: 2200 * ms, Ended: 4600 * ms, Trouble: -3000 * ms, Until: -900 * ms}, broken: 1},
		"disturbance of another gate":            {response: soak.BrokenResponse{Sent: 2200 * ms, Ended: 4600 * ms, TroubleGate: 2, Trouble: 3000 * ms, Until: 3500 * ms}, broken: 1},
		"disturbance that began after the break": {response: soak.BrokenResponse{Sent: 2200 * ms, Ended: 4600 * ms, Trouble: 4700 * ms, Until: 5500 * ms}, broken: 1},
	} {
		if c.response.Path == "" {
			c.response.Path = "/long/x"
		}
		broken, excused := soak.JudgeBrokenResponse(c.response, c.again...)
		if broken != c.broken || excused != c.excused {
			t.Errorf("%s: got %d broken, %d excused, want %d, %d", name, broken, excused, c.broken, c.excused)
		}
	}
}

func TestBreakingPlayDrawsAllVariants(t *testing.T) {
	ways, all := map[string]bool{}, false
	for seed := range uint64(20) {
		for _, s := range soak.Schedule(seed, 18*time.Second, soak.Breaking) {
			if s.Kind == soak.BreakResponses {
				ways[s.Variant] = true
				all = all || s.Count > 1
			}
		}
	}
	for _, way := range soak.BreakVariants {
		if !ways[way] {
			t.Errorf("got no variant %q in 20 seeds", way)
		}
	}
	if !all {
		t.Error("got no step for all engines in 20 seeds")
	}
}
