package burn

import (
	"maps"
	"slices"
)

// CacheReuse is what the chats of a partner that returned read and found cached.
type CacheReuse struct {
	// Prompt counts prompt tokens of returning turns, Cached those of them
	// that an engine had cached.
	Prompt int64 `json:"prompt"`
	Cached int64 `json:"cached"`
}

// Measures are the users' three measures as one process sees them.
type Measures struct {
	// Reuse is by partner, since the process started.
	Reuse map[string]CacheReuse `json:"reuse,omitempty"`
	// Skew is the highest load of an engine over the mean of its pool, now.
	Skew map[string]float64 `json:"skew,omitempty"`
	// Control is bytes a second by direction and kind, since the process
	// started.
	Control map[string]float64 `json:"control,omitempty"`
}

// RecordTurn counts a returning chat turn of a partner.
func (r *Recorder) RecordTurn(partner string, prompt, cached int) {
	t := r.reuse[partner]
	t.Prompt += int64(prompt)
	t.Cached += int64(cached)
	r.reuse[partner] = t
}

// MeasureRow is one line of the three measures in a report.
type MeasureRow struct {
	Measure string  `json:"measure"`
	Of      string  `json:"of"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
}

// measures merges those of several processes: tokens are added up, skew is
// the worst that any sees, control traffic is each process's own.
func measures(sources []string, snaps []Snapshot) []MeasureRow {
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
