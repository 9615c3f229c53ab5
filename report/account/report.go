package account

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// group counts requests by outcome.
type group struct {
	name string
	n    map[Outcome]int
	all  int
}

func (g *group) add(o Outcome) {
	if g.n == nil {
		g.n = map[Outcome]int{}
	}
	g.n[o]++
	g.all++
}

// lost is how many of the group were owed an answer and had none in time.
func (g *group) lost() int { return g.all - g.n[InTime] - g.n[CallerDisconnected] - g.n[Denied] }

// groupBy counts requests by a name, in order of the names.
func groupBy(requests []request, name func(request) string) []*group {
	byName := map[string]*group{}
	for _, r := range requests {
		g := byName[name(r)]
		if g == nil {
			g = &group{name: name(r)}
			byName[g.name] = g
		}
		g.add(r.Outcome)
	}
	out := make([]*group, 0, len(byName))
	for _, g := range byName {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *group) int { return cmp.Compare(a.name, b.name) })
	return out
}

// WriteReport prints the account: by kind of request, by cause with its share of all
// that was lost, and by moments of the given length in which anything was.
func (a *Account) WriteReport(w io.Writer, step time.Duration) error {
	if len(a.requests) == 0 {
		return fmt.Errorf("no request in these logs: %d lines were passed over; give the logs of all entries", a.skipped)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	heading := make([]string, 0, len(outcomes))
	for _, o := range outcomes {
		heading = append(heading, string(o))
	}
	columns := strings.Join(heading, "\t")
	_, _ = fmt.Fprintf(t, "kind\tasked\t%s\n", columns)
	for _, g := range groupBy(a.requests, func(r request) string { return r.kind }) {
		writeGroup(t, g)
	}
	a.writeCauses(t)
	a.writeSuspects(t)
	a.writeRepeats(t)
	a.writeTables(t)
	_, _ = fmt.Fprintf(t, "\nfrom\tasked\t%s\n", columns)
	for _, g := range groupBy(a.requests, func(r request) string { return r.at.Truncate(step).Format("15:04:05.000") }) {
		if g.lost() > 0 {
			writeGroup(t, g)
		}
	}
	_, _ = fmt.Fprintf(t, "\n%d requests, %d other lines that could not be read\n", len(a.requests), a.skipped)
	// The table holds the first error of all writes.
	return t.Flush()
}

func writeGroup(w io.Writer, g *group) {
	_, _ = fmt.Fprintf(w, "%s\t%d", g.name, g.all)
	for _, o := range outcomes {
		_, _ = fmt.Fprintf(w, "\t%d", g.n[o])
	}
	_, _ = fmt.Fprintln(w)
}

// loss is a cause and what it did to a kind of request.
type loss struct {
	Outcome
	Cause
	kind string
}

// writeCauses prints what was lost, the most first.
func (a *Account) writeCauses(w io.Writer) {
	counts, all := map[loss]int{}, 0
	for _, r := range a.requests {
		if r.Cause != NoCause {
			counts[loss{r.Outcome, r.Cause, r.kind}]++
			all++
		}
	}
	losses := make([]loss, 0, len(counts))
	for l := range counts {
		losses = append(losses, l)
	}
	slices.SortFunc(losses, func(a, b loss) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.kind, b.kind))
	})
	_, _ = fmt.Fprintf(w, "\nlost\tshare\toutcome\tcause\tkind\n")
	for _, l := range losses {
		_, _ = fmt.Fprintf(w, "%d\t%.1f%%\t%s\t%s\t%s\n", counts[l], 100*float64(counts[l])/float64(all), l.Outcome, l.Cause, l.kind)
	}
}
