package commands

import (
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

type traceRequestCmd struct {
	ID    string   `arg:"positional,required" help:"id of the request"`
	Files []string `arg:"positional,required" help:"logs of the processes"`
	Same  bool     `arg:"--same" help:"also print the lines of the same request under other ids, as far as log lines have its digest (asked)"`
}

var (
	timeRE   = regexp.MustCompile(`\btime=(\S+)`)
	digestRE = regexp.MustCompile(`\basked=(\S+)`)
)

// run prints the lines of a request sorted by time. The clocks of instances differ
// only slightly, and each line names its instance.
func (c *traceRequestCmd) run(out, _ io.Writer) error {
	var all []string
	for _, path := range c.Files {
		text, err := readFile(path)
		if err != nil {
			return err
		}
		for line := range strings.Lines(text) {
			all = append(all, strings.TrimRight(line, "\n"))
		}
	}
	lines := c.matchingLines(all)
	if len(lines) == 0 {
		return fmt.Errorf("request %q is in none of the %d files; pass the logs of all entries from that time", c.ID, len(c.Files))
	}
	slices.SortStableFunc(lines, func(a, b string) int { return cmp.Compare(lineTime(a), lineTime(b)) })
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

// matchingLines returns the lines of the request and, with --same, those with its
// digest.
func (c *traceRequestCmd) matchingLines(all []string) []string {
	requestRE := regexp.MustCompile(`\brequest=` + regexp.QuoteMeta(c.ID) + `(\s|$)`)
	digest := ""
	for _, line := range all {
		if m := digestRE.FindString(line); m != "" && requestRE.MatchString(line) {
			digest = m
		}
	}
	return slices.DeleteFunc(all, func(line string) bool {
		same := c.Same && digest != "" && digestRE.FindString(line) == digest
		return !same && !requestRE.MatchString(line)
	})
}

func lineTime(line string) string {
	if m := timeRE.FindStringSubmatch(line); m != nil {
		return m[1]
	}
	return ""
}
