// Package knownred reads the list of tests that are known to fail. CI skips exactly these.
package knownred

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// Entry is a line of the list: a name, a command in backquotes, and the observed failure.
type Entry struct{ name string }

// Name returns the name of the test as go test prints it, or a description of another failure.
func (e Entry) Name() string { return e.name }

// testName matches tests and subtests. It does not match fuzz targets, since CI runs only their
// seeds.
var testName = regexp.MustCompile(`^Test[^\s]*$`)

// IsTest reports whether the entry names a test. CI only prints the other entries.
func (e Entry) IsTest() bool { return testName.MatchString(e.name) }

// Pattern returns the pattern that matches only this test, for the flags -run and -skip of go
// test.
func (e Entry) Pattern() string {
	levels := strings.Split(e.name, "/")
	for i, l := range levels {
		levels[i] = "^" + regexp.QuoteMeta(l) + "$"
	}
	return strings.Join(levels, "/")
}

// Read reads a list. The error for an invalid or duplicate entry names its line.
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
			return nil, fmt.Errorf("line %d: invalid entry %q; the form is NAME: `COMMAND`; what was seen; issue N", n, text)
		}
		if seen[name] {
			return nil, fmt.Errorf("line %d: %s is listed twice; keep one entry per test", n, name)
		}
		seen[name] = true
		entries = append(entries, Entry{name: name})
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("reading the list: %w", err)
	}
	return entries, nil
}

// SkipPattern returns the pattern for the flag -skip of go test that skips the tests of the list,
// "" if there are none.
func SkipPattern(entries []Entry) string {
	var patterns []string
	for _, e := range entries {
		if e.IsTest() {
			patterns = append(patterns, e.Pattern())
		}
	}
	return strings.Join(patterns, "|")
}
