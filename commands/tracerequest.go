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
}

var timeRE = regexp.MustCompile(`\btime=(\S+)`)

// run prints the lines of a request in order of their time. Clocks of
// instances differ by little, and each line names its instance.
func (c *traceRequestCmd) run(out, _ io.Writer) error {
	wanted := regexp.MustCompile(`\brequest=` + regexp.QuoteMeta(c.ID) + `(\s|$)`)
	var lines []string
	for _, path := range c.Files {
		text, err := readFile(path)
		if err != nil {
			return err
		}
		for line := range strings.Lines(text) {
			if wanted.MatchString(line) {
				lines = append(lines, strings.TrimRight(line, "\n"))
			}
		}
	}
	if len(lines) == 0 {
		return fmt.Errorf("request %q is in none of the %d files: ask for the logs of all entries of that time", c.ID, len(c.Files))
	}
	slices.SortStableFunc(lines, func(a, b string) int { return cmp.Compare(timeOf(a), timeOf(b)) })
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

func timeOf(line string) string {
	if m := timeRE.FindStringSubmatch(line); m != nil {
		return m[1]
	}
	return ""
}
