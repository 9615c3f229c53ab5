// Command drive runs one of the review cases that are scripts. It exits with 1 if the rule
// was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"

	"github.com/weldfall/weldfall/review/lab"
)

// cases are the cases by name.
var cases = map[string]func(l *lab.Lab) (broken bool, err error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: drive CASE RECORD")
		return lab.ExitNotRun
	}
	f, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		return lab.ExitNotRun
	}
	l, err := lab.New(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return lab.ExitNotRun
	}
	broken, err := f(l)
	switch {
	case err != nil:
		l.Recordf("not run: %v", err)
	default:
		l.Recordf("rule broken: %t", broken)
	}
	if closeErr := l.Close(); err == nil {
		err = closeErr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return lab.ExitNotRun
	case broken:
		return lab.ExitBroken
	}
	return lab.ExitHeld
}
