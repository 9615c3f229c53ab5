package statement_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/statement"
)

const second clock.Millis = 1000

func TestStatementsHold(t *testing.T) {
	type said struct {
		at clock.Millis
		statement.Said
		change statement.Change
	}
	leaves := statement.Said{Leaving: true}
	rests := func(d clock.Millis) statement.Said { return statement.Said{Rest: d} }
	for name, tc := range map[string]struct {
		said []said
		// closed and open are times at which the engine gets no requests, or some.
		closed, open []clock.Millis
	}{
		"nothing said":               {[]said{{0, statement.Said{}, statement.Same}}, nil, []clock.Millis{0, second}},
		"leaving for good":           {[]said{{0, leaves, statement.Left}, {second, statement.Said{}, statement.Same}, {2 * second, leaves, statement.Same}}, []clock.Millis{0, second, 3600 * second}, nil},
		"resting":                    {[]said{{second, rests(3 * second), statement.RestBegun}}, []clock.Millis{second, 4*second - 1}, []clock.Millis{4 * second, 5 * second}},
		"a shorter rest ends later":  {[]said{{0, rests(5 * second), statement.RestBegun}, {second, rests(second), statement.Same}}, []clock.Millis{2 * second, 5*second - 1}, []clock.Millis{5 * second}},
		"a further rest extends":     {[]said{{0, rests(2 * second), statement.RestBegun}, {second, rests(2 * second), statement.Same}}, []clock.Millis{2 * second, 3*second - 1}, []clock.Millis{3 * second}},
		"resting again":              {[]said{{0, rests(second), statement.RestBegun}, {second, rests(second), statement.RestBegun}}, []clock.Millis{second, 2*second - 1}, []clock.Millis{2 * second}},
		"a success ends no rest":     {[]said{{0, rests(2 * second), statement.RestBegun}, {second, statement.Said{}, statement.Same}}, []clock.Millis{second}, []clock.Millis{2 * second}},
		"leaving after a rest":       {[]said{{0, rests(second), statement.RestBegun}, {second, leaves, statement.Left}}, []clock.Millis{5 * second}, nil},
		"a rest beyond the longest":  {[]said{{0, rests(2 * statement.MaxRest), statement.RestBegun}}, []clock.Millis{statement.MaxRest - 1}, []clock.Millis{statement.MaxRest}},
		"an ignored value":           {[]said{{0, statement.Said{Ignored: "x", Reason: "r"}, statement.Ignored}, {1, statement.Said{Ignored: "y", Reason: "r"}, statement.Same}}, nil, []clock.Millis{0}},
		"an ignored value and a use": {[]said{{0, statement.Said{Leaving: true, Ignored: "x", Reason: "r"}, statement.Left}}, []clock.Millis{0}, nil},
	} {
		b := statement.NewBook[string]()
		for _, s := range tc.said {
			if _, got := b.Record("i-1", s.Said, s.at); got != s.change {
				t.Errorf("%s, %+v: got change %q, want %q", name, s.Said, got, s.change)
			}
		}
		for _, at := range tc.closed {
			if got := b.Of("i-1").Closed(at); !got {
				t.Errorf("%s: got open at %d, want closed", name, at)
			}
		}
		for _, at := range tc.open {
			if got := b.Of("i-1").Closed(at); got {
				t.Errorf("%s: got closed at %d, want open", name, at)
			}
		}
		if got := b.Of("i-2").Closed(second); got {
			t.Errorf("%s: got another incarnation closed, want open", name)
		}
	}
}

// Guards against callers who all return to an engine in the moment in which its rest ends.
func TestRequestsReturnOneByOneAfterARest(t *testing.T) {
	b := statement.NewBook[string]()
	s, _ := b.Record("i-1", statement.Said{Rest: 2 * second}, 0)
	begun := 0
	for now := 2 * second; now < 3*second; now += 5 {
		if !s.Held(now) {
			s.Begin(now)
			begun++
		}
		if limit := 1 + int((now-2*second)/100); begun > limit {
			t.Fatalf("got %d requests %d ms after the rest, want at most %d", begun, now-2*second, limit)
		}
	}
	if begun != 10 {
		t.Errorf("got %d requests in the first second after the rest, want 10", begun)
	}
	if s.Held(3 * second) {
		t.Error("got the engine held a second after its rest, want open")
	}
	s, _ = b.Record("i-1", statement.Said{Rest: second}, 3*second)
	if s.Held(4 * second) {
		t.Error("got the engine held at the end of its next rest, want open for one request")
	}
}
