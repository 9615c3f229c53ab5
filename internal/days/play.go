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

// ErrRulesBroken is returned if days were run and a rule was broken.
var ErrRulesBroken = errors.New("rules were broken")

// Result is the bench's result of a day.
type Result struct {
	// Worth, Served, Refused and Failed are fractions of 1. Worth may be negative.
	Worth, Served, Refused, Failed float64
	// BrokenRules has the broken rules as printed by the bench, "" for none.
	BrokenRules string
}

var (
	resultLine      = regexp.MustCompile(`(?m)^\S+ +\d+/\d+ +\S+ +(-?[0-9.]+) +([0-9.]+) +([0-9.]+) +([0-9.]+)(?: +.*?(?:BROKEN: (.*?)(?: \(else .*)?)?)?$`)
	brokenRulesLine = regexp.MustCompile(`(?m)^rules broken: (.*)$`)
)

// ParseResult parses the output of one run. It fails if there is no result line.
func ParseResult(out string) (r Result, err error) {
	m := resultLine.FindStringSubmatch(out)
	if m == nil {
		lines := strings.Split(strings.TrimSpace(out), "\n")
		return r, fmt.Errorf("no result line; the last line is %q", lines[len(lines)-1])
	}
	for i, v := range []*float64{&r.Worth, &r.Served, &r.Refused, &r.Failed} {
		if *v, err = strconv.ParseFloat(m[1+i], 64); err != nil {
			return r, fmt.Errorf("result line: %w", err)
		}
	}
	r.BrokenRules = m[5]
	if b := brokenRulesLine.FindStringSubmatch(out); b != nil {
		r.BrokenRules = b[1]
	}
	return r, nil
}

// Bench is the path of the program that runs days with the code in the working directory.
type Bench string

// Kinds returns the kinds of trouble that a site may have.
func (b Bench) Kinds(ctx context.Context, site string) ([]Kind, error) {
	out, err := exec.CommandContext(ctx, string(b), "kinds", site).CombinedOutput()
	if err != nil {
		return nil, fmt.Errorf("%s kinds %s: %w: %s", b, site, err, out)
	}
	return ParseKinds(string(out))
}

// PlayedDay is a day with its result.
type PlayedDay struct {
	Day
	Result
	// Path is the path of the day file. The output is stored next to it.
	Path string
	// Err is the reason why the day has no result.
	Err error
}

// PlayAll runs the days, whose files are in dir, with the given number of jobs in parallel.
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
	_ = g.Wait() // errors are in PlayedDay.Err
	return plays
}

func (b Bench) play(ctx context.Context, site string, d Day, path, why string) PlayedDay {
	cmd := exec.CommandContext(ctx, string(b), "run", site, path, "--no-cpu", "--jobs", "1", "--seed", strconv.FormatUint(d.Seed, 10), "--why", why+": "+d.Name)
	out, runErr := cmd.CombinedOutput()
	p, outPath := PlayedDay{Day: d, Path: path}, path+".out"
	if p.Result, p.Err = ParseResult(string(out)); p.Err != nil {
		p.Err = fmt.Errorf("%s: %w (run: %v); see %s, or use fewer --jobs", path, p.Err, runErr, outPath)
	}
	if err := os.WriteFile(outPath, out, 0o644); err != nil {
		p.Err = err
	}
	return p
}

// row is the sum of the days of a label.
type row struct {
	Result
	days, broken int
}

// WriteReport prints each day that broke a rule, with the command that runs it again, and each
// day without a result. A table with a row for each label follows. It returns an error if there
// was any such day.
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

// String returns the numbers of days and the means of the results.
func (r *row) String() string {
	n := float64(max(1, r.days))
	return fmt.Sprintf("%5d %6d %6.3f %6.3f %7.3f %6.3f", r.days, r.broken, r.Worth/n, r.Served/n, r.Refused/n, r.Failed/n)
}
