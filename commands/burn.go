package commands

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/weldfall/weldfall/report/burn"
)

type burnCmd struct {
	URLs []string `arg:"positional,required" placeholder:"URL" help:"admin addresses of entries, for example http://10.0.0.1:9100"`
	JSON bool     `arg:"--json" help:"write the report as JSON"`
	HTML string   `arg:"--html" help:"write the report as one HTML page to this file"`
}

func (c *burnCmd) run(out, _ io.Writer) error {
	var snaps []burn.Snapshot
	for _, u := range c.URLs {
		var s burn.Snapshot
		if err := getJSON(strings.TrimSuffix(u, "/")+"/burn", &s); err != nil {
			return err
		}
		snaps = append(snaps, s)
	}
	rep, err := burn.Merge(c.URLs, snaps)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		f, err := os.Create(c.HTML)
		if err != nil {
			return usagef("%w", err)
		}
		if err := burn.WriteHTML(f, rep); err != nil {
			_ = f.Close()
			return err
		}
		if err := f.Close(); err != nil {
			return fmt.Errorf("write %s: %w", c.HTML, err)
		}
	}
	if c.JSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(rep)
	}
	return writeBurn(out, rep)
}

func writeBurn(out io.Writer, rep burn.Report) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "PATH\tOBJECTIVE\tTARGET\tWINDOW\tGOOD\tBAD\tBURN")
	for _, r := range rep.Rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%g\t%s\t%d\t%d\t%.2f\n", r.Path, r.Objective, r.Target, r.WindowMS.Duration(), r.Good, r.Bad, r.Burn)
	}
	_, _ = fmt.Fprintln(w, "\nFLOW\tTIME\tP50\tP95\tP99\tN")
	for _, p := range rep.Percentiles {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.1f ms\t%.1f ms\t%.1f ms\t%d\n", p.Flow, p.What, p.P50, p.P95, p.P99, p.N)
	}
	_, _ = fmt.Fprintln(w, "\nMEASURE\tOF\tVALUE\tUNIT")
	for _, m := range rep.Measures {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.3f\t%s\n", m.Measure, m.Of, m.Value, m.Unit)
	}
	for _, a := range rep.Alerts {
		_, _ = fmt.Fprintf(w, "\n%s\t%s\t%s\tburn %.1f\n", strings.ToUpper(a.Severity), a.Path, a.Objective, a.Burn)
	}
	_, _ = fmt.Fprintf(w, "\ncounts of %d processes are exact; percentiles are within %g%%\n", len(rep.Sources), burn.PercentileError*100)
	return w.Flush()
}
