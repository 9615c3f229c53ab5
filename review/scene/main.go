// Command scene starts a small deployment on loopback addresses and plays the cases of this
// review that cannot be put as a day of the bench. run.sh of each case calls it.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	noSetup = 2
)

func main() {
	if len(os.Args) >= 5 && os.Args[1] == "engine" {
		if err := runEngine(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(noSetup)
		}
		return
	}
	if len(os.Args) != 4 || os.Args[1] != "case" {
		fmt.Fprintln(os.Stderr, "usage: scene case NUMBER FOLDER, at the root of the repository")
		os.Exit(noSetup)
	}
	os.Exit(play(os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code.
func play(number, folder string) int {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noSetup
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "scene")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noSetup
	}
	defer func() { _ = os.RemoveAll(dir) }()
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noSetup
	}
	rec := &record{w: bufio.NewWriter(out), start: time.Now()}
	defer func() { _ = rec.w.Flush() }()
	f, err := newFleet("target/weldfall gate", self, dir, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noSetup
	}
	defer f.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		f.close()
		_ = os.RemoveAll(dir)
		os.Exit(noSetup)
	}()
	cases := map[string]func(*fleet, bool) (int, error){"6": case6, "7": case7}
	run, ok := cases[number]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", number)
		return noSetup
	}
	code, err := run(f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return noSetup
	}
	if os.Getenv("KEEP_LOGS") != "" {
		for _, g := range f.gates {
			_ = os.Rename(g.logs.Name(), filepath.Join(os.Getenv("KEEP_LOGS"), g.name+".log"))
		}
	}
	return code
}
