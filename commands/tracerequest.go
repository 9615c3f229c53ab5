package commands

import (
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"

	"github.com/weldfall/weldfall/report/account"
)

type traceRequestCmd struct {
	ID    string   `arg:"positional,required" help:"id of the request"`
	Files []string `arg:"positional,required" help:"logs of the processes"`
	Same  bool     `arg:"--same" help:"also print the lines of the same request under other ids, as far as log lines have its digest (asked)"`
	// Stream prints the stream from the attempt that began it to the last.
	Stream bool `arg:"--stream" help:"also print the lines of the other attempts of the same stream, which name the one that began it (resumes)"`
}

var (
	timeRE   = regexp.MustCompile(`\btime=(\S+)`)
	digestRE = regexp.MustCompile(`\basked=(\S+)`)
	idRE     = regexp.MustCompile(`\brequest=(\S+)`)
	// resumesRE matches the field of a line that names the attempt that began the stream,
	// shortened to its first bytes.
	resumesRE = regexp.MustCompile(`\bresumes=(\S+)`)
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
// digest, and with --stream, those of all attempts of its stream.
func (c *traceRequestCmd) matchingLines(all []string) []string {
	ids := map[string]bool{c.ID: true}
	if c.Stream {
		ids = c.attempts(all)
	}
	digest := ""
	for _, line := range all {
		if m := digestRE.FindString(line); m != "" && field(idRE, line) == c.ID {
			digest = m
		}
	}
	return slices.DeleteFunc(all, func(line string) bool {
		same := c.Same && digest != "" && digestRE.FindString(line) == digest
		return !same && !ids[field(idRE, line)]
	})
}

// attempts returns the IDs of all attempts of the request's stream.
func (c *traceRequestCmd) attempts(all []string) map[string]bool {
	first := account.LoggedID(c.ID)
	for _, line := range all {
		if m := field(resumesRE, line); m != "" && field(idRE, line) == c.ID {
			first = m
		}
	}
	ids := map[string]bool{c.ID: true}
	for _, line := range all {
		id := field(idRE, line)
		if id != "" && (account.LoggedID(id) == first || field(resumesRE, line) == first) {
			ids[id] = true
		}
	}
	return ids
}

// field returns the value that a pattern of a field matches in a line, "" if none.
func field(re *regexp.Regexp, line string) string {
	if m := re.FindStringSubmatch(line); m != nil {
		return strings.Trim(m[1], `"`)
	}
	return ""
}

func lineTime(line string) string {
	if m := timeRE.FindStringSubmatch(line); m != nil {
		return m[1]
	}
	return ""
}
