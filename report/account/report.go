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
	name      string
	byOutcome map[Outcome]int
	total     int
}

func (g *group) count(o Outcome) {
	if g.byOutcome == nil {
		g.byOutcome = map[Outcome]int{}
	}
	g.byOutcome[o]++
	g.total++
}

// lost returns how many requests were due a response and got none in time.
func (g *group) lost() int {
	return g.total - g.byOutcome[InTime] - g.byOutcome[CallerDisconnected] - g.byOutcome[Denied]
}

// groupBy counts the requests of each key, sorted by key.
func groupBy(requests []request, key func(request) string) []*group {
	byName := map[string]*group{}
	for _, r := range requests {
		g := byName[key(r)]
		if g == nil {
			g = &group{name: key(r)}
			byName[g.name] = g
		}
		g.count(r.Outcome)
	}
	out := make([]*group, 0, len(byName))
	for _, g := range byName {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *group) int { return cmp.Compare(a.name, b.name) })
	return out
}

// WriteReport prints the requests by route, the lost ones by cause with its share
// of all losses, and the intervals with losses. It fails if the logs have no
// requests or w fails.
func (a *Account) WriteReport(w io.Writer, interval time.Duration) error {
	if len(a.requests) == 0 {
		return fmt.Errorf("no requests in these logs: %d lines were skipped; pass the logs of all entries", a.skipped)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	heading := make([]string, 0, len(outcomes))
	for _, o := range outcomes {
		heading = append(heading, string(o))
	}
	columns := strings.Join(heading, "\t")
	_, _ = fmt.Fprintf(t, "kind\tasked\t%s\n", columns)
	for _, g := range groupBy(a.requests, func(r request) string { return r.route }) {
		writeGroup(t, g)
	}
	a.writeCauses(t)
	a.writeDemand(t)
	a.writeSuspects(t)
	a.writeRetries(t)
	a.writeStreams(t)
	a.writeTables(t)
	_, _ = fmt.Fprintf(t, "\nfrom\tasked\t%s\n", columns)
	for _, g := range groupBy(a.requests, func(r request) string { return r.endedAt.Truncate(interval).Format("15:04:05.000") }) {
		if g.lost() > 0 {
			writeGroup(t, g)
		}
	}
	_, _ = fmt.Fprintf(t, "\n%d requests, %d other lines that could not be read\n", len(a.requests), a.skipped)
	// Flush returns the first error of all writes.
	return t.Flush()
}

func writeGroup(w io.Writer, g *group) {
	_, _ = fmt.Fprintf(w, "%s\t%d", g.name, g.total)
	for _, o := range outcomes {
		_, _ = fmt.Fprintf(w, "\t%d", g.byOutcome[o])
	}
	_, _ = fmt.Fprintln(w)
}

// loss is a combination of outcome, cause and route.
type loss struct {
	Outcome
	Cause
	route string
}

// writeCauses prints the causes of losses, most frequent first.
func (a *Account) writeCauses(w io.Writer) {
	counts, total := map[loss]int{}, 0
	for _, r := range a.requests {
		if r.Cause != NoCause {
			counts[loss{r.Outcome, r.Cause, r.route}]++
			total++
		}
	}
	losses := make([]loss, 0, len(counts))
	for l := range counts {
		losses = append(losses, l)
	}
	slices.SortFunc(losses, func(a, b loss) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.route, b.route))
	})
	_, _ = fmt.Fprintf(w, "\nlost\tshare\toutcome\tcause\tkind\n")
	for _, l := range losses {
		_, _ = fmt.Fprintf(w, "%d\t%.1f%%\t%s\t%s\t%s\n", counts[l], 100*float64(counts[l])/float64(total), l.Outcome, l.Cause, l.route)
	}
}
