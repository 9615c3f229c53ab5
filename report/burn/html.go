package burn

import (
	"fmt"
	"html/template"
	"io"
	"math"
)

// bar is a bar of a plot, in SVG user units.
type bar struct {
	X, Y, W, H float64
	Label      string
	Value      string
	Class      string
}

// plot is a bar chart with a line at a burn rate of 1.
type plot struct {
	Title  string
	Width  float64
	Height float64
	Line   float64
	Bars   []bar
}

// Dimensions of a plot in SVG user units.
const (
	plotHeight = 150
	barWidth   = 46
	barGap     = 14
	labelSpace = 64
	// The logarithmic scale of burn rates ends at maxPlotRate and starts at
	// minPlotRate.
	maxPlotRate = 100
	minPlotRate = 0.01
)

// barHeight returns the height of the bar for a burn rate.
func barHeight(rate float64) float64 {
	clamped := min(maxPlotRate, max(minPlotRate, rate))
	return plotHeight * math.Log(clamped/minPlotRate) / math.Log(maxPlotRate/minPlotRate)
}

// barClass returns the CSS class of the bar for a burn rate.
func barClass(rate float64) string {
	switch {
	case rate >= 14.4:
		return "page"
	case rate >= 1:
		return "over"
	default:
		return "good"
	}
}

// makePlots returns a plot for each objective and window that has rows.
func makePlots(rep Report) []plot {
	var out []plot
	for _, o := range Objectives {
		for _, w := range Windows {
			p := plot{Title: fmt.Sprintf("%s, last %s", o, w.Duration()), Height: plotHeight + labelSpace, Line: plotHeight - barHeight(1)}
			for _, r := range rep.Rows {
				if r.Objective != o || r.WindowMS != w {
					continue
				}
				h := max(1, barHeight(r.Burn))
				p.Bars = append(p.Bars, bar{
					X: float64(len(p.Bars)) * (barWidth + barGap), Y: plotHeight - h, W: barWidth, H: h,
					Label: r.Path, Value: fmt.Sprintf("%.2f", r.Burn), Class: barClass(r.Burn),
				})
			}
			p.Width = float64(len(p.Bars))*(barWidth+barGap) + labelSpace
			if len(p.Bars) > 0 {
				out = append(out, p)
			}
		}
	}
	return out
}

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"mid": func(b bar) float64 { return b.X + b.W/2 },
	"up":  func(b bar) float64 { return b.Y - 4 },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>weldfall: burn of service levels</title>
<style>
body{font:14px system-ui,sans-serif;margin:2em;color:#222;max-width:1200px}
table{border-collapse:collapse;margin:1em 0}td,th{padding:3px 12px;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child,td:nth-child(2),th:nth-child(2){text-align:left}
svg{margin:0 2em 1em 0;overflow:visible}.good{fill:#4a8f5b}.over{fill:#d9a441}.page{fill:#c0392b}
.alert{background:#fbeaea;border-left:4px solid #c0392b;padding:6px 12px;margin:4px 0}
text{font-size:11px;fill:#222}h2{margin-top:1.6em}figure{display:inline-block;margin:0;vertical-align:top}figcaption{font-weight:600;margin-bottom:18px}
</style></head><body>
<h1>Burn of service levels</h1>
<p>{{len .Report.Sources}} processes. A burn of 1 spends the error budget exactly; the dashed line is at 1, the scale is logarithmic. Counts are exact, percentiles within {{.Error}}%.</p>
{{range .Report.Alerts}}<div class="alert"><b>{{.Severity}}</b> {{.Path}}: {{.Objective}} burns {{printf "%.1f" .Burn}} in both windows</div>{{else}}<p>No budget is being spent too fast in two windows at once.</p>{{end}}
<h2>Burn</h2>
{{range .Plots}}<figure><figcaption>{{.Title}}</figcaption><svg width="{{.Width}}" height="{{.Height}}" role="img" aria-label="{{.Title}}">
{{range .Bars}}<rect class="{{.Class}}" x="{{.X}}" y="{{.Y}}" width="{{.W}}" height="{{.H}}"/><text x="{{mid .}}" y="{{up .}}" text-anchor="middle">{{.Value}}</text><text transform="translate({{mid .}},160) rotate(25)">{{.Label}}</text>
{{end}}<line x1="0" x2="{{.Width}}" y1="{{.Line}}" y2="{{.Line}}" stroke="#555" stroke-dasharray="4 4"/></svg></figure>
{{end}}
<h2>Measures</h2>
<table><tr><th>measure</th><th>of</th><th>value</th><th>unit</th></tr>
{{range .Report.Measures}}<tr><td>{{.Measure}}</td><td>{{.Of}}</td><td>{{printf "%.3f" .Value}}</td><td>{{.Unit}}</td></tr>
{{end}}</table>
<h2>Times</h2>
<table><tr><th>flow</th><th>time</th><th>p50 ms</th><th>p95 ms</th><th>p99 ms</th><th>requests</th></tr>
{{range .Report.Percentiles}}<tr><td>{{.Flow}}</td><td>{{.What}}</td><td>{{printf "%.1f" .P50}}</td><td>{{printf "%.1f" .P95}}</td><td>{{printf "%.1f" .P99}}</td><td>{{.N}}</td></tr>
{{end}}</table>
<h2>Counts</h2>
<table><tr><th>path</th><th>objective</th><th>target</th><th>window</th><th>good</th><th>bad</th><th>burn</th></tr>
{{range .Report.Rows}}<tr><td>{{.Path}}</td><td>{{.Objective}}</td><td>{{.Target}}</td><td>{{.WindowMS.Duration}}</td><td>{{.Good}}</td><td>{{.Bad}}</td><td>{{printf "%.2f" .Burn}}</td></tr>
{{end}}</table>
</body></html>
`))

// WriteHTML writes the report as a self-contained HTML page. It fails if w does.
func WriteHTML(w io.Writer, rep Report) error {
	err := pageTemplate.Execute(w, map[string]any{"Report": rep, "Plots": makePlots(rep), "Error": PercentileError * 100})
	if err != nil {
		return fmt.Errorf("write burn page: %w", err)
	}
	return nil
}
