// Package knownred reads the list of tests that are known to fail, so that CI passes over
// exactly these.
package knownred

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// Entry is a line of the list: a name, a command in backquotes, what was seen.
type Entry struct{ name string }

// Name returns the name of the test as go test prints it, or of what else fails.
func (e Entry) Name() string { return e.name }

// testName is a test or a subtest; a fuzz target is none, since CI runs only its seeds.
var testName = regexp.MustCompile(`^Test[^\s]*$`)

// IsTest reports whether the entry names a test. Anything else is only printed.
func (e Entry) IsTest() bool { return testName.MatchString(e.name) }

// Pattern returns what matches the test alone, for the flags -run and -skip of go test.
func (e Entry) Pattern() string {
	levels := strings.Split(e.name, "/")
	for i, l := range levels {
		levels[i] = "^" + regexp.QuoteMeta(l) + "$"
	}
	return strings.Join(levels, "/")
}

// Read reads a list. The error names the line that is no entry, and how one looks.
func Read(r io.Reader) ([]Entry, error) {
	var entries []Entry
	seen := map[string]bool{}
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" {
			continue
		}
		name, rest, ok := strings.Cut(text, ": ")
		if !ok || name == "" || !strings.HasPrefix(rest, "`") || strings.Count(rest, "`") < 2 {
			return nil, fmt.Errorf("line %d: %q is no entry; write NAME: `COMMAND`; what was seen; issue N", n, text)
		}
		if seen[name] {
			return nil, fmt.Errorf("line %d: %s is listed twice; keep one entry each", n, name)
		}
		seen[name] = true
		entries = append(entries, Entry{name: name})
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("reading the list: %w", err)
	}
	return entries, nil
}

// SkipPattern returns the pattern for the flag -skip of go test that passes over the tests of the
// list, "" if it names none.
func SkipPattern(entries []Entry) string {
	var patterns []string
	for _, e := range entries {
		if e.IsTest() {
			patterns = append(patterns, e.Pattern())
		}
	}
	return strings.Join(patterns, "|")
}
