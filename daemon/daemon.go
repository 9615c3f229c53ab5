// Package daemon runs on the same machine as engines or instances of plain services. It
// decides which requests they run, queues them fairly, relays responses so that entries can
// resume them, and is a witness for at-most-once requests.
package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/daemon/fair"
	"github.com/weldfall/weldfall/fleet"
	"github.com/weldfall/weldfall/fleet/member"
	"github.com/weldfall/weldfall/fleet/once"
	"github.com/weldfall/weldfall/fleet/source"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/route"
	"github.com/weldfall/weldfall/settings"
	"github.com/weldfall/weldfall/verdict"
)

// Engine is an engine or service instance of a daemon.
type Engine struct {
	ID string `toml:"id"`
	// Addr is the engine's host:port.
	Addr string `toml:"addr"`
	// Slots is the number of concurrent requests until the engine reports its own.
	Slots int `toml:"slots"`
}

// Config is the configuration of a Daemon.
type Config struct {
	ID        string
	Hall      string
	Pool      string
	Engines   []Engine
	Bootstrap []string
	Platform  *source.Client
	Clock     *clock.Clock
	Log       *slog.Logger
}

// Daemon is the state of a daemon process.
type Daemon struct {
	cfg      Config
	clk      *clock.Clock
	log      *slog.Logger
	node     *fleet.Node
	links    *link.Pool
	engines  map[string]*engine
	attempts *attempts

	mu       sync.Mutex
	witness  *once.Witness
	draining bool
}

var _ link.Handler = (*Daemon)(nil)

// New returns a daemon, which serves once Run is called.
func New(cfg Config) *Daemon {
	d := &Daemon{
		cfg: cfg, clk: cfg.Clock, log: cfg.Log, engines: map[string]*engine{}, attempts: newAttempts(),
		witness: once.NewWitness(cfg.Clock.Now(), cfg.Clock.Wall(), once.MaxKeys),
	}
	d.links = link.NewPool(cfg.Clock, d)
	d.node = fleet.New(fleet.Config{
		ID: cfg.ID, Role: member.Daemon, Hall: cfg.Hall, Bootstrap: cfg.Bootstrap, Platform: cfg.Platform,
		Clock: cfg.Clock, Log: cfg.Log, Pool: d.links, Loads: d.loads,
	})
	for _, e := range cfg.Engines {
		d.engines[e.ID] = newEngine(e.ID, e.Addr, e.Slots, cfg.Clock, d.node.FreshestLoads, cfg.Log)
	}
	return d
}

// Node returns the process's node in the fleet.
func (d *Daemon) Node() *fleet.Node { return d.node }

// Ready reports whether the daemon accepts requests.
func (d *Daemon) Ready() bool { return d.node.Ready() && !d.isDraining() }

func (d *Daemon) loads() []wire.Load {
	out := make([]wire.Load, 0, len(d.engines))
	for _, e := range d.engines {
		out = append(out, e.load())
	}
	return out
}

// Run serves on ln until ctx is done. For a planned stop, call Drain first.
func (d *Daemon) Run(ctx context.Context, ln net.Listener) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { d.node.Run(ctx) })
	wg.Go(func() { clock.Every(ctx, sweepPeriod, d.sweep) })
	for _, e := range d.engines {
		wg.Go(func() { e.poll(ctx, func() float64 { return d.settings().Fairness.ReserveRatio }) })
	}
	defer d.links.Close()
	link.Serve(ctx, ln, d.clk, d.log, d, 0)
	return nil
}

func (d *Daemon) sweep() {
	for _, a := range d.attempts.sweep(d.clk.Now()) {
		d.abandon(a, verdict.CallerGone, "no entry reads the response")
	}
	if !d.isDraining() && d.node.Ready() && d.node.State(d.cfg.ID) == member.Leaving {
		d.log.Info("leaving", "cause", "list")
		d.startDraining()
	}
}

func (d *Daemon) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

// Call implements link.Handler.
func (d *Daemon) Call(_ context.Context, c *link.Conn, method string, params json.RawMessage) (any, error) {
	if res, ok, err := d.node.Handle(method, params); ok {
		return res, err
	}
	switch method {
	case wire.MethodRun:
		r, err := wire.Decode[wire.Run](method, params)
		if err != nil {
			return nil, err
		}
		return d.run(c, r), nil
	case wire.MethodResume:
		r, err := wire.Decode[wire.Resume](method, params)
		if err != nil {
			return nil, err
		}
		return d.resume(c, r), nil
	case wire.MethodCancel:
		r, err := wire.Decode[wire.Cancel](method, params)
		if err != nil {
			return nil, err
		}
		return d.cancel(r), nil
	case wire.MethodClaim:
		r, err := wire.Decode[wire.Claim](method, params)
		if err != nil {
			return nil, err
		}
		return d.claim(r), nil
	case wire.MethodImport:
		r, err := wire.Decode[wire.Import](method, params)
		if err != nil {
			return nil, err
		}
		return struct{}{}, d.importCache(r)
	}
	return nil, fmt.Errorf("unknown method %q", method)
}

// Frame implements link.Handler. A daemon receives no frames.
func (d *Daemon) Frame(wire.Frame) {}

// Notify implements link.Handler.
func (d *Daemon) Notify(_ *link.Conn, method string, params json.RawMessage) {
	switch method {
	case wire.MethodAck:
		var m wire.Ack
		if json.Unmarshal(params, &m) == nil {
			d.attempts.ack(m)
		}
	case wire.MethodRelease:
		var r wire.Claim
		if json.Unmarshal(params, &r) == nil {
			d.mu.Lock()
			d.witness.Release(r.Key, r.Attempt)
			d.mu.Unlock()
		}
	case wire.MethodPlaced:
		var p wire.Placed
		if json.Unmarshal(params, &p) == nil && d.engines[p.Home] != nil {
			e := d.engines[p.Home]
			e.mu.Lock()
			e.cache.RecordPlacement(p.Chat, p.Engine)
			e.mu.Unlock()
		}
	default:
		d.node.HandleNotify(method, params)
	}
}

// refuse returns the result of a refusal, after which the entry may try another engine.
func refuse(reason verdict.Reason, message string) wire.Result {
	return wire.Result{Verdict: verdict.NotRun, Reason: reason, Message: message, Refused: true}
}

// run decides on a request and, if it is admitted, queues it and sends it to the engine. It
// returns the result after the response was relayed over c.
func (d *Daemon) run(c *link.Conn, r wire.Run) wire.Result {
	e := d.engines[r.Engine]
	if e == nil {
		return refuse(verdict.NoEngine, "no engine "+r.Engine+" at this daemon")
	}
	a, isNew := d.attempts.begin(r)
	if a == nil {
		return refuse(verdict.CallerGone, "request was canceled before it arrived")
	}
	if !isNew {
		res, _ := a.follow(c, 0)
		return res
	}
	d.node.SampleLoads(r.Loads)
	slot, res := e.submit(a, d.poolState(r))
	if slot == nil {
		d.attempts.drop(r.Attempt)
		a.end(res, d.clk.Now())
		return res
	}
	go d.serve(e, a, slot)
	res, _ = a.follow(c, 0)
	return res
}

// poolState returns the part of route.State that doesn't depend on the engine. The mean
// load is the sender's estimate, if it has one.
func (d *Daemon) poolState(r wire.Run) route.State {
	engines, mean := d.node.PoolLoad(d.cfg.Pool)
	if r.MeanLoad >= 0 {
		mean = r.MeanLoad
	}
	return route.State{
		Mean: mean, Engines: engines, Bound: r.LoadBound, Floor: r.LoadFloor,
		Draining: d.isDraining(),
	}
}

// serve waits until an attempt gets a slot, relays it and ends it.
func (d *Daemon) serve(e *engine, a *attempt, slot <-chan fair.Item) {
	deadline := make(chan struct{})
	go func() {
		if d.clk.SleepUntil(a.ctx, d.clk.Now()+a.run.Remaining) {
			close(deadline)
		}
	}()
	it, ok := d.awaitSlot(e, a, slot, deadline)
	if !ok {
		return
	}
	startedAt := d.clk.Now()
	res := d.relay(e, a, deadline)
	cost := res.Usage.Prompt - res.Usage.Cached + res.Usage.Completion
	if cost == 0 {
		cost = it.Cost
	}
	if res.Verdict == verdict.Ran {
		e.recordTurn(a.run.Chat, res.Usage)
	}
	e.release(it, cost, d.clk.Now()-startedAt)
	res.Loads = e.loads()
	a.end(res, d.clk.Now())
	metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_attempts_total{engine=%q,verdict=%q}`, e.id, res.Verdict)).Inc()
}

// awaitSlot returns the item that holds a slot for the attempt. It returns false if the
// attempt ended in the queue: it was shed or canceled, or its deadline passed.
func (d *Daemon) awaitSlot(e *engine, a *attempt, slot <-chan fair.Item, deadline <-chan struct{}) (fair.Item, bool) {
	select {
	case it := <-slot:
		return it, true
	case <-deadline:
		d.abandon(a, verdict.Deadline, "deadline exceeded in the queue")
	case <-a.ctx.Done():
	}
	if e.dequeue(a.run.Attempt) {
		return fair.Item{}, false
	}
	select {
	case it := <-slot:
		// The attempt got its slot at the same time. The caller must release it.
		return it, true
	default:
		// The item was shed.
		return fair.Item{}, false
	}
}

// relay runs an attempt that has a slot, at most until the deadline.
func (d *Daemon) relay(e *engine, a *attempt, deadline <-chan struct{}) wire.Result {
	if !a.start() {
		return wire.Result{Verdict: verdict.NotRun}
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-deadline:
			d.abandon(a, verdict.Deadline, "deadline exceeded while the request ran")
		case <-done:
		}
	}()
	return e.relay(a)
}

// abandon ends an attempt and, if it was sent, cancels it at the engine. It returns the
// attempt's verdict.
func (d *Daemon) abandon(a *attempt, reason verdict.Reason, message string) verdict.Verdict {
	v := a.abandon(reason, message, d.clk.Now())
	if v != verdict.MayHaveRun {
		return v
	}
	if a.end(wire.Result{Verdict: v, Reason: reason, Message: message}, d.clk.Now()) {
		if e := d.engines[a.run.Engine]; e != nil {
			go e.cancel(a)
		}
	}
	return v
}

// resume sends the rest of an attempt's response over a new connection.
func (d *Daemon) resume(c *link.Conn, r wire.Resume) wire.Result {
	if r.BootID != link.BootID() {
		return wire.Result{Verdict: verdict.MayHaveRun, Reason: verdict.LinkLost, Message: "daemon was replaced while the request ran"}
	}
	a := d.attempts.findOrFence(r.Attempt, d.clk.Now())
	if a == nil {
		return refuse(verdict.LinkLost, "request did not arrive")
	}
	metrics.GetOrCreateCounter("weldfall_resumed_total").Inc()
	// An acknowledgment may have been lost with the connection.
	a.ack(r.From)
	res, _ := a.follow(c, r.From)
	return res
}

// cancel abandons an attempt on behalf of an entry.
func (d *Daemon) cancel(r wire.Cancel) wire.Canceled {
	if r.BootID != link.BootID() {
		return wire.Canceled{Verdict: verdict.MayHaveRun}
	}
	a := d.attempts.findOrFence(r.Attempt, d.clk.Now())
	if a == nil {
		return wire.Canceled{Verdict: verdict.NotRun}
	}
	return wire.Canceled{Verdict: d.abandon(a, verdict.CallerGone, "caller disconnected")}
}

// claim handles a claim as a witness. It grants nothing if the daemon may be partitioned
// from the fleet.
func (d *Daemon) claim(c wire.Claim) wire.Grant {
	if !d.node.MajorityReachable() || !d.node.Ready() {
		return wire.Grant{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.witness.Claim(c, d.clk.Now(), d.clk.Wall())
}

func (d *Daemon) importCache(r wire.Import) error {
	e := d.engines[r.Engine]
	if e == nil || d.isDraining() {
		return fmt.Errorf("import: daemon has no engine %s or is draining", r.Engine)
	}
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout.Duration())
	defer cancel()
	if err := e.client.ImportPrefix(ctx, strconv.FormatUint(r.Chat, 16), r.Blob); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.servesChats = true
	e.cache.RecordTurn(r.Chat, r.Tokens, d.clk.Now())
	return nil
}

func (d *Daemon) settings() settings.Values { return d.node.Effective(settings.FleetPath) }
