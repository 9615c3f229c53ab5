package duration_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/duration"
	"github.com/weldfall/weldfall/table"
)

var (
	streamed = &table.Route{Name: "streamed", Kind: table.Stream, Timeout: 15_000, Goal: 400, PauseGoal: 300}
	plain    = &table.Route{Name: "plain", Kind: table.Safe, Timeout: 4000, Goal: 300}
)

// paced returns answers whose first event and runs of events took so long, each
// run ten times.
func paced(first clock.Millis, runs ...clock.Millis) *duration.Estimator {
	a := duration.NewEstimator()
	a.RecordFirstEvent(streamed.Name, first)
	for range 10 {
		for _, took := range runs {
			a.RecordRun(streamed.Name, "llm", took)
		}
	}
	return a
}

func TestNothingSeenIsBoundedByTheTimeout(t *testing.T) {
	for _, tc := range []struct {
		name string
		req  duration.Request
		want clock.Millis
	}{
		{"stream", duration.Request{Route: streamed, Service: "llm", MaxEvents: 100}, 15_000},
		{"plain", duration.Request{Route: plain, Service: "api"}, 4000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := duration.NewEstimator().Estimate(tc.req)
			if want := (duration.Estimate{Max: tc.want, Typical: tc.want, Basis: duration.BasisTimeout}); got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

func TestAStreamThatDoesNotTellItsLengthIsBoundedByTheTimeout(t *testing.T) {
	a := paced(50, 80, 80, 80, 80, 80)
	for range 1000 {
		a.RecordResponse(streamed.Name, 200)
	}
	got := a.Estimate(duration.Request{Route: streamed, Service: "llm"})
	if got.Max != 15_000 || got.Basis != duration.BasisTimeout {
		t.Errorf("got %+v after a thousand short answers, want the timeout of 15000", got)
	}
}

// Short answers say nothing of a long one; what it may have of events does.
func TestAStreamIsBoundedByTheEventsThatItCanHave(t *testing.T) {
	a := paced(100, 160, 160, 160, 160, 160, 160, 160, 160, 160, 240)
	for range 100 {
		a.RecordResponse(streamed.Name, 300)
	}
	got := a.Estimate(duration.Request{Route: streamed, Service: "llm", MaxEvents: 200})
	// The first event may take two goals, 200 events 30 ms each, and one pause.
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

// A few runs may all come from one fast engine.
func TestAFewRunsTellTheUsualPaceOnly(t *testing.T) {
	a := duration.NewEstimator()
	for range 10 {
		a.RecordRun(streamed.Name, "llm", 160)
	}
	got := a.Estimate(duration.Request{Route: streamed, Service: "llm", MaxEvents: 200})
	if want := (duration.Estimate{Max: 15_000, Typical: 400 + 200*20, Basis: duration.BasisTimeout, Samples: 10}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestABoundIsNeverBelowWhatWasSeen(t *testing.T) {
	a := paced(100, 80, 80, 80, 80)
	a.RecordResponse(streamed.Name, 9000)
	if got := a.Estimate(duration.Request{Route: streamed, Service: "llm", MaxEvents: 20}); got.Max != 9000 {
		t.Errorf("got at most %d, want the 9000 that an answer took", got.Max)
	}
}

func TestABoundIsAtMostTheTimeout(t *testing.T) {
	a := paced(100, 8000, 8000, 8000, 8000)
	got := a.Estimate(duration.Request{Route: streamed, Service: "llm", MaxEvents: 200})
	if got.Max != 15_000 || got.Typical != 15_000 {
		t.Errorf("got %+v, want the timeout of 15000", got)
	}
}

func TestAPlainAnswerMayTakeAFourthMoreThanTheLongest(t *testing.T) {
	a := duration.NewEstimator()
	a.RecordResponse(plain.Name, 400)
	for range 200 {
		a.RecordResponse(plain.Name, 20)
	}
	got := a.Estimate(duration.Request{Route: plain, Service: "api"})
	if got.Max != 800 || got.Basis != duration.BasisObserved || got.Samples != 201 {
		t.Errorf("got %+v, want 800 by 201 seen", got)
	}
	for range 300 {
		a.RecordResponse(plain.Name, 20)
	}
	if got := a.Estimate(duration.Request{Route: plain, Service: "api"}); got.Max != 325 {
		t.Errorf("got at most %d after 300 short answers more, want 325", got.Max)
	}
}

// A request of a route that publishes no timeout is held for as long as its
// caller waits: it is not taken to need no time at all.
func TestARouteWithoutATimeoutIsHeldForLong(t *testing.T) {
	for name, kind := range map[string]table.Kind{"stream": table.Stream, "plain": table.Safe} {
		t.Run(name, func(t *testing.T) {
			r := &table.Route{Name: "open", Kind: kind, Goal: 400}
			req := duration.Request{Route: r, Service: "llm", MaxEvents: 100}
			a := duration.NewEstimator()
			if got := a.Estimate(req); got.Max != duration.DefaultTimeout || got.Typical != duration.DefaultTimeout {
				t.Errorf("got %+v with nothing seen, want %d", got, duration.DefaultTimeout)
			}
			a.RecordResponse(r.Name, 4000)
			if got := a.Estimate(req); got.Max < 4000 {
				t.Errorf("got %+v after an answer of 4000 ms, want that at least", got)
			}
		})
	}
}

// Streams that are shorter than a run tell the pace together.
func TestShortStreamsTellThePace(t *testing.T) {
	a := duration.NewEstimator()
	req := duration.Request{Route: streamed, Service: "llm", MaxEvents: 16}
	for range 5 {
		a.RecordFirstEvent(streamed.Name, 100)
		a.RecordTail(streamed.Name, "llm", 6, 120)
	}
	if got := a.Estimate(req); got.Typical != 15_000 {
		t.Errorf("got %+v by 30 events, want the timeout", got)
	}
	for range 3 {
		a.RecordTail(streamed.Name, "llm", 6, 120)
	}
	if got := a.Estimate(req); got.Typical != 400+16*20 || got.Basis != duration.BasisTimeout {
		t.Errorf("got %+v by 48 events, want usually %d, and no bound yet", got, 400+16*20)
	}
	for range 60 {
		a.RecordTail(streamed.Name, "llm", 6, 120)
	}
	// The first event may take two goals, 16 events 20 ms each, and one pause.
	if got := a.Estimate(req); got.Max != 800+16*20+300 || got.Basis != duration.BasisEvents {
		t.Errorf("got %+v, want at most %d by %s", got, 800+16*20+300, duration.BasisEvents)
	}
}

// One early event does not lower what the route publishes, and a late one
// raises it.
func TestTheFirstEventMayTakeTwoGoalsOrMore(t *testing.T) {
	for name, tc := range map[string]struct{ first, want clock.Millis }{
		"an early one": {50, 800},
		"a late one":   {1000, 1500},
	} {
		t.Run(name, func(t *testing.T) {
			got := paced(tc.first, 160, 160, 160, 160).Estimate(duration.Request{Route: streamed, Service: "llm", MaxEvents: 10})
			if want := tc.want + 10*20 + 300; got.Max != want {
				t.Errorf("got at most %d, want %d", got.Max, want)
			}
		})
	}
}

// A plain answer that is passed on as it comes cannot be told as a failure when
// it is cut, so none is taken by the longest seen.
func TestLongPlainAnswersAreBoundedByTheTimeout(t *testing.T) {
	a := duration.NewEstimator()
	a.RecordResponse(plain.Name, 20)
	a.RecordPassThrough(plain.Name)
	if got := a.Estimate(duration.Request{Route: plain, Service: "api"}); got.Max != plain.Timeout || got.Basis != duration.BasisTimeout {
		t.Errorf("got %+v, want the timeout of %d", got, plain.Timeout)
	}
}

// Routes of one service may differ: where much is known of short events and
// less of long ones, a route of long ones does not go by the short.
func TestASlowRouteGoesByItsOwnPace(t *testing.T) {
	a := duration.NewEstimator()
	for range 100 {
		a.RecordRun("another", "llm", 80)
	}
	for range 8 {
		a.RecordRun(streamed.Name, "llm", 240)
	}
	got := a.Estimate(duration.Request{Route: streamed, Service: "llm", MaxEvents: 100})
	if want := clock.Millis(400 + 100*30); got.Typical != want {
		t.Errorf("got usually %d, want %d", got.Typical, want)
	}
	if want := clock.Millis(800 + 100*30 + 300); got.Max != want {
		t.Errorf("got at most %d, want %d", got.Max, want)
	}
}

func BenchmarkEstimate(b *testing.B) {
	a := paced(50, 160, 170, 180, 190, 200, 150, 140, 130, 120, 110, 100, 90, 160, 170, 180, 190, 200, 150, 140, 130, 120, 110, 100, 90, 160, 170)
	req := duration.Request{Route: streamed, Service: "llm", MaxEvents: 184}
	for b.Loop() {
		a.Estimate(req)
	}
}

func TestTheLongestFirstSignIsKnown(t *testing.T) {
	a := duration.NewEstimator()
	for _, r := range []*table.Route{streamed, plain} {
		if got := a.MaxTimeToFirstOutput(r); got != 0 {
			t.Errorf("%s: got %d before any answer, want 0", r.Name, got)
		}
	}
	for _, took := range []clock.Millis{200, 700, 300} {
		a.RecordFirstEvent(streamed.Name, took)
		a.RecordResponse(streamed.Name, 10*took)
		a.RecordResponse(plain.Name, 2*took)
	}
	if got, want := a.MaxTimeToFirstOutput(streamed), clock.Millis(700); got != want {
		t.Errorf("stream: got %d, want %d", got, want)
	}
	if got, want := a.MaxTimeToFirstOutput(plain), clock.Millis(1400); got != want {
		t.Errorf("plain: got %d, want %d", got, want)
	}
}
