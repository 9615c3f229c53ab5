package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/measure/load"
	"github.com/weldfall/weldfall/measure/trace"
)

type loadCmd struct {
	URLs     []string `arg:"--url,separate" help:"URL of an entry; give it again for more"`
	Pages    []string `arg:"--pages,separate" help:"URL of an entry's admin address, for skew and control bytes"`
	Keys     []string `arg:"--key,separate" help:"bearer key of a workspace; give it again for more, large ones first"`
	Demo     string   `arg:"--demo" help:"start a demo fleet and load this partner of it: planning or vigia"`
	Model    string   `arg:"--model" help:"model to ask for"`
	Shape    string   `arg:"--shape" default:"planning" help:"planning (long prompts) or vigia (short ones)"`
	Rate     float64  `arg:"--rate" default:"20" help:"requests a second, at most 2000"`
	Seconds  int      `arg:"--seconds" default:"30" help:"how long, at most 3600"`
	InFlight int      `arg:"--in-flight" default:"512" help:"most open requests"`
	Seed     uint64   `arg:"--seed" default:"1"`
	Record   string   `arg:"--record" help:"write the arrivals as a trace to this file"`
	JSON     bool     `arg:"--json" help:"write the report as JSON"`
}

// demoRunEntries is how many entries a demo has that is started for a load.
const demoRunEntries = 2

func (c *loadCmd) run(out, errOut io.Writer) error {
	shape, ok := load.Shapes[c.Shape]
	if !ok {
		return usagef("load: --shape is one of %v", slices.Sorted(maps.Keys(load.Shapes)))
	}
	if c.Rate <= 0 || c.Rate > 2000 || c.Seconds < 1 || c.Seconds > 3600 {
		return usagef("load: --rate is above 0 to 2000 and --seconds 1 to 3600")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if c.Demo != "" {
		closeDemo, err := c.useDemo(ctx, errOut)
		if err != nil {
			return err
		}
		defer closeDemo()
	}
	if len(c.URLs) == 0 || len(c.Keys) == 0 || c.Model == "" {
		return usagef("load: give --url, --key and --model, or --demo PARTNER")
	}
	rep, turns, err := load.Run(ctx, load.Config{
		URLs: c.URLs, Pages: c.Pages, Keys: c.Keys, Model: c.Model, Shape: shape, Rate: c.Rate,
		Duration: clock.Millis(c.Seconds) * 1000, MaxInFlight: c.InFlight, Seed: c.Seed, Clock: clock.System(),
	})
	if err != nil {
		return err
	}
	if err := c.record(turns); err != nil {
		return err
	}
	if c.JSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(rep)
	}
	return rep.WriteText(out)
}

func (c *loadCmd) record(turns []trace.Turn) error {
	if c.Record == "" {
		return nil
	}
	f, err := os.Create(c.Record)
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	if err := trace.Write(f, turns); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	return nil
}

// useDemo starts a demo fleet and aims the load at one partner of it.
func (c *loadCmd) useDemo(ctx context.Context, errOut io.Writer) (closeDemo func(), err error) {
	i := slices.IndexFunc(deployments, func(d deployment) bool { return d.partner == c.Demo })
	if i < 0 {
		return nil, usagef("load: --demo is planning or vigia")
	}
	ctx, cancel := context.WithCancel(ctx)
	f, err := startDemo(ctx, errOut, &demoCmd{Entries: demoRunEntries, Engines: 12, Listen: "127.0.0.1:0", LogLevel: "error"})
	if err != nil {
		cancel()
		return nil, err
	}
	if !f.waitReady(ctx) {
		cancel()
		f.close()
		return nil, fmt.Errorf("load: the demo fleet did not become ready")
	}
	d := deployments[i]
	c.Model = d.model
	for n := i * demoRunEntries; n < (i+1)*demoRunEntries; n++ {
		c.URLs = append(c.URLs, "http://"+f.callers[n])
		c.Pages = append(c.Pages, "http://"+f.pages[n])
	}
	for w := range d.workspaces {
		c.Keys = append(c.Keys, demoKey(d.partner, fmt.Sprintf("ws%d", w)))
	}
	return func() {
		cancel()
		f.close()
	}, nil
}
