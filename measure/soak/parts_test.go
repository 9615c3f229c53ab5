package soak_test

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"github.com/weldfall/weldfall/internal/proxy"
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

// Guards against releases without gates out of step, and against calm runs in which gates refuse
// to resume streams since they have not known one version for long.
func TestGatesAreCutOffBeforeReleases(t *testing.T) {
	const window = 7 * time.Second
	variants, counts := map[string]bool{}, map[int]bool{}
	for seed := range uint64(64) {
		var last soak.Step
		calm := (seed+seed/32)%2 == 0
		for _, s := range soak.Schedule(seed, 40*time.Second, soak.Releasing) {
			switch s.Kind {
			case soak.CutOff:
				variants[s.Variant], counts[s.Count] = true, true
				if calm && s.Start-last.Start-last.Duration < window {
					t.Errorf("seed %d: got %v after %v, want a calm time of %v", seed, s, last, window)
				}
				last = s
			case soak.Release:
				if last.Start == 0 || s.Start-last.Start > 300*time.Millisecond {
					t.Errorf("seed %d: got %v after %v, want gates cut off at most 300 ms earlier", seed, s, last)
				}
			case soak.Kill, soak.Stop, soak.Series, soak.AllGates:
				if calm {
					t.Errorf("seed %d: got %v, want no gate restarted in a calm run", seed, s)
				}
			}
		}
	}
	if len(variants) != 6 || len(counts) != 2 {
		t.Errorf("got variants %v and counts %v, want 6 and 2", variants, counts)
	}
}

// Guards against cuts that leave one way open, and against gates cut off from each other that are
// behind the same cut.
func TestCutOffFaults(t *testing.T) {
	gates := []int{1, 2}
	for _, c := range []struct {
		from, to  int
		set, want proxy.Fault
	}{
		{1, 0, proxy.Cut, proxy.Cut}, {0, 1, proxy.Cut, proxy.Cut},
		{1, 0, proxy.DropToTarget, proxy.DropToTarget}, {0, 1, proxy.DropToTarget, proxy.DropFromTarget},
		{1, 0, proxy.DropFromTarget, proxy.DropFromTarget}, {0, 1, proxy.DropFromTarget, proxy.DropToTarget},
		{1, 2, proxy.Cut, ""}, {2, 1, proxy.Cut, ""}, {0, 3, proxy.Cut, ""},
	} {
		if got := soak.CutOffFault(c.from, c.to, gates, c.set); got != c.want {
			t.Errorf("from %d to %d with %s: got %q, want %q", c.from, c.to, c.set, got, c.want)
		}
	}
}

// Guards against counting streams whose version only a gate behind a cut knows, and against
// excusing others.
func TestResumedStreamsThatCount(t *testing.T) {
	for _, c := range []struct {
		cut         int
		from, until time.Duration
		want        int
	}{
		{0, 4 * time.Second, 8 * time.Second, 0},
		{1, 4 * time.Second, 8 * time.Second, 0},
		{2, 4 * time.Second, 8 * time.Second, 1},
		{0, 7 * time.Second, 8 * time.Second, 1},
		{0, -9 * time.Second, -5 * time.Second, 1},
	} {
		if got := soak.CountedResumptions(c.cut, c.from, c.until); got != c.want {
			t.Errorf("gate %d cut off from %v until %v: got %d counted, want %d", c.cut, c.from, c.until, got, c.want)
		}
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

func TestLeavingPlayDrawsAllOrdersAndOverlaps(t *testing.T) {
	variants, series, stops := map[string]bool{}, false, false
	for seed := range uint64(20) {
		for _, s := range soak.Schedule(seed, 18*time.Second, soak.Leaving) {
			switch s.Kind {
			case soak.EndEngines:
				variants[s.Variant] = true
				series = series || s.Count > 1 && s.Repeats > 0
			case soak.Stop, soak.Series:
				stops = true
			}
		}
	}
	if len(variants) != 2 || !series || !stops {
		t.Errorf("got orders %v, a series of several engines %t, stops of gates %t, want both orders and all", variants, series, stops)
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
