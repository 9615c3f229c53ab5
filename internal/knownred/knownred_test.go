package knownred_test

import (
	"strings"
	"testing"

	"github.com/weldfall/weldfall/internal/knownred"
)

const list = "TestOne: `go test ./a -run TestOne`; seen once; issue 1\n" +
	"\n" +
	"TestTwo/part_(a.b): `go test ./a -run TestTwo`; seen twice; issue 2\n" +
	"vigia, a day: `fleetbench run SITE DAY --seed 7`; BUDGET 1; issue 3\n" +
	"FuzzThree: `go test ./a -fuzz FuzzThree`; ended early; issue 4\n"

func TestRead(t *testing.T) {
	entries, err := knownred.Read(strings.NewReader(list))
	if err != nil {
		t.Fatal(err)
	}
	var tests, others []string
	for _, e := range entries {
		if e.IsTest() {
			tests = append(tests, e.Name())
			continue
		}
		others = append(others, e.Name())
	}
	if got, want := strings.Join(tests, "; "), "TestOne; TestTwo/part_(a.b)"; got != want {
		t.Errorf("got tests %q, want %q", got, want)
	}
	if got, want := strings.Join(others, "; "), "vigia, a day; FuzzThree"; got != want {
		t.Errorf("got other entries %q, want %q", got, want)
	}
	if got, want := knownred.SkipPattern(entries), `^TestOne$|^TestTwo$/^part_\(a\.b\)$`; got != want {
		t.Errorf("got pattern %q, want %q", got, want)
	}
}

func TestReadRejectsInvalidEntries(t *testing.T) {
	for name, text := range map[string]string{
		"no command":   "TestOne: seen once; issue 1",
		"no name":      "`go test ./a`; seen once",
		"listed twice": "TestOne: `go test`; a\nTestOne: `go test`; b",
		"half a quote": "TestOne: `go test ./a; seen once",
	} {
		if _, err := knownred.Read(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), "line ") {
			t.Errorf("%s: got %v, want an error that names the line", name, err)
		}
	}
}

// The pattern of a subtest must skip neither its test nor other subtests.
func TestSkipPatternSkipsOnlyTheSubtest(t *testing.T) {
	entries, err := knownred.Read(strings.NewReader("TestOne/b: `go test`; seen once"))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := knownred.SkipPattern(entries), "^TestOne$/^b$"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
