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
	URLs     []string `arg:"--url,separate" help:"URL of an entry; repeat for more entries"`
	Pages    []string `arg:"--pages,separate" help:"admin URL of an entry, read for the load skew and control traffic; only the first is used"`
	Keys     []string `arg:"--key,separate" help:"bearer key of a workspace; repeat for more workspaces, in descending order of load"`
	Demo     string   `arg:"--demo" help:"start a demo fleet and send the load to one of its partners, planning or vigia; replaces --model and adds to --url, --pages and --key"`
	Model    string   `arg:"--model" help:"model to request"`
	Shape    string   `arg:"--shape" default:"planning" help:"planning (long prompts) or vigia (short ones)"`
	Rate     float64  `arg:"--rate" default:"20" help:"requests a second, at most 2000"`
	Seconds  int      `arg:"--seconds" default:"30" help:"duration of the load in seconds, at most 3600"`
	InFlight int      `arg:"--in-flight" default:"512" help:"maximum number of requests in flight"`
	Seed     uint64   `arg:"--seed" default:"1" help:"seed of the random arrivals, prompts and chats"`
	Record   string   `arg:"--record" help:"write the arrivals as a trace to this file"`
	JSON     bool     `arg:"--json" help:"write the report as JSON"`
}

// loadDemoEntries is the number of entries for each partner of a demo fleet under
// load.
const loadDemoEntries = 2

func (c *loadCmd) run(out, errOut io.Writer) error {
	shape, ok := load.Shapes[c.Shape]
	if !ok {
		return usagef("load: --shape must be one of %v", slices.Sorted(maps.Keys(load.Shapes)))
	}
	if c.Rate <= 0 || c.Rate > 2000 || c.Seconds < 1 || c.Seconds > 3600 {
		return usagef("load: --rate must be above 0 and at most 2000, and --seconds 1 to 3600")
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
		return usagef("load: pass --url, --key and --model, or --demo PARTNER")
	}
	rep, turns, err := load.Run(ctx, load.Config{
		URLs: c.URLs, AdminURLs: c.Pages, Keys: c.Keys, Model: c.Model, Shape: shape, Rate: c.Rate,
		Duration: clock.Millis(c.Seconds) * 1000, MaxInFlight: c.InFlight, Seed: c.Seed, Clock: clock.System(),
	})
	if err != nil {
		return err
	}
	if err := c.writeTrace(turns); err != nil {
		return err
	}
	if c.JSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(rep)
	}
	return rep.WriteText(out)
}

// writeTrace writes the trace file if one was requested.
func (c *loadCmd) writeTrace(turns []trace.Turn) error {
	if c.Record == "" {
		return nil
	}
	f, err := os.Create(c.Record)
	if err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	if err := trace.Write(f, turns); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	return nil
}

// useDemo starts a demo fleet and directs the load at one of its partners. It replaces the
// model, and adds the URLs, admin URLs and keys of the partner to those that were given.
func (c *loadCmd) useDemo(ctx context.Context, errOut io.Writer) (closeDemo func(), err error) {
	i := slices.IndexFunc(demoPartners, func(d demoPartner) bool { return d.partner == c.Demo })
	if i < 0 {
		return nil, usagef("load: --demo must be planning or vigia")
	}
	ctx, cancel := context.WithCancel(ctx)
	// 12 engines are the default of the demo command.
	f, err := startDemo(ctx, errOut, &demoCmd{Entries: loadDemoEntries, Engines: 12, Listen: "127.0.0.1:0", LogLevel: "error"})
	if err != nil {
		cancel()
		return nil, err
	}
	if !f.waitReady(ctx) {
		cancel()
		f.shutdown()
		return nil, fmt.Errorf("load: the demo fleet did not become ready")
	}
	d := demoPartners[i]
	c.Model = d.model
	for n := i * loadDemoEntries; n < (i+1)*loadDemoEntries; n++ {
		c.URLs = append(c.URLs, "http://"+f.callerAddrs[n])
		c.Pages = append(c.Pages, "http://"+f.adminAddrs[n])
	}
	for w := range d.workspaces {
		c.Keys = append(c.Keys, demoKey(d.partner, fmt.Sprintf("ws%d", w)))
	}
	return func() {
		cancel()
		f.shutdown()
	}, nil
}
