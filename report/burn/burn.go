// Package burn measures how fast the error budgets of the service-level
// objectives are spent. It counts events in windows of several lengths, as in
// the multi-window burn rates of the SRE workbook (chapter 5); a rate of 1
// spends the budget exactly. It is pure: the time is handed in.
package burn

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/weldfall/weldfall/common/clock"
)

// Objective is one of the promises that are measured.
type Objective string

const (
	// Latency is met by a streamed answer whose first token and mean time
	// between tokens are both within their limits.
	Latency Objective = "latency"
	// Whole is met by an admitted request that is answered whole.
	Whole Objective = "whole"
	// Served is met by a valid request that is not refused.
	Served Objective = "served"
)

// Objectives lists all objectives.
var Objectives = []Objective{Latency, Whole, Served}

// Windows are the lengths that are measured, in milliseconds, short to long.
var Windows = []clock.Millis{5 * 60_000, 60 * 60_000, 6 * 60 * 60_000}

// buckets is the number of parts of a window; the oldest part is counted in
// whole, so a window is up to one part too long.
const buckets = 30

// Event is one finished request.
type Event struct {
	// Path is partner/workspace/service.
	Path string
	// Served is false for a request that was refused.
	Served bool
	// Whole is true for a request that was answered whole.
	Whole bool
	// Streamed is true for a streamed answer; LatencyMet when it met the latency
	// objective.
	Streamed, LatencyMet bool
	// FirstTokenMS and BetweenTokensMS are in milliseconds, zero if unknown.
	FirstTokenMS, BetweenTokensMS float64
}

// Targets are the shares of good events that are promised, below 1.
type Targets struct {
	Latency float64 `json:"latency"`
	Whole   float64 `json:"whole"`
	Served  float64 `json:"served"`
}

func (t Targets) of(o Objective) float64 {
	switch o {
	case Latency:
		return t.Latency
	case Whole:
		return t.Whole
	default:
		return t.Served
	}
}

// Count is good and bad events of one objective.
type Count struct {
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
}

func (c *Count) add(o Count) {
	c.Good += o.Good
	c.Bad += o.Bad
}

// BurnRate is the burn rate: the share of bad events over the share allowed.
func (c Count) BurnRate(target float64) float64 {
	if c.Good+c.Bad == 0 || target >= 1 {
		return 0
	}
	return float64(c.Bad) / float64(c.Good+c.Bad) / (1 - target)
}

// window is a ring of buckets; the bucket of a time is its index modulo the
// number of buckets.
type window struct {
	length clock.Millis
	epoch  [buckets + 1]int64
	counts [buckets + 1][3]Count
}

func (w *window) index(now clock.Millis) (int64, int) {
	epoch := int64(now / (w.length / buckets))
	return epoch, int(epoch % (buckets + 1))
}

func (w *window) add(o int, c Count, now clock.Millis) {
	epoch, i := w.index(now)
	if w.epoch[i] != epoch {
		w.epoch[i], w.counts[i] = epoch, [3]Count{}
	}
	w.counts[i][o].add(c)
}

func (w *window) sum(o int, now clock.Millis) Count {
	epoch, _ := w.index(now)
	var total Count
	for i, e := range w.epoch {
		if epoch-e <= buckets && epoch >= e {
			total.add(w.counts[i][o])
		}
	}
	return total
}

// series is what is kept of one path.
type series struct {
	targets Targets
	windows [3]*window
}

// Recorder counts the events of one process. It is not safe for concurrent
// use.
type Recorder struct {
	byPath map[string]*series
	// first and between are latencies in microseconds by partner/service.
	first, between map[string]*hdrhistogram.Histogram
	reuse          map[string]CacheReuse
}

// Bounds of the histograms, in microseconds, and their precision: two
// significant digits, so a percentile is within 1 part in 100.
const (
	histLow    = 1
	histHigh   = 600_000_000
	histDigits = 2
)

// PercentileError is the relative error of reported percentiles.
const PercentileError = 0.01

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{byPath: map[string]*series{}, first: map[string]*hdrhistogram.Histogram{}, between: map[string]*hdrhistogram.Histogram{}, reuse: map[string]CacheReuse{}}
}

// RecordEvent counts one event under the objectives in force for it.
func (r *Recorder) RecordEvent(ev Event, t Targets, now clock.Millis) {
	s := r.byPath[ev.Path]
	if s == nil {
		s = &series{}
		for i, l := range Windows {
			s.windows[i] = &window{length: l}
		}
		r.byPath[ev.Path] = s
	}
	s.targets = t
	good := func(ok bool) Count {
		if ok {
			return Count{Good: 1}
		}
		return Count{Bad: 1}
	}
	for _, w := range s.windows {
		w.add(2, good(ev.Served), now)
		if ev.Served {
			w.add(1, good(ev.Whole), now)
		}
		if ev.Streamed {
			w.add(0, good(ev.LatencyMet), now)
		}
	}
	if ev.Streamed {
		key := flowOf(ev.Path)
		record(r.first, key, ev.FirstTokenMS)
		if ev.BetweenTokensMS > 0 {
			record(r.between, key, ev.BetweenTokensMS)
		}
	}
}

// flowOf names the histogram of a path: partner/service.
func flowOf(path string) string {
	parts := strings.Split(path, "/")
	return parts[0] + "/" + parts[len(parts)-1]
}

func record(m map[string]*hdrhistogram.Histogram, key string, ms float64) {
	h := m[key]
	if h == nil {
		h = hdrhistogram.New(histLow, histHigh, histDigits)
		m[key] = h
	}
	_ = h.RecordValue(min(histHigh, max(histLow, int64(ms*1000))))
}

// Row is the counts of one path, objective and window.
type Row struct {
	Path      string    `json:"path"`
	Objective Objective `json:"objective"`
	Target    float64   `json:"target"`
	// WindowMS is the length of the window in milliseconds.
	WindowMS clock.Millis `json:"window_ms"`
	Count
	Burn float64 `json:"burn"`
}

// Percentiles are latencies in milliseconds of one partner/service.
type Percentiles struct {
	Flow string  `json:"flow"`
	What string  `json:"what"`
	P50  float64 `json:"p50_ms"`
	P95  float64 `json:"p95_ms"`
	P99  float64 `json:"p99_ms"`
	N    int64   `json:"n"`
}

// Snapshot is what one process has counted, in a form that can be merged.
type Snapshot struct {
	Rows []Row `json:"rows"`
	// First and Between are encoded histograms by partner/service.
	First   map[string][]byte `json:"first,omitempty"`
	Between map[string][]byte `json:"between,omitempty"`
	// Measures are the users' three measures.
	Measures Measures `json:"measures"`
}

// Snapshot returns the counts at now.
func (r *Recorder) Snapshot(now clock.Millis) Snapshot {
	s := Snapshot{First: encode(r.first), Between: encode(r.between), Measures: Measures{Reuse: maps.Clone(r.reuse)}}
	for path, se := range r.byPath {
		for wi, w := range se.windows {
			for oi, o := range Objectives {
				if c := w.sum(oi, now); c.Good+c.Bad > 0 {
					t := se.targets.of(o)
					s.Rows = append(s.Rows, Row{path, o, t, Windows[wi], c, c.BurnRate(t)})
				}
			}
		}
	}
	sortRows(s.Rows)
	return s
}

func encode(m map[string]*hdrhistogram.Histogram) map[string][]byte {
	out := map[string][]byte{}
	for k, h := range m {
		if b, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase); err == nil {
			out[k] = b
		}
	}
	return out
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Objective, b.Objective), cmp.Compare(a.WindowMS, b.WindowMS))
	})
}
