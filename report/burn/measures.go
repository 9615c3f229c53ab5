package burn

import (
	"maps"
	"slices"
)

// CacheReuse counts the prompt tokens of returning chats.
type CacheReuse struct {
	// Prompt counts all prompt tokens of the turns, Cached those that an engine
	// had cached.
	Prompt int64 `json:"prompt"`
	Cached int64 `json:"cached"`
}

// Measures has the cache reuse, load skew and control traffic of a process.
type Measures struct {
	// Reuse is by partner, since the process started.
	Reuse map[string]CacheReuse `json:"reuse,omitempty"`
	// Skew is the current load of the most loaded engine divided by the mean load,
	// by pool.
	Skew map[string]float64 `json:"skew,omitempty"`
	// Control is the rate of control traffic in bytes per second since the process
	// started, by direction and kind.
	Control map[string]float64 `json:"control,omitempty"`
}

// RecordTurn counts the prompt tokens of a returning chat turn.
func (r *Recorder) RecordTurn(partner string, prompt, cached int) {
	t := r.reuse[partner]
	t.Prompt += int64(prompt)
	t.Cached += int64(cached)
	r.reuse[partner] = t
}

// MeasureRow is the value of a measure in a report.
type MeasureRow struct {
	Measure string  `json:"measure"`
	Of      string  `json:"of"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
}

// mergeMeasures merges the measures of several processes. It adds up tokens, takes
// the highest skew, and lists the control traffic of each process.
func mergeMeasures(sources []string, snaps []Snapshot) []MeasureRow {
	reuse, skew := map[string]CacheReuse{}, map[string]float64{}
	var control []MeasureRow
	for i, s := range snaps {
		for p, t := range s.Measures.Reuse {
			sum := reuse[p]
			sum.Prompt += t.Prompt
			sum.Cached += t.Cached
			reuse[p] = sum
		}
		for p, v := range s.Measures.Skew {
			skew[p] = max(skew[p], v)
		}
		total := 0.0
		for _, v := range s.Measures.Control {
			total += v
		}
		if i < len(sources) {
			control = append(control, MeasureRow{"control traffic", sources[i], total, "bytes/s"})
		}
	}
	var out []MeasureRow
	for _, p := range slices.Sorted(maps.Keys(reuse)) {
		if t := reuse[p]; t.Prompt > 0 {
			out = append(out, MeasureRow{"cache reuse of returning chats", p, float64(t.Cached) / float64(t.Prompt), "of prompt tokens"})
		}
	}
	for _, p := range slices.Sorted(maps.Keys(skew)) {
		out = append(out, MeasureRow{"load skew", p, skew[p], "highest over mean"})
	}
	return append(out, control...)
}
