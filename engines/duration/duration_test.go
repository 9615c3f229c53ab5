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
func paced(first clock.Millis, runs ...clock.Millis) *duration.Answers {
	a := duration.New()
	a.First(streamed.Name, first)
	for range 10 {
		for _, took := range runs {
			a.Pace(streamed.Name, "llm", took)
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
		{"stream", duration.Request{Route: streamed, Service: "llm", Events: 100}, 15_000},
		{"plain", duration.Request{Route: plain, Service: "api"}, 4000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := duration.New().Estimate(tc.req)
			if want := (duration.Estimate{Most: tc.want, Usual: tc.want, Basis: duration.Timeout}); got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

func TestAStreamThatDoesNotTellItsLengthIsBoundedByTheTimeout(t *testing.T) {
	a := paced(50, 80, 80, 80, 80, 80)
	for range 1000 {
		a.Whole(streamed.Name, 200)
	}
	got := a.Estimate(duration.Request{Route: streamed, Service: "llm"})
	if got.Most != 15_000 || got.Basis != duration.Timeout {
		t.Errorf("got %+v after a thousand short answers, want the timeout of 15000", got)
	}
}

// Short answers say nothing of a long one; what it may have of events does.
func TestAStreamIsBoundedByTheEventsThatItCanHave(t *testing.T) {
	a := paced(100, 160, 160, 160, 160, 160, 160, 160, 160, 160, 240)
	for range 100 {
		a.Whole(streamed.Name, 300)
	}
	got := a.Estimate(duration.Request{Route: streamed, Service: "llm", Events: 200})
	// The first event may take two goals, 200 events 30 ms each, and one pause.
	if want := clock.Millis(800 + 200*30 + 300); got.Most != want {
		t.Errorf("got at most %d, want %d", got.Most, want)
	}
	if want := clock.Millis(400 + 200*20); got.Usual != want {
		t.Errorf("got usually %d, want %d", got.Usual, want)
	}
	if got.Basis != duration.Events || got.Samples != 100 {
		t.Errorf("got %s of %d, want %s of 100", got.Basis, got.Samples, duration.Events)
	}
}

// A few runs may all come from one fast engine.
func TestAFewRunsTellTheUsualPaceOnly(t *testing.T) {
	a := duration.New()
	for range 10 {
		a.Pace(streamed.Name, "llm", 160)
	}
	got := a.Estimate(duration.Request{Route: streamed, Service: "llm", Events: 200})
	if want := (duration.Estimate{Most: 15_000, Usual: 400 + 200*20, Basis: duration.Timeout, Samples: 10}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestABoundIsNeverBelowWhatWasSeen(t *testing.T) {
	a := paced(100, 80, 80, 80, 80)
	a.Whole(streamed.Name, 9000)
	if got := a.Estimate(duration.Request{Route: streamed, Service: "llm", Events: 20}); got.Most != 9000 {
		t.Errorf("got at most %d, want the 9000 that an answer took", got.Most)
	}
}

func TestABoundIsAtMostTheTimeout(t *testing.T) {
	a := paced(100, 8000, 8000, 8000, 8000)
	got := a.Estimate(duration.Request{Route: streamed, Service: "llm", Events: 200})
	if got.Most != 15_000 || got.Usual != 15_000 {
		t.Errorf("got %+v, want the timeout of 15000", got)
	}
}

func TestAPlainAnswerMayTakeAFourthMoreThanTheLongest(t *testing.T) {
	a := duration.New()
	a.Whole(plain.Name, 400)
	for range 200 {
		a.Whole(plain.Name, 20)
	}
	got := a.Estimate(duration.Request{Route: plain, Service: "api"})
	if got.Most != 800 || got.Basis != duration.Seen || got.Samples != 201 {
		t.Errorf("got %+v, want 800 by 201 seen", got)
	}
	for range 300 {
		a.Whole(plain.Name, 20)
	}
	if got := a.Estimate(duration.Request{Route: plain, Service: "api"}); got.Most != 325 {
		t.Errorf("got at most %d after 300 short answers more, want 325", got.Most)
	}
}

// A request of a route that publishes no timeout is held for as long as its
// caller waits: it is not taken to need no time at all.
func TestARouteWithoutATimeoutIsHeldForLong(t *testing.T) {
	for name, kind := range map[string]table.Kind{"stream": table.Stream, "plain": table.Safe} {
		t.Run(name, func(t *testing.T) {
			r := &table.Route{Name: "open", Kind: kind, Goal: 400}
			req := duration.Request{Route: r, Service: "llm", Events: 100}
			a := duration.New()
			if got := a.Estimate(req); got.Most != duration.Longest || got.Usual != duration.Longest {
				t.Errorf("got %+v with nothing seen, want %d", got, duration.Longest)
			}
			a.Whole(r.Name, 4000)
			if got := a.Estimate(req); got.Most < 4000 {
				t.Errorf("got %+v after an answer of 4000 ms, want that at least", got)
			}
		})
	}
}

// Streams that are shorter than a run tell the pace together.
func TestShortStreamsTellThePace(t *testing.T) {
	a := duration.New()
	req := duration.Request{Route: streamed, Service: "llm", Events: 16}
	for range 5 {
		a.First(streamed.Name, 100)
		a.Rest(streamed.Name, "llm", 6, 120)
	}
	if got := a.Estimate(req); got.Usual != 15_000 {
		t.Errorf("got %+v by 30 events, want the timeout", got)
	}
	for range 3 {
		a.Rest(streamed.Name, "llm", 6, 120)
	}
	if got := a.Estimate(req); got.Usual != 400+16*20 || got.Basis != duration.Timeout {
		t.Errorf("got %+v by 48 events, want usually %d, and no bound yet", got, 400+16*20)
	}
	for range 60 {
		a.Rest(streamed.Name, "llm", 6, 120)
	}
	// The first event may take two goals, 16 events 20 ms each, and one pause.
	if got := a.Estimate(req); got.Most != 800+16*20+300 || got.Basis != duration.Events {
		t.Errorf("got %+v, want at most %d by %s", got, 800+16*20+300, duration.Events)
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
			got := paced(tc.first, 160, 160, 160, 160).Estimate(duration.Request{Route: streamed, Service: "llm", Events: 10})
			if want := tc.want + 10*20 + 300; got.Most != want {
				t.Errorf("got at most %d, want %d", got.Most, want)
			}
		})
	}
}

// A plain answer that is passed on as it comes cannot be told as a failure when
// it is cut, so none is taken by the longest seen.
func TestLongPlainAnswersAreBoundedByTheTimeout(t *testing.T) {
	a := duration.New()
	a.Whole(plain.Name, 20)
	a.Long(plain.Name)
	if got := a.Estimate(duration.Request{Route: plain, Service: "api"}); got.Most != plain.Timeout || got.Basis != duration.Timeout {
		t.Errorf("got %+v, want the timeout of %d", got, plain.Timeout)
	}
}

// Routes of one service may differ: where much is known of short events and
// less of long ones, a route of long ones does not go by the short.
func TestASlowRouteGoesByItsOwnPace(t *testing.T) {
	a := duration.New()
	for range 100 {
		a.Pace("another", "llm", 80)
	}
	for range 8 {
		a.Pace(streamed.Name, "llm", 240)
	}
	got := a.Estimate(duration.Request{Route: streamed, Service: "llm", Events: 100})
	if want := clock.Millis(400 + 100*30); got.Usual != want {
		t.Errorf("got usually %d, want %d", got.Usual, want)
	}
	if want := clock.Millis(800 + 100*30 + 300); got.Most != want {
		t.Errorf("got at most %d, want %d", got.Most, want)
	}
}

func BenchmarkEstimate(b *testing.B) {
	a := paced(50, 160, 170, 180, 190, 200, 150, 140, 130, 120, 110, 100, 90, 160, 170, 180, 190, 200, 150, 140, 130, 120, 110, 100, 90, 160, 170)
	req := duration.Request{Route: streamed, Service: "llm", Events: 184}
	for b.Loop() {
		a.Estimate(req)
	}
}

func TestTheLongestFirstSignIsKnown(t *testing.T) {
	a := duration.New()
	for _, r := range []*table.Route{streamed, plain} {
		if got := a.FirstSign(r); got != 0 {
			t.Errorf("%s: got %d before any answer, want 0", r.Name, got)
		}
	}
	for _, took := range []clock.Millis{200, 700, 300} {
		a.First(streamed.Name, took)
		a.Whole(streamed.Name, 10*took)
		a.Whole(plain.Name, 2*took)
	}
	if got, want := a.FirstSign(streamed), clock.Millis(700); got != want {
		t.Errorf("stream: got %d, want %d", got, want)
	}
	if got, want := a.FirstSign(plain), clock.Millis(1400); got != want {
		t.Errorf("plain: got %d, want %d", got, want)
	}
}
