// Knownred prints the tests in the list of known failures, for CI. "knownred skip FILE" prints
// the pattern for -skip. "knownred tests FILE" prints a line for each test, with its pattern for
// -run and its name.
package main

import (
	"fmt"
	"os"

	"github.com/weldfall/weldfall/internal/knownred"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: knownred skip|tests FILE")
	}
	f, err := os.Open(args[1])
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	entries, err := knownred.Read(f)
	if err != nil {
		return fmt.Errorf("%s: %w", args[1], err)
	}
	switch args[0] {
	case "skip":
		fmt.Println(knownred.SkipPattern(entries))
	case "tests":
		for _, e := range entries {
			if e.IsTest() {
				fmt.Println(e.Pattern(), e.Name())
			}
		}
	default:
		return fmt.Errorf("unknown command %q; use skip or tests", args[0])
	}
	return nil
}
