package duration_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/duration"
	"github.com/weldfall/weldfall/table"
)

var (
	streamRoute = &table.Route{Name: "streamed", Kind: table.Stream, Timeout: 15_000, Goal: 400, PauseGoal: 300}
	plainRoute  = &table.Route{Name: "plain", Kind: table.Safe, Timeout: 4000, Goal: 300}
)

// newPaced returns an Estimator with a first event and ten times the given runs of
// events.
func newPaced(first clock.Millis, runs ...clock.Millis) *duration.Estimator {
	e := duration.NewEstimator()
	e.RecordFirstEvent(streamRoute.Name, first)
	for range 10 {
		for _, took := range runs {
			e.RecordRun(streamRoute.Name, "llm", took)
		}
	}
	return e
}

func TestEstimateWithoutSamplesIsTimeout(t *testing.T) {
	for _, tc := range []struct {
		name string
		req  duration.Request
		want clock.Millis
	}{
		{"stream", duration.Request{Route: streamRoute, Service: "llm", MaxEvents: 100}, 15_000},
		{"plain", duration.Request{Route: plainRoute, Service: "api"}, 4000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := duration.NewEstimator().Estimate(tc.req)
			if want := (duration.Estimate{Max: tc.want, Typical: tc.want, Basis: duration.BasisTimeout}); got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

func TestStreamOfUnknownLengthUsesTimeout(t *testing.T) {
	e := newPaced(50, 80, 80, 80, 80, 80)
	for range 1000 {
		e.RecordResponse(streamRoute.Name, 200)
	}
	got := e.Estimate(duration.Request{Route: streamRoute, Service: "llm"})
	if got.Max != 15_000 || got.Basis != duration.BasisTimeout {
		t.Errorf("got %+v after 1000 short responses, want the timeout of 15000", got)
	}
}

// Checks that short responses do not lower the bound of a long one, which follows from its
// maximum number of events.
func TestStreamIsBoundedByMaxEvents(t *testing.T) {
	e := newPaced(100, 160, 160, 160, 160, 160, 160, 160, 160, 160, 240)
	for range 100 {
		e.RecordResponse(streamRoute.Name, 300)
	}
	got := e.Estimate(duration.Request{Route: streamRoute, Service: "llm", MaxEvents: 200})
	// Two goals for the first event, 30 ms for each of 200 events, and one pause.
	if want := clock.Millis(800 + 200*30 + 300); got.Max != want {
		t.Errorf("got at most %d, want %d", got.Max, want)
	}
	if want := clock.Millis(400 + 200*20); got.Typical != want {
		t.Errorf("got usually %d, want %d", got.Typical, want)
	}
	if got.Basis != duration.BasisEvents || got.Samples != 100 {
		t.Errorf("got %s of %d, want %s of 100", got.Basis, got.Samples, duration.BasisEvents)
	}
}

// Guards against a bound from a few runs, which may all come from one fast engine.
func TestFewRunsGiveTypicalPaceOnly(t *testing.T) {
	e := duration.NewEstimator()
	for range 10 {
		e.RecordRun(streamRoute.Name, "llm", 160)
	}
	got := e.Estimate(duration.Request{Route: streamRoute, Service: "llm", MaxEvents: 200})
	if want := (duration.Estimate{Max: 15_000, Typical: 400 + 200*20, Basis: duration.BasisTimeout, Samples: 10}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestMaxIsAtLeastLongestResponse(t *testing.T) {
	e := newPaced(100, 80, 80, 80, 80)
	e.RecordResponse(streamRoute.Name, 9000)
	if got := e.Estimate(duration.Request{Route: streamRoute, Service: "llm", MaxEvents: 20}); got.Max != 9000 {
		t.Errorf("got at most %d, want the 9000 of a recorded response", got.Max)
	}
}

func TestMaxIsAtMostTimeout(t *testing.T) {
	e := newPaced(100, 8000, 8000, 8000, 8000)
	got := e.Estimate(duration.Request{Route: streamRoute, Service: "llm", MaxEvents: 200})
	if got.Max != 15_000 || got.Typical != 15_000 {
		t.Errorf("got %+v, want the timeout of 15000", got)
	}
}

func TestPlainResponseMayTakeQuarterMoreThanLongest(t *testing.T) {
	e := duration.NewEstimator()
	e.RecordResponse(plainRoute.Name, 400)
	for range 200 {
		e.RecordResponse(plainRoute.Name, 20)
	}
	got := e.Estimate(duration.Request{Route: plainRoute, Service: "api"})
	if got.Max != 800 || got.Basis != duration.BasisObserved || got.Samples != 201 {
		t.Errorf("got %+v, want 800 from 201 samples", got)
	}
	for range 300 {
		e.RecordResponse(plainRoute.Name, 20)
	}
	if got := e.Estimate(duration.Request{Route: plainRoute, Service: "api"}); got.Max != 325 {
		t.Errorf("got at most %d after 300 more short responses, want 325", got.Max)
	}
}

// Guards against an estimate of zero for routes that publish no timeout.
func TestRouteWithoutTimeoutUsesDefault(t *testing.T) {
	for name, kind := range map[string]table.Kind{"stream": table.Stream, "plain": table.Safe} {
		t.Run(name, func(t *testing.T) {
			r := &table.Route{Name: "open", Kind: kind, Goal: 400}
			req := duration.Request{Route: r, Service: "llm", MaxEvents: 100}
			e := duration.NewEstimator()
			if got := e.Estimate(req); got.Max != duration.DefaultTimeout || got.Typical != duration.DefaultTimeout {
				t.Errorf("got %+v without samples, want %d", got, duration.DefaultTimeout)
			}
			e.RecordResponse(r.Name, 4000)
			if got := e.Estimate(req); got.Max < 4000 {
				t.Errorf("got %+v after a response of 4000 ms, want at least that", got)
			}
		})
	}
}

// Checks that streams shorter than a run are combined into runs.
func TestShortStreamsGivePace(t *testing.T) {
	e := duration.NewEstimator()
	req := duration.Request{Route: streamRoute, Service: "llm", MaxEvents: 16}
	for range 5 {
		e.RecordFirstEvent(streamRoute.Name, 100)
		e.RecordTail(streamRoute.Name, "llm", 6, 120)
	}
	if got := e.Estimate(req); got.Typical != 15_000 {
		t.Errorf("got %+v from 30 events, want the timeout", got)
	}
	for range 3 {
		e.RecordTail(streamRoute.Name, "llm", 6, 120)
	}
	if got := e.Estimate(req); got.Typical != 400+16*20 || got.Basis != duration.BasisTimeout {
		t.Errorf("got %+v from 48 events, want usually %d, and no bound yet", got, 400+16*20)
	}
	for range 60 {
		e.RecordTail(streamRoute.Name, "llm", 6, 120)
	}
	// Two goals for the first event, 20 ms for each of 16 events, and one pause.
	if got := e.Estimate(req); got.Max != 800+16*20+300 || got.Basis != duration.BasisEvents {
		t.Errorf("got %+v, want at most %d by %s", got, 800+16*20+300, duration.BasisEvents)
	}
}

// Checks that an early first event does not lower the limit that follows from the
// goal, and that a late one raises it.
func TestFirstEventMayTakeTwoGoalsOrMore(t *testing.T) {
	for name, tc := range map[string]struct{ first, want clock.Millis }{
		"early": {50, 800},
		"late":  {1000, 1500},
	} {
		t.Run(name, func(t *testing.T) {
			got := newPaced(tc.first, 160, 160, 160, 160).Estimate(duration.Request{Route: streamRoute, Service: "llm", MaxEvents: 10})
			if want := tc.want + 10*20 + 300; got.Max != want {
				t.Errorf("got at most %d, want %d", got.Max, want)
			}
		})
	}
}

// A plain response that is passed on while it arrives cannot be reported as a failure
// when it is truncated, so the longest response observed must not be its bound.
func TestPassThroughResponsesUseTimeout(t *testing.T) {
	e := duration.NewEstimator()
	e.RecordResponse(plainRoute.Name, 20)
	e.RecordPassThrough(plainRoute.Name)
	if got := e.Estimate(duration.Request{Route: plainRoute, Service: "api"}); got.Max != plainRoute.Timeout || got.Basis != duration.BasisTimeout {
		t.Errorf("got %+v, want the timeout of %d", got, plainRoute.Timeout)
	}
}

// Guards against estimating a slow route of a service by the pace of a fast one that
// has more samples.
func TestSlowRouteUsesOwnPace(t *testing.T) {
	e := duration.NewEstimator()
	for range 100 {
		e.RecordRun("another", "llm", 80)
	}
	for range 8 {
		e.RecordRun(streamRoute.Name, "llm", 240)
	}
	got := e.Estimate(duration.Request{Route: streamRoute, Service: "llm", MaxEvents: 100})
	if want := clock.Millis(400 + 100*30); got.Typical != want {
		t.Errorf("got usually %d, want %d", got.Typical, want)
	}
	if want := clock.Millis(800 + 100*30 + 300); got.Max != want {
		t.Errorf("got at most %d, want %d", got.Max, want)
	}
}

func BenchmarkEstimate(b *testing.B) {
	e := newPaced(50, 160, 170, 180, 190, 200, 150, 140, 130, 120, 110, 100, 90, 160, 170, 180, 190, 200, 150, 140, 130, 120, 110, 100, 90, 160, 170)
	req := duration.Request{Route: streamRoute, Service: "llm", MaxEvents: 184}
	for b.Loop() {
		e.Estimate(req)
	}
}

func TestMaxTimeToFirstOutput(t *testing.T) {
	e := duration.NewEstimator()
	for _, r := range []*table.Route{streamRoute, plainRoute} {
		if got := e.MaxTimeToFirstOutput(r); got != 0 {
			t.Errorf("%s: got %d before any response, want 0", r.Name, got)
		}
	}
	for _, took := range []clock.Millis{200, 700, 300} {
		e.RecordFirstEvent(streamRoute.Name, took)
		e.RecordResponse(streamRoute.Name, 10*took)
		e.RecordResponse(plainRoute.Name, 2*took)
	}
	if got, want := e.MaxTimeToFirstOutput(streamRoute), clock.Millis(700); got != want {
		t.Errorf("stream: got %d, want %d", got, want)
	}
	if got, want := e.MaxTimeToFirstOutput(plainRoute), clock.Millis(1400); got != want {
		t.Errorf("plain: got %d, want %d", got, want)
	}
}
