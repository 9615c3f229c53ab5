// Playdays generates days for the users' bench from seeds, has the bench run them and prints the
// results. It exits with 1 if a rule was broken, and with 2 if days could not be written or run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/weldfall/weldfall/internal/days"
)

type args struct {
	Bench  days.Bench `arg:"positional,required" help:"path of the bench; run this in the root of the code under test"`
	Site   string     `arg:"positional,required" help:"path of a site file"`
	Dir    string     `arg:"--dir,required" help:"directory for day files, output and an edited site file"`
	Deploy []string   `arg:"--deploy" help:"unusual deployments: edits of the site file, applied in order"`
	Jobs   int        `arg:"--jobs" default:"2" help:"days to run in parallel"`
	Why    string     `arg:"--why" default:"Days of our own" help:"text for the journal"`
	List   bool       `arg:"--list" help:"write the days, but do not run them"`
	days.Options
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := run(ctx, a)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "playdays:", err)
	if errors.Is(err, days.ErrRulesBroken) {
		os.Exit(1)
	}
	os.Exit(2)
}

func run(ctx context.Context, a args) error {
	err := os.MkdirAll(a.Dir, 0o755)
	if err == nil && len(a.Deploy) > 0 {
		a.Site, err = days.WriteEdited(a.Site, a.Dir, a.Deploy)
	}
	if err != nil {
		return err
	}
	text, err := os.ReadFile(a.Site)
	if err != nil {
		return err
	}
	site, err := days.ParseSite(text)
	if err != nil {
		return fmt.Errorf("%s: %w", a.Site, err)
	}
	kinds, err := a.Bench.Kinds(ctx, a.Site)
	if err != nil {
		return err
	}
	all, err := site.Draw(kinds, a.Options)
	if err != nil {
		return err
	}
	for _, d := range all {
		if err := d.Write(a.Dir); err != nil {
			return err
		}
		if a.List {
			fmt.Println(d.Path(a.Dir))
		}
	}
	if a.List {
		return nil
	}
	plays := a.Bench.PlayAll(ctx, a.Site, a.Dir, all, a.Jobs, a.Why)
	return days.WriteReport(os.Stdout, plays, fmt.Sprintf("%s run %s", a.Bench, a.Site))
}
