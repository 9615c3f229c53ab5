// Package daemon is the process beside a target: it decides exactly what runs
// on its engines, queues fairly, relays answers so that they can be resumed,
// and is a witness for requests that run at most once.
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

// Engine is an engine that the daemon fronts.
type Engine struct {
	ID string `toml:"id"`
	// Addr is host:port of the engine.
	Addr string `toml:"addr"`
	// Slots is used until the engine reports its own.
	Slots int `toml:"slots"`
}

// Config sets up a Daemon.
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

// Daemon is the process beside a target.
type Daemon struct {
	cfg      Config
	clk      *clock.Clock
	log      *slog.Logger
	node     *fleet.Node
	links    *link.Pool
	engines  map[string]*engine
	attempts *attempts

	mu      sync.Mutex
	witness *once.Witness
	leaving bool
}

var _ link.Handler = (*Daemon)(nil)

// New returns a daemon that is not yet running.
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

// Node returns the shared part of the process, for its pages.
func (d *Daemon) Node() *fleet.Node { return d.node }

// Ready reports whether the daemon takes requests.
func (d *Daemon) Ready() bool { return d.node.Ready() && !d.isLeaving() }

func (d *Daemon) loads() []wire.Load {
	out := make([]wire.Load, 0, len(d.engines))
	for _, e := range d.engines {
		out = append(out, e.load())
	}
	return out
}

// Run serves on ln until ctx is done. Call Leave before for a planned stop.
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
	return link.Serve(ctx, ln, d.clk, d, 0)
}

func (d *Daemon) sweep() {
	for _, a := range d.attempts.sweep(d.clk.Now()) {
		d.giveUp(a, verdict.CallerGone, "no entry follows the answer")
	}
	if !d.isLeaving() && d.node.Ready() && d.node.State(d.cfg.ID) == member.Leaving {
		d.log.Info("leaving", "cause", "list")
		d.startLeaving()
	}
}

func (d *Daemon) isLeaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving
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

// Frame implements link.Handler; a daemon gets no frames.
func (d *Daemon) Frame(wire.Frame) {}

// Notify implements link.Handler.
func (d *Daemon) Notify(_ *link.Conn, method string, params json.RawMessage) {
	switch method {
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
			e.book.RecordPlacement(p.Chat, p.Engine)
			e.mu.Unlock()
		}
	default:
		d.node.HandleNotify(method, params)
	}
}

// refuse is a result that lets the entry try elsewhere.
func refuse(reason verdict.Reason, message string) wire.Result {
	return wire.Result{Verdict: verdict.NotRun, Reason: reason, Message: message, Refused: true}
}

// run takes a request through decision, queue and engine.
func (d *Daemon) run(c *link.Conn, r wire.Run) wire.Result {
	e := d.engines[r.Engine]
	if e == nil {
		return refuse(verdict.NoEngine, "no engine "+r.Engine+" here")
	}
	a, fresh := d.attempts.begin(r)
	if a == nil {
		return refuse(verdict.CallerGone, "given up before it arrived")
	}
	if !fresh {
		res, _ := a.follow(c, 0)
		return res
	}
	d.node.SampleLoads(r.Loads)
	turn, res := e.enter(a, d.state(r))
	if turn == nil {
		d.attempts.drop(r.Attempt)
		a.end(res, d.clk.Now())
		return res
	}
	go d.serve(e, a, turn)
	res, _ = a.follow(c, 0)
	return res
}

// state is what the decision needs beside the engine's own state.
func (d *Daemon) state(r wire.Run) route.State {
	engines, mean := d.node.PoolLoad(d.cfg.Pool)
	if r.MeanLoad >= 0 {
		mean = r.MeanLoad
	}
	return route.State{
		Mean: mean, Engines: engines, Bound: r.LoadBound, Floor: r.LoadFloor,
		Draining: d.isLeaving(),
	}
}

// serve waits for the turn of an attempt, relays it and ends it.
func (d *Daemon) serve(e *engine, a *attempt, turn <-chan fair.Item) {
	deadline := make(chan struct{})
	go func() {
		if d.clk.SleepUntil(a.ctx, d.clk.Now()+a.run.Remaining) {
			close(deadline)
		}
	}()
	it, ok := d.awaitTurn(e, a, turn, deadline)
	if !ok {
		return
	}
	from := d.clk.Now()
	res := d.relay(e, a, deadline)
	cost := res.Usage.Prompt - res.Usage.Cached + res.Usage.Completion
	if cost == 0 {
		cost = it.Cost
	}
	if res.Verdict == verdict.Ran {
		e.ran(a.run.Chat, res.Usage)
	}
	e.done(it, cost, d.clk.Now()-from)
	res.Loads = e.loads()
	a.end(res, d.clk.Now())
	metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_attempts_total{engine=%q,verdict=%q}`, e.id, res.Verdict)).Inc()
}

// awaitTurn returns the item with which the attempt holds a slot. It reports
// false when the attempt ended in the queue: shed, given up or out of time.
func (d *Daemon) awaitTurn(e *engine, a *attempt, turn <-chan fair.Item, deadline <-chan struct{}) (fair.Item, bool) {
	select {
	case it := <-turn:
		return it, true
	case <-deadline:
		d.giveUp(a, verdict.Deadline, "the deadline passed in the queue")
	case <-a.ctx.Done():
	}
	if e.withdraw(a.run.Attempt) {
		return fair.Item{}, false
	}
	select {
	case it := <-turn:
		// The turn came at the same moment; the slot must be given back.
		return it, true
	default:
		// Shed: its place is gone already.
		return fair.Item{}, false
	}
}

// relay runs an attempt that has its turn, until the deadline at most.
func (d *Daemon) relay(e *engine, a *attempt, deadline <-chan struct{}) wire.Result {
	if !a.start() {
		return wire.Result{Verdict: verdict.NotRun}
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-deadline:
			d.giveUp(a, verdict.Deadline, "the deadline passed while it ran")
		case <-ended:
		}
	}()
	return e.relay(a)
}

// giveUp ends an attempt and, if it was sent, cancels it at the engine.
func (d *Daemon) giveUp(a *attempt, reason verdict.Reason, message string) verdict.Verdict {
	v := a.giveUp(reason, message, d.clk.Now())
	if v != verdict.MayHaveRun {
		return v
	}
	if a.end(wire.Result{Verdict: v, Reason: reason, Message: message}, d.clk.Now()) {
		if e := d.engines[a.run.Engine]; e != nil {
			go e.stop(a)
		}
	}
	return v
}

// resume takes up the answer of an attempt on a new connection.
func (d *Daemon) resume(c *link.Conn, r wire.Resume) wire.Result {
	if r.BootID != link.BootID() {
		return wire.Result{Verdict: verdict.MayHaveRun, Reason: verdict.LinkLost, Message: "the daemon was replaced while the request ran"}
	}
	a := d.attempts.findOrFence(r.Attempt, d.clk.Now())
	if a == nil {
		return refuse(verdict.LinkLost, "the request never arrived")
	}
	metrics.GetOrCreateCounter("weldfall_resumed_total").Inc()
	res, _ := a.follow(c, r.From)
	return res
}

// cancel gives an attempt up for an entry.
func (d *Daemon) cancel(r wire.Cancel) wire.Canceled {
	if r.BootID != link.BootID() {
		return wire.Canceled{Verdict: verdict.MayHaveRun}
	}
	a := d.attempts.findOrFence(r.Attempt, d.clk.Now())
	if a == nil {
		return wire.Canceled{Verdict: verdict.NotRun}
	}
	return wire.Canceled{Verdict: d.giveUp(a, verdict.CallerGone, "the caller has gone")}
}

// claim is a witness's answer. One that may be cut off promises nothing.
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
	if e == nil || d.isLeaving() {
		return fmt.Errorf("import: no engine %s here", r.Engine)
	}
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout.Duration())
	defer cancel()
	if err := e.client.ImportPrefix(ctx, strconv.FormatUint(r.Chat, 16), r.Blob); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keepsChats = true
	e.book.RecordTurn(r.Chat, r.Tokens, d.clk.Now())
	return nil
}

func (d *Daemon) settings() settings.Values { return d.node.Effective(settings.FleetPath) }
