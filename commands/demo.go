package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/logline"
	"github.com/weldfall/weldfall/daemon"
	"github.com/weldfall/weldfall/entry"
	"github.com/weldfall/weldfall/fleet/member"
	"github.com/weldfall/weldfall/fleet/source"
	"github.com/weldfall/weldfall/report/admin"
	"github.com/weldfall/weldfall/settings"
	"github.com/weldfall/weldfall/standin/engine"
	standinplatform "github.com/weldfall/weldfall/standin/platform"
	"github.com/weldfall/weldfall/standin/service"
)

type demoCmd struct {
	Entries  int    `arg:"--entries" default:"1" help:"entries for each partner, 1 to 8"`
	Engines  int    `arg:"--engines" default:"12" help:"model engines for each partner, 1 to 64"`
	Listen   string `arg:"--listen" default:"127.0.0.1:8080" help:"IP:PORT of the first entry; the others take any port"`
	LogLevel string `arg:"--log-level" default:"warn" help:"debug, info, warn or error"`
}

// demoPartner is a partner of the demo fleet.
type demoPartner struct {
	partner    string
	halls      []string
	pool       string
	model      string
	service    string
	workspaces int
	// loadFloor is routing.load_floor. It is higher for planning, which needs cache
	// reuse most, than for Vigía, which needs low load skew most.
	loadFloor int
}

var demoPartners = []demoPartner{
	{"planning", []string{"halfway-tree", "new-kingston", "portmore"}, "drafting", "drafting-1", "desk", 10, 4},
	{"vigia", []string{"moin-a", "moin-b", "limon-centro"}, "language", "language-1", "position", 10, 2},
}

// serviceInstances is the number of instances of each plain service.
const serviceInstances = 3

// Parameters of the stand-in engines.
const (
	demoSlots              = 16
	demoCacheTokens        = 400_000
	demoPrefillTokensPerMS = 50
	demoTokenInterval      = clock.Millis(5)
	demoResponseTokens     = 24
	demoReportLag          = clock.Millis(2000)
)

// demoFleet is a complete fleet in one process.
type demoFleet struct {
	ctx         context.Context
	errOut      io.Writer
	logLevel    string
	clk         *clock.Clock
	platform    *standinplatform.Platform
	platformURL string
	closers     []func()
	daemons     []*daemon.Daemon
	entries     []*entry.Entry
	// callerAddrs and adminAddrs have an address for each entry.
	callerAddrs, adminAddrs []string
	wg                      sync.WaitGroup
	stopDaemons             context.CancelFunc
	daemonCtx               context.Context
}

// demoKey returns the bearer key of a demo workspace.
func demoKey(partner, workspace string) string { return partner + "." + workspace + ".demo" }

func (c *demoCmd) run(out, errOut io.Writer) error {
	if c.Entries < 1 || c.Entries > 8 || c.Engines < 1 || c.Engines > 64 {
		return usagef("demo: --entries must be 1 to 8 and --engines 1 to 64")
	}
	if _, err := logline.New(errOut, c.LogLevel, "demo"); err != nil {
		return usagef("--log-level %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	f, err := startDemo(ctx, errOut, c)
	if err != nil {
		return err
	}
	defer f.shutdown()
	if !f.waitReady(ctx) {
		return errors.New("demo: the fleet did not become ready in 10 seconds")
	}
	d := demoPartners[0]
	_, _ = fmt.Fprintf(out, "ready: %d entries, %d engines and %d service instances for each of %d partners\n", c.Entries, c.Engines, serviceInstances, len(demoPartners))
	for i := range f.callerAddrs {
		_, _ = fmt.Fprintf(out, "entry http://%s  pages http://%s/engines\n", f.callerAddrs[i], f.adminAddrs[i])
	}
	_, _ = fmt.Fprintf(out, "workspace key: %s\ntry:\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\nCtrl-C drains and stops.\n",
		demoKey(d.partner, "ws0"), f.callerAddrs[0], demoKey(d.partner, "ws0"), d.model)
	<-ctx.Done()
	_, _ = fmt.Fprintln(out, "draining")
	return nil
}

// startDemo starts the platform, the engines, the services, the daemons and
// the entries. It fails if it cannot open a listener.
func startDemo(ctx context.Context, errOut io.Writer, c *demoCmd) (*demoFleet, error) {
	f := &demoFleet{ctx: ctx, errOut: errOut, logLevel: c.LogLevel, clk: clock.System()}
	f.daemonCtx, f.stopDaemons = context.WithCancel(context.WithoutCancel(ctx))
	f.platform = standinplatform.New(standinplatform.Config{Clock: f.clk})
	addr, err := f.serve(f.platform)
	if err != nil {
		return nil, err
	}
	f.platformURL = "http://" + addr
	f.publishSettings()
	for i, d := range demoPartners {
		if err := f.startPartner(i, d, c); err != nil {
			f.shutdown()
			return nil, err
		}
	}
	return f, nil
}

func (f *demoFleet) serve(h http.Handler) (string, error) {
	ls, err := listenAll("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	f.closers = append(f.closers, startServer(ls[0], h))
	return ls[0].Addr().String(), nil
}

// publishSettings publishes the settings tree on the platform.
func (f *demoFleet) publishSettings() {
	var models strings.Builder
	models.WriteString("[models]\n")
	for _, d := range demoPartners {
		_, _ = fmt.Fprintf(&models, "%q = %q\n", d.model, d.pool)
	}
	f.platform.Put("config", settings.FleetPath, models.String())
	for _, d := range demoPartners {
		f.platform.Put("config", d.partner, fmt.Sprintf("[fairness]\npartner_share = 1.0\n[routing]\nload_floor = %d\n", d.loadFloor))
		for i := range d.workspaces {
			ws := fmt.Sprintf("ws%d", i)
			path := d.partner + "/" + ws
			f.platform.Put("config", path, fmt.Sprintf("[access]\nkey_sha256 = [%q]\n", settings.HashKey(demoKey(d.partner, ws))))
			f.platform.Put("config", path+"/"+d.service, fmt.Sprintf("[routing]\npool = %q\n[once]\nrepeatable = false\n", d.service))
		}
	}
}

func (f *demoFleet) startPartner(index int, d demoPartner, c *demoCmd) error {
	for i := range c.Engines {
		id := fmt.Sprintf("%s-engine-%d", d.partner, i)
		h := engine.New(engine.Config{
			ID: id, Slots: demoSlots, CacheTokens: demoCacheTokens, PrefillTokensPerMS: demoPrefillTokensPerMS, TokenInterval: demoTokenInterval,
			Tokens: demoResponseTokens, ReportLag: demoReportLag, DropEveryNthEvent: 17, Clock: f.clk,
		})
		if err := f.startTarget(d, id, d.pool, d.halls[i%len(d.halls)], h); err != nil {
			return err
		}
	}
	for i := range serviceInstances {
		id := fmt.Sprintf("%s-%s-%d", d.partner, d.service, i)
		if err := f.startTarget(d, id, d.service, d.halls[i%len(d.halls)], service.New(service.Config{ID: id, Delay: 5})); err != nil {
			return err
		}
	}
	for i := range c.Entries {
		listen := "127.0.0.1:0"
		if index == 0 && i == 0 {
			listen = c.Listen
		}
		if err := f.startEntry(fmt.Sprintf("%s-entry-%d", d.partner, i), d.halls[i%len(d.halls)], listen); err != nil {
			return err
		}
	}
	return nil
}

// publish adds an instance to the platform's list.
func (f *demoFleet) publish(in member.Instance) {
	value, err := json.Marshal(in)
	if err != nil {
		panic(err)
	}
	f.platform.Put("instances", in.ID, string(value))
}

func (f *demoFleet) startTarget(d demoPartner, id, pool, hall string, h http.Handler) error {
	addr, err := f.serve(h)
	if err != nil {
		return err
	}
	ls, err := listenAll("127.0.0.1:0")
	if err != nil {
		return err
	}
	log, err := logline.New(f.errOut, f.logLevel, id+"-daemon")
	if err != nil {
		return err
	}
	dm := daemon.New(daemon.Config{
		ID: id + "-daemon", Hall: hall, Pool: pool, Engines: []daemon.Engine{{ID: id, Addr: addr, Slots: demoSlots}},
		Platform: source.New(f.platformURL, f.clk, log), Clock: f.clk, Log: log,
	})
	f.publish(member.Instance{
		ID: id + "-daemon", Role: member.Daemon, Addr: ls[0].Addr().String(), Hall: hall, Pool: pool,
		Engines: []member.EngineInfo{{ID: id, Slots: demoSlots}}, State: member.Live,
	})
	f.daemons = append(f.daemons, dm)
	f.wg.Go(func() { _ = dm.Run(f.daemonCtx, ls[0]) })
	return nil
}

func (f *demoFleet) startEntry(id, hall, listen string) error {
	ls, err := listenAll(listen, "127.0.0.1:0", "127.0.0.1:0")
	if err != nil {
		return err
	}
	log, err := logline.New(f.errOut, f.logLevel, id)
	if err != nil {
		return err
	}
	e := entry.New(entry.Config{ID: id, Hall: hall, Platform: source.New(f.platformURL, f.clk, log), Clock: f.clk, Log: log})
	f.publish(member.Instance{ID: id, Role: member.Entry, Addr: ls[1].Addr().String(), Hall: hall, State: member.Live})
	f.closers = append(f.closers, startServer(ls[2], admin.Handler(e)))
	f.entries = append(f.entries, e)
	f.callerAddrs = append(f.callerAddrs, ls[0].Addr().String())
	f.adminAddrs = append(f.adminAddrs, ls[2].Addr().String())
	f.wg.Go(func() { f.runEntry(e, ls[0], ls[1]) })
	return nil
}

func (f *demoFleet) runEntry(e *entry.Entry, callers, peers net.Listener) {
	if err := e.Run(f.ctx, callers, peers); err != nil {
		_, _ = fmt.Fprintln(f.errOut, "weldfall:", err)
	}
}

// readyTimeout bounds the wait for the fleet to become ready, and the wait for
// its requests to finish at shutdown.
const (
	readyTimeout      clock.Millis = 10_000
	readyPollInterval clock.Millis = 10
)

// waitReady reports whether the fleet became ready before readyTimeout and the
// end of ctx.
func (f *demoFleet) waitReady(ctx context.Context) bool {
	deadline := f.clk.Now() + readyTimeout
	for f.clk.Now() < deadline {
		if f.allReady() {
			return true
		}
		if !clock.Sleep(ctx, readyPollInterval) {
			return false
		}
	}
	return false
}

func (f *demoFleet) allReady() bool {
	for _, e := range f.entries {
		if !e.Ready() || len(e.Node().Engines()) < len(f.daemons) {
			return false
		}
	}
	for _, d := range f.daemons {
		if !d.Ready() {
			return false
		}
	}
	return true
}

// shutdown waits for the entries to finish their requests, then stops the rest.
func (f *demoFleet) shutdown() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, e := range f.entries {
			for e.Active() > 0 {
				clock.Sleep(context.Background(), readyPollInterval)
			}
		}
	}()
	select {
	case <-done:
	case <-f.after(readyTimeout):
	}
	f.stopDaemons()
	f.wg.Wait()
	for _, c := range f.closers {
		c()
	}
}

// after returns a channel that is closed after d.
func (f *demoFleet) after(d clock.Millis) <-chan struct{} {
	c := make(chan struct{})
	go func() {
		defer close(c)
		clock.Sleep(context.Background(), d)
	}()
	return c
}
