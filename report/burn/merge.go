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

// Report merges the snapshots of several processes. Counts are exact, percentiles
// are within PercentileError.
type Report struct {
	Sources []string `json:"sources"`
	// Rows has the services and the sums of their workspaces and partners.
	Rows        []Row         `json:"rows"`
	Percentiles []Percentiles `json:"percentiles"`
	Alerts      []Alert       `json:"alerts"`
	Measures    []MeasureRow  `json:"measures"`
}

// Alert is an error budget whose burn rate is too high in two windows at once.
type Alert struct {
	Path      string    `json:"path"`
	Objective Objective `json:"objective"`
	// Burn is the lower of the burn rates of the two windows.
	Burn     float64 `json:"burn"`
	Severity string  `json:"severity"`
}

// alertRule raises an alert if the burn rates of both windows reach rate. The
// rates are those that the SRE workbook gives for a budget of 30 days.
type alertRule struct {
	short, long clock.Millis
	rate        float64
	severity    string
}

var alertRules = []alertRule{
	{Windows[0], Windows[1], 14.4, "page"},
	{Windows[1], Windows[2], 6, "ticket"},
}

type rowKey struct {
	path      string
	objective Objective
	window    clock.Millis
}

// Merge merges the snapshots of the processes in sources. It fails if a histogram
// cannot be decoded.
func Merge(sources []string, snaps []Snapshot) (Report, error) {
	rows := map[rowKey]Row{}
	for _, s := range snaps {
		for _, r := range s.Rows {
			for _, path := range settings.Ancestors(r.Path)[1:] {
				k := rowKey{path, r.Objective, r.WindowMS}
				sum := rows[k]
				sum.Path, sum.Objective, sum.WindowMS = path, r.Objective, r.WindowMS
				// A workspace or partner has the strictest target of its services.
				sum.Target = max(sum.Target, r.Target)
				sum.add(r.Count)
				rows[k] = sum
			}
		}
	}
	rep := Report{Sources: sources, Measures: mergeMeasures(sources, snaps)}
	for k, r := range rows {
		r.Burn = r.BurnRate(r.Target)
		rows[k] = r
		rep.Rows = append(rep.Rows, r)
	}
	sortRows(rep.Rows)
	rep.Alerts = findAlerts(rows)
	for _, hist := range []struct {
		what string
		of   func(Snapshot) map[string][]byte
	}{{"first_token", func(s Snapshot) map[string][]byte { return s.First }}, {"between_tokens", func(s Snapshot) map[string][]byte { return s.Between }}} {
		merged, err := mergePercentiles(hist.what, snaps, hist.of)
		if err != nil {
			return Report{}, err
		}
		rep.Percentiles = append(rep.Percentiles, merged...)
	}
	return rep, nil
}

func findAlerts(rows map[rowKey]Row) []Alert {
	var out []Alert
	for k, short := range rows {
		for _, ru := range alertRules {
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

func mergePercentiles(what string, snaps []Snapshot, of func(Snapshot) map[string][]byte) ([]Percentiles, error) {
	sums := map[string]*hdrhistogram.Histogram{}
	for _, s := range snaps {
		for flow, raw := range of(s) {
			h, err := hdrhistogram.Decode(raw)
			if err != nil {
				return nil, fmt.Errorf("decode histogram %s of %s: %w", what, flow, err)
			}
			if sums[flow] == nil {
				sums[flow] = hdrhistogram.New(minLatencyUS, maxLatencyUS, significantDigits)
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
