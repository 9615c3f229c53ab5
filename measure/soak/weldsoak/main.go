// Weldsoak runs soaks with random or given seeds and prints a line for each. A violated
// guarantee ends it with the seed, the smallest schedule that was found and the directory
// of the logs.
//
// Without --play the seeds alternate between plays: every second seed is planned, every
// eighth growing (but every thirty-second releasing) and one restarting, every sixteenth mixed, one breaking and one ending,
// every thirty-second copying, every sixty-fourth failing or leaving, and the others are hushing.
// The silent and the crowding play run with --play only; most runs of the silent one have a
// violation, which ends the program (KNOWN-RED.txt).
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/weldfall/weldfall/commands"
	"github.com/weldfall/weldfall/internal/clocktest"
	"github.com/weldfall/weldfall/internal/proxy"
	"github.com/weldfall/weldfall/measure/soak"
)

// mainEnv makes this program run as weldfall.
const mainEnv = "WELDSOAK_MAIN"

type args struct {
	Seed      uint64  `arg:"--seed" help:"seed of the first run; 0 draws one"`
	Minutes   float64 `arg:"--minutes" default:"1" help:"time in minutes for which new seeds are run"`
	Seconds   int     `arg:"--seconds" default:"20" help:"length of one run in seconds, at least 15"`
	Processes int     `arg:"--processes" default:"4" help:"number of gates, 1 to 200"`
	Play      string  `arg:"--play" help:"even, planned, mixed, growing, restarting, ending, sharing, copying, hushing, failing, breaking, releasing, silent, crowding or leaving; if empty, seeds alternate between all but even, sharing, silent and crowding"`
	Shrink    int     `arg:"--shrink" default:"16" help:"maximum number of runs that search for a smaller schedule after a violation"`
	Dir       string  `arg:"--dir" help:"directory for settings files and logs, created if missing; temporary if empty"`
}

func main() {
	if os.Getenv(mainEnv) != "" {
		clocktest.SimulateSuspensions()
		proxy.DialLinks()
		os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	var a args
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "weldsoak:", err)
		os.Exit(1)
	}
}

func run(a args) error {
	if a.Seconds < 15 || a.Processes < 1 || a.Processes > 200 {
		return fmt.Errorf("--seconds must be 15 or more and --processes 1 to 200")
	}
	if a.Play != "" && !slices.Contains(soak.Plays, soak.Play(a.Play)) {
		return fmt.Errorf("--play is %q and must be one of %v", a.Play, soak.Plays)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if a.Dir, err = makeDir(a.Dir); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	seed := a.Seed
	if seed == 0 {
		seed = rand.Uint64N(1 << 40)
	}
	end := time.Now().Add(time.Duration(a.Minutes * float64(time.Minute)))
	for ; time.Now().Before(end) && ctx.Err() == nil; seed++ {
		r, err := soak.Run(ctx, soak.Config{
			Seed: seed, Length: time.Duration(a.Seconds) * time.Second, Play: a.play(seed), Gates: a.Processes, Binary: self, Env: []string{mainEnv + "=1"}, Dir: a.Dir,
		})
		if err != nil {
			return err
		}
		fmt.Println(r)
		if len(r.Violations) > 0 {
			return reportViolations(ctx, r, a.Shrink)
		}
	}
	return nil
}

// play returns the play of a seed.
func (a args) play(seed uint64) soak.Play {
	switch {
	case a.Play != "":
		return soak.Play(a.Play)
	case seed%2 == 0:
		return soak.Planned
	case seed%32 == 9:
		return soak.Releasing
	case seed%8 == 1:
		return soak.Growing
	case seed%16 == 13:
		return soak.Breaking
	case seed%16 == 5:
		return soak.Mixed
	case seed%8 == 3:
		return soak.Restarting
	case seed%16 == 7:
		return soak.Ending
	case seed%32 == 15:
		return soak.Copying
	case seed%64 == 31:
		return soak.Failing
	case seed%64 == 63:
		return soak.Leaving
	}
	return soak.Hushing
}

// makeDir creates and returns the directory for settings files and logs.
func makeDir(dir string) (string, error) {
	if dir == "" {
		return os.MkdirTemp("", "weldsoak")
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", fmt.Errorf("--dir: cannot create the directory for settings files and logs: %w; pass a directory in a writable place or omit --dir", err)
	}
	return dir, nil
}

// reportViolations prints the violations and the smallest schedule that reproduces one.
func reportViolations(ctx context.Context, r soak.Report, runs int) error {
	for _, b := range r.Violations {
		fmt.Println("  broken:", b)
	}
	small := soak.Shrink(ctx, r, runs)
	for _, s := range small.Config.Steps {
		fmt.Println("  step:", s)
	}
	return fmt.Errorf("seed %d, play %s: %d violations; logs in %s", r.Config.Seed, r.Config.Play, len(r.Violations), r.Config.Dir)
}
