package burn

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/settings"
)

// Report is the merged view of many processes. Counts are exact; percentiles
// are within PercentileError.
type Report struct {
	Sources []string `json:"sources"`
	// Rows has the paths and, above them, their workspaces and partners.
	Rows        []Row         `json:"rows"`
	Percentiles []Percentiles `json:"percentiles"`
	Alerts      []Alert       `json:"alerts"`
	// Measures are cache reuse, load skew and control traffic.
	Measures []MeasureRow `json:"measures"`
}

// Alert is a budget that is being spent too fast in two windows at once.
type Alert struct {
	Path      string    `json:"path"`
	Objective Objective `json:"objective"`
	// Burn is the lower of the two windows' rates.
	Burn     float64 `json:"burn"`
	Severity string  `json:"severity"`
}

// rule is a pair of windows and the rate that both must exceed; the rates are
// those of the SRE workbook for a budget of 30 days.
type rule struct {
	short, long clock.Millis
	rate        float64
	severity    string
}

var rules = []rule{
	{Windows[0], Windows[1], 14.4, "page"},
	{Windows[1], Windows[2], 6, "ticket"},
}

type rowKey struct {
	path      string
	objective Objective
	window    clock.Millis
}

// Merge adds up the snapshots of several processes, named by sources.
func Merge(sources []string, snaps []Snapshot) (Report, error) {
	rows := map[rowKey]Row{}
	for _, s := range snaps {
		for _, r := range s.Rows {
			for _, path := range settings.Ancestors(r.Path)[1:] {
				k := rowKey{path, r.Objective, r.WindowMS}
				sum := rows[k]
				sum.Path, sum.Objective, sum.WindowMS = path, r.Objective, r.WindowMS
				// Above a path, the strictest target below it applies.
				sum.Target = max(sum.Target, r.Target)
				sum.add(r.Count)
				rows[k] = sum
			}
		}
	}
	rep := Report{Sources: sources, Measures: measures(sources, snaps)}
	for k, r := range rows {
		r.Burn = r.BurnRate(r.Target)
		rows[k] = r
		rep.Rows = append(rep.Rows, r)
	}
	sortRows(rep.Rows)
	rep.Alerts = alerts(rows)
	for _, part := range []struct {
		what string
		of   func(Snapshot) map[string][]byte
	}{{"first_token", func(s Snapshot) map[string][]byte { return s.First }}, {"between_tokens", func(s Snapshot) map[string][]byte { return s.Between }}} {
		ps, err := percentiles(part.what, snaps, part.of)
		if err != nil {
			return Report{}, err
		}
		rep.Percentiles = append(rep.Percentiles, ps...)
	}
	return rep, nil
}

func alerts(rows map[rowKey]Row) []Alert {
	var out []Alert
	for k, short := range rows {
		for _, ru := range rules {
			long, ok := rows[rowKey{k.path, k.objective, ru.long}]
			if k.window != ru.short || !ok || short.Burn < ru.rate || long.Burn < ru.rate {
				continue
			}
			out = append(out, Alert{k.path, k.objective, min(short.Burn, long.Burn), ru.severity})
		}
	}
	slices.SortFunc(out, func(a, b Alert) int {
		return strings.Compare(a.Path+string(a.Objective)+a.Severity, b.Path+string(b.Objective)+b.Severity)
	})
	return out
}

func percentiles(what string, snaps []Snapshot, of func(Snapshot) map[string][]byte) ([]Percentiles, error) {
	sums := map[string]*hdrhistogram.Histogram{}
	for _, s := range snaps {
		for flow, raw := range of(s) {
			h, err := hdrhistogram.Decode(raw)
			if err != nil {
				return nil, fmt.Errorf("histogram %s of %s: %w", what, flow, err)
			}
			if sums[flow] == nil {
				sums[flow] = hdrhistogram.New(histLow, histHigh, histDigits)
			}
			sums[flow].Merge(h)
		}
	}
	var out []Percentiles
	for _, flow := range slices.Sorted(maps.Keys(sums)) {
		h := sums[flow]
		ms := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
		out = append(out, Percentiles{flow, what, ms(50), ms(95), ms(99), h.TotalCount()})
	}
	return out, nil
}
