// Package burn measures the burn rates of the error budgets of service-level
// objectives. It counts events in windows of several lengths, as for the
// multiwindow alerts of the SRE workbook (chapter 5). At a burn rate of
// 1, the share of bad events is exactly the share that the objective allows.
// Callers pass the current time.
package burn

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/weldfall/weldfall/common/clock"
)

// Objective is a service-level objective.
type Objective string

const (
	// Latency is met by a streamed response if the time to the first token and
	// the mean time between tokens are within their limits.
	Latency Objective = "latency"
	// Whole is met by an admitted request with a complete response.
	Whole Objective = "whole"
	// Served is met by a request that is not refused. Requests that fail by an error
	// of the caller are not recorded as events.
	Served Objective = "served"
)

// Objectives lists all objectives.
var Objectives = []Objective{Latency, Whole, Served}

// Windows are the lengths of the windows in milliseconds, shortest first.
var Windows = []clock.Millis{5 * 60_000, 60 * 60_000, 6 * 60 * 60_000}

// windowBuckets is the number of buckets of a window. The oldest bucket counts
// in full, so that a window is too long by up to one bucket.
const windowBuckets = 30

// Event is one finished request.
type Event struct {
	// Path is partner/workspace/service.
	Path string
	// Served is false if the request was refused.
	Served bool
	// Whole is true if the response was complete.
	Whole bool
	// Streamed is true for a streamed response, LatencyMet if it met the latency
	// objective.
	Streamed, LatencyMet bool
	// FirstTokenMS is the time to the first token, BetweenTokensMS the mean time
	// between tokens, in milliseconds; zero if unknown.
	FirstTokenMS, BetweenTokensMS float64
}

// Targets has the target of each objective: a share of good events below 1.
type Targets struct {
	Latency float64 `json:"latency"`
	Whole   float64 `json:"whole"`
	Served  float64 `json:"served"`
}

func (t Targets) target(o Objective) float64 {
	switch o {
	case Latency:
		return t.Latency
	case Whole:
		return t.Whole
	default:
		return t.Served
	}
}

// Count counts the good and bad events of an objective.
type Count struct {
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
}

func (c *Count) add(o Count) {
	c.Good += o.Good
	c.Bad += o.Bad
}

// BurnRate returns the share of bad events divided by the share that target
// allows. It is 0 without events or if target allows no bad events.
func (c Count) BurnRate(target float64) float64 {
	if c.Good+c.Bad == 0 || target >= 1 {
		return 0
	}
	return float64(c.Bad) / float64(c.Good+c.Bad) / (1 - target)
}

// window is a ring of buckets. epoch has the number of the interval that each
// bucket counts.
type window struct {
	length clock.Millis
	epoch  [windowBuckets + 1]int64
	counts [windowBuckets + 1][3]Count
}

// bucket returns the epoch of now and the index of its bucket.
func (w *window) bucket(now clock.Millis) (int64, int) {
	epoch := int64(now / (w.length / windowBuckets))
	return epoch, int(epoch % (windowBuckets + 1))
}

func (w *window) add(o int, c Count, now clock.Millis) {
	epoch, i := w.bucket(now)
	if w.epoch[i] != epoch {
		w.epoch[i], w.counts[i] = epoch, [3]Count{}
	}
	w.counts[i][o].add(c)
}

func (w *window) sum(o int, now clock.Millis) Count {
	epoch, _ := w.bucket(now)
	var total Count
	for i, e := range w.epoch {
		if epoch-e <= windowBuckets && epoch >= e {
			total.add(w.counts[i][o])
		}
	}
	return total
}

// pathCounts has the counts of a path in each window.
type pathCounts struct {
	targets Targets
	windows [3]*window
}

// Recorder counts the events of one process. It is not safe for concurrent
// use.
type Recorder struct {
	byPath map[string]*pathCounts
	// firstToken and betweenTokens have latencies in microseconds by
	// partner/service.
	firstToken, betweenTokens map[string]*hdrhistogram.Histogram
	// reuse is the cache reuse of returning chats, by partner.
	reuse map[string]CacheReuse
}

// Range and precision of the histograms. With two significant digits, a
// percentile is within 1 part in 100.
const (
	minLatencyUS      = 1
	maxLatencyUS      = 600_000_000
	significantDigits = 2
)

// PercentileError is the largest relative error of reported percentiles.
const PercentileError = 0.01

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{byPath: map[string]*pathCounts{}, firstToken: map[string]*hdrhistogram.Histogram{}, betweenTokens: map[string]*hdrhistogram.Histogram{}, reuse: map[string]CacheReuse{}}
}

// RecordEvent counts an event. t has the targets in force for its path.
func (r *Recorder) RecordEvent(ev Event, t Targets, now clock.Millis) {
	s := r.byPath[ev.Path]
	if s == nil {
		s = &pathCounts{}
		for i, l := range Windows {
			s.windows[i] = &window{length: l}
		}
		r.byPath[ev.Path] = s
	}
	s.targets = t
	countOf := func(ok bool) Count {
		if ok {
			return Count{Good: 1}
		}
		return Count{Bad: 1}
	}
	for _, w := range s.windows {
		w.add(2, countOf(ev.Served), now)
		if ev.Served {
			w.add(1, countOf(ev.Whole), now)
		}
		if ev.Streamed {
			w.add(0, countOf(ev.LatencyMet), now)
		}
	}
	if ev.Streamed {
		key := flowName(ev.Path)
		recordLatency(r.firstToken, key, ev.FirstTokenMS)
		if ev.BetweenTokensMS > 0 {
			recordLatency(r.betweenTokens, key, ev.BetweenTokensMS)
		}
	}
}

// flowName returns the partner/service of a path.
func flowName(path string) string {
	parts := strings.Split(path, "/")
	return parts[0] + "/" + parts[len(parts)-1]
}

func recordLatency(m map[string]*hdrhistogram.Histogram, key string, ms float64) {
	h := m[key]
	if h == nil {
		h = hdrhistogram.New(minLatencyUS, maxLatencyUS, significantDigits)
		m[key] = h
	}
	_ = h.RecordValue(min(maxLatencyUS, max(minLatencyUS, int64(ms*1000))))
}

// Row has the counts of a path, objective and window.
type Row struct {
	Path      string    `json:"path"`
	Objective Objective `json:"objective"`
	Target    float64   `json:"target"`
	// WindowMS is the length of the window in milliseconds.
	WindowMS clock.Millis `json:"window_ms"`
	Count
	Burn float64 `json:"burn"`
}

// Percentiles has the latency percentiles of a partner/service.
type Percentiles struct {
	// Flow is partner/service.
	Flow string `json:"flow"`
	// What is the latency: first_token or between_tokens.
	What string  `json:"what"`
	P50  float64 `json:"p50_ms"`
	P95  float64 `json:"p95_ms"`
	P99  float64 `json:"p99_ms"`
	N    int64   `json:"n"`
}

// Snapshot has the counts of one process in a form that Merge can add up.
type Snapshot struct {
	Rows []Row `json:"rows"`
	// First and Between are encoded histograms of the time to the first token and
	// the time between tokens, by partner/service.
	First    map[string][]byte `json:"first,omitempty"`
	Between  map[string][]byte `json:"between,omitempty"`
	Measures Measures          `json:"measures"`
}

// Snapshot returns the counts at now.
func (r *Recorder) Snapshot(now clock.Millis) Snapshot {
	s := Snapshot{First: encodeHistograms(r.firstToken), Between: encodeHistograms(r.betweenTokens), Measures: Measures{Reuse: maps.Clone(r.reuse)}}
	for path, pc := range r.byPath {
		for wi, w := range pc.windows {
			for oi, o := range Objectives {
				if c := w.sum(oi, now); c.Good+c.Bad > 0 {
					t := pc.targets.target(o)
					s.Rows = append(s.Rows, Row{path, o, t, Windows[wi], c, c.BurnRate(t)})
				}
			}
		}
	}
	sortRows(s.Rows)
	return s
}

func encodeHistograms(m map[string]*hdrhistogram.Histogram) map[string][]byte {
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
