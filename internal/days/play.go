package days

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/sync/errgroup"
)

// ErrRulesBroken says that days were played and a rule was broken.
var ErrRulesBroken = errors.New("rules were broken")

// Result is what the bench says of a day that it played.
type Result struct {
	// Worth, Served, Refused and Failed are shares of 1; Worth may fall below 0.
	Worth, Served, Refused, Failed float64
	// BrokenRules names the broken rules as the bench does; empty if all were kept.
	BrokenRules string
}

var (
	dayLine = regexp.MustCompile(`(?m)^\S+ +\d+/\d+ +\S+ +(-?[0-9.]+) +([0-9.]+) +([0-9.]+) +([0-9.]+)(?: +.*?(?:BROKEN: (.*?)(?: \(else .*)?)?)?$`)
	broken  = regexp.MustCompile(`(?m)^rules broken: (.*)$`)
)

// ParseResult reads the output of one run.
func ParseResult(out string) (r Result, err error) {
	m := dayLine.FindStringSubmatch(out)
	if m == nil {
		lines := strings.Split(strings.TrimSpace(out), "\n")
		return r, fmt.Errorf("no line of the day; the last line is %q", lines[len(lines)-1])
	}
	for i, v := range []*float64{&r.Worth, &r.Served, &r.Refused, &r.Failed} {
		if *v, err = strconv.ParseFloat(m[1+i], 64); err != nil {
			return r, fmt.Errorf("line of the day: %w", err)
		}
	}
	r.BrokenRules = m[5]
	if b := broken.FindStringSubmatch(out); b != nil {
		r.BrokenRules = b[1]
	}
	return r, nil
}

// Bench is the program that plays days on the code in the working directory.
type Bench string

// Kinds asks which kinds of trouble a site may have.
func (b Bench) Kinds(ctx context.Context, site string) ([]Kind, error) {
	out, err := exec.CommandContext(ctx, string(b), "kinds", site).CombinedOutput()
	if err != nil {
		return nil, fmt.Errorf("%s kinds %s: %w: %s", b, site, err, out)
	}
	return ParseKinds(string(out))
}

// PlayedDay is a day with what became of it.
type PlayedDay struct {
	Day
	Result
	// Path is that of the day file; the output lies beside it.
	Path string
	// Err says why the day was not judged.
	Err error
}

// PlayAll plays days whose files lie in dir, some at once.
func (b Bench) PlayAll(ctx context.Context, site, dir string, all []Day, jobs int, why string) []PlayedDay {
	plays := make([]PlayedDay, len(all))
	var g errgroup.Group
	g.SetLimit(max(1, jobs))
	for i, d := range all {
		g.Go(func() error {
			plays[i] = b.play(ctx, site, d, d.Path(dir), why)
			return nil
		})
	}
	_ = g.Wait() // none returns an error: each is kept with its day
	return plays
}

func (b Bench) play(ctx context.Context, site string, d Day, path, why string) PlayedDay {
	cmd := exec.CommandContext(ctx, string(b), "run", site, path, "--no-cpu", "--jobs", "1", "--seed", strconv.FormatUint(d.Seed, 10), "--why", why+": "+d.Name)
	out, failed := cmd.CombinedOutput()
	p, kept := PlayedDay{Day: d, Path: path}, path+".out"
	if p.Result, p.Err = ParseResult(string(out)); p.Err != nil {
		p.Err = fmt.Errorf("%s: %w (run: %v); see %s, or play fewer at once", path, p.Err, failed, kept)
	}
	if err := os.WriteFile(kept, out, 0o644); err != nil {
		p.Err = err
	}
	return p
}

// row adds up the days of one label.
type row struct {
	Result
	days, broken int
}

// WriteReport prints each broken or unplayed day, with the run that plays it again,
// then a table with a row for each label. Its error says if there was any.
func WriteReport(w io.Writer, plays []PlayedDay, run string) error {
	all, rows, unplayed := row{}, map[string]*row{}, 0
	for _, p := range plays {
		if rows[p.Label] == nil {
			rows[p.Label] = &row{}
		}
		if p.Err != nil {
			unplayed++
			fmt.Fprintln(w, "not played:", p.Err)
			continue
		}
		if p.BrokenRules != "" {
			fmt.Fprintf(w, "broken: %s: %s %s --no-cpu --seed %d --why TEXT\n", p.BrokenRules, run, p.Path, p.Seed)
		}
		rows[p.Label].add(p.Result)
		all.add(p.Result)
	}
	fmt.Fprintf(w, "%-40s  days broken  worth served refused failed\n", "kind")
	for _, label := range slices.Sorted(maps.Keys(rows)) {
		fmt.Fprintf(w, "%-40s %s\n", label, rows[label])
	}
	fmt.Fprintf(w, "%-40s %s\n%d days were not played\n", "all", &all, unplayed)
	if all.broken > 0 {
		return ErrRulesBroken
	} else if unplayed > 0 {
		return fmt.Errorf("%d days were not played", unplayed)
	}
	return nil
}

func (r *row) add(o Result) {
	if r.days++; o.BrokenRules != "" {
		r.broken++
	}
	r.Worth, r.Served, r.Refused, r.Failed = r.Worth+o.Worth, r.Served+o.Served, r.Refused+o.Refused, r.Failed+o.Failed
}

// String returns the sums of days and the means of the rest.
func (r *row) String() string {
	n := float64(max(1, r.days))
	return fmt.Sprintf("%5d %6d %6.3f %6.3f %7.3f %6.3f", r.days, r.broken, r.Worth/n, r.Served/n, r.Refused/n, r.Failed/n)
}
