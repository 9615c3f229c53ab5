package commands

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/weldfall/weldfall/report/account"
)

type accountCmd struct {
	Step  time.Duration `arg:"--step" default:"1s" help:"length of the intervals by which losses are reported"`
	Files []string      `arg:"positional,required" help:"logs of the processes"`
}

func (c *accountCmd) run(out, _ io.Writer) error {
	if c.Step <= 0 {
		return usagef("--step %s: must be a positive duration, such as 1s", c.Step)
	}
	a := account.New()
	for _, path := range c.Files {
		if err := readLog(a, path); err != nil {
			return err
		}
	}
	return a.WriteReport(out, c.Step)
}

func readLog(a *account.Account, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return usageError{err}
	}
	defer func() { _ = f.Close() }()
	if err := a.ReadLog(f); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
