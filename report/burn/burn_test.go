package burn_test

import (
	"math"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/report/burn"
)

var targets = burn.Targets{Latency: 0.95, Whole: 0.99, Served: 0.9}

// recordEvents records n events. The first bad of them are incomplete, and the
// first 2*bad miss the latency objective.
func recordEvents(r *burn.Recorder, path string, n, bad int, now clock.Millis) {
	for i := range n {
		r.RecordEvent(burn.Event{Path: path, Served: true, Whole: i >= bad, Streamed: true, LatencyMet: i >= 2*bad, FirstTokenMS: float64(100 + i), BetweenTokensMS: 10}, targets, now)
	}
}

func row(t *testing.T, rows []burn.Row, path string, o burn.Objective, w clock.Millis) burn.Row {
	t.Helper()
	for _, r := range rows {
		if r.Path == path && r.Objective == o && r.WindowMS == w {
			return r
		}
	}
	t.Fatalf("got no row for %s %s %d", path, o, w)
	return burn.Row{}
}

func TestBurnRates(t *testing.T) {
	r := burn.NewRecorder()
	recordEvents(r, "planning/ws0/chat", 1000, 20, 1000)
	rows := r.Snapshot(2000).Rows
	for _, c := range []struct {
		o    burn.Objective
		bad  int64
		burn float64
	}{{burn.Whole, 20, 2}, {burn.Latency, 40, 0.8}, {burn.Served, 0, 0}} {
		got := row(t, rows, "planning/ws0/chat", c.o, burn.Windows[0])
		if got.Good != 1000-c.bad || got.Bad != c.bad || math.Abs(got.Burn-c.burn) > 1e-9 {
			t.Errorf("%s: got %+v, want %d bad and burn %v", c.o, got, c.bad, c.burn)
		}
	}
}

func TestEventsExpireFromShortWindowFirst(t *testing.T) {
	r := burn.NewRecorder()
	recordEvents(r, "p/w/chat", 10, 5, 0)
	rows := r.Snapshot(10 * 60_000).Rows
	for _, got := range rows {
		if got.WindowMS == burn.Windows[0] {
			t.Errorf("after ten minutes: got %+v in the window of five", got)
		}
	}
	if got := row(t, rows, "p/w/chat", burn.Whole, burn.Windows[1]); got.Bad != 5 {
		t.Errorf("got %+v, want 5 bad in the window of an hour", got)
	}
	if got := len(r.Snapshot(7 * 60 * 60_000).Rows); got != 0 {
		t.Errorf("after seven hours: got %d rows, want none", got)
	}
}

func TestMergeCountsAndAlerts(t *testing.T) {
	var snaps []burn.Snapshot
	for i := range 3 {
		r := burn.NewRecorder()
		recordEvents(r, "planning/ws0/chat", 100, 20, clock.Millis(i))
		recordEvents(r, "planning/ws1/chat", 100, 0, 0)
		snaps = append(snaps, r.Snapshot(1000))
	}
	rep, err := burn.Merge([]string{"a", "b", "c"}, snaps)
	if err != nil {
		t.Fatal(err)
	}
	if got := row(t, rep.Rows, "planning/ws0", burn.Whole, burn.Windows[0]); got.Good != 240 || got.Bad != 60 || math.Abs(got.Burn-20) > 1e-9 {
		t.Errorf("workspace: got %+v, want 240 good, 60 bad, burn 20", got)
	}
	if got := row(t, rep.Rows, "planning", burn.Whole, burn.Windows[0]); got.Good != 540 || got.Bad != 60 || math.Abs(got.Burn-10) > 1e-9 {
		t.Errorf("partner: got %+v, want 540 good, 60 bad, burn 10", got)
	}
	pages := 0
	for _, a := range rep.Alerts {
		if a.Severity == "page" && a.Path == "planning/ws0" && a.Objective == burn.Whole {
			pages++
		}
		if a.Severity == "page" && a.Path == "planning" {
			t.Errorf("got %+v, want no page below a rate of 14.4", a)
		}
	}
	if pages != 1 {
		t.Errorf("got %+v, want one page for planning/ws0", rep.Alerts)
	}
}

func TestMergePercentilesWithinError(t *testing.T) {
	var snaps []burn.Snapshot
	for i := range 4 {
		r := burn.NewRecorder()
		for ms := 1 + i; ms <= 1000; ms += 4 {
			r.RecordEvent(burn.Event{Path: "p/w/chat", Served: true, Whole: true, Streamed: true, FirstTokenMS: float64(ms)}, targets, 0)
		}
		snaps = append(snaps, r.Snapshot(0))
	}
	rep, err := burn.Merge(nil, snaps)
	if err != nil || len(rep.Percentiles) != 1 {
		t.Fatalf("got %+v %v, want one flow", rep.Percentiles, err)
	}
	p := rep.Percentiles[0]
	for want, got := range map[float64]float64{500: p.P50, 950: p.P95, 990: p.P99} {
		if math.Abs(got-want)/want > burn.PercentileError {
			t.Errorf("got %v, want %v within %v", got, want, burn.PercentileError)
		}
	}
}

func TestMergeMeasures(t *testing.T) {
	var snaps []burn.Snapshot
	for i := range 2 {
		r := burn.NewRecorder()
		r.RecordTurn("planning", 1000, 700+100*i)
		s := r.Snapshot(0)
		s.Measures.Skew = map[string]float64{"drafting": 1.2 + float64(i)/10}
		s.Measures.Control = map[string]float64{"in": 1000, "out": 500}
		snaps = append(snaps, s)
	}
	rep, err := burn.Merge([]string{"a", "b"}, snaps)
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, m := range rep.Measures {
		got[m.Measure+" "+m.Of] = m.Value
	}
	for name, want := range map[string]float64{
		"cache reuse of returning chats planning": 0.75, "load skew drafting": 1.3, "control traffic a": 1500, "control traffic b": 1500,
	} {
		if math.Abs(got[name]-want) > 1e-9 {
			t.Errorf("%s: got %v, want %v", name, got[name], want)
		}
	}
}

func TestWriteHTMLShowsPathsAndAlerts(t *testing.T) {
	r := burn.NewRecorder()
	recordEvents(r, "planning/ws0/chat", 100, 30, 0)
	rep, err := burn.Merge([]string{"http://a"}, []burn.Snapshot{r.Snapshot(0)})
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := burn.WriteHTML(&b, rep); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"planning/ws0", "<svg", "first_token", "page</b>"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("got a page without %q", want)
		}
	}
}
