// Package entry implements the process that callers connect to. It receives chat and service
// requests by HTTP, chooses an engine for each, and relays the response. The steps of processing
// a request are listed in filters.go.
package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/gorilla/mux"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/callers/bodies"
	"github.com/weldfall/weldfall/callers/chats"
	"github.com/weldfall/weldfall/callers/filter"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/duration"
	"github.com/weldfall/weldfall/engines/offer"
	"github.com/weldfall/weldfall/engines/quarantine"
	"github.com/weldfall/weldfall/engines/quarantine/gossip"
	"github.com/weldfall/weldfall/fleet"
	"github.com/weldfall/weldfall/fleet/member"
	"github.com/weldfall/weldfall/fleet/source"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/report/burn"
	"github.com/weldfall/weldfall/settings"
	"github.com/weldfall/weldfall/verdict"
)

const (
	// maxHeaderBytes limits the size of a request header.
	maxHeaderBytes = 64 << 10
	// headerTimeout is the longest time that a request header may take to arrive.
	headerTimeout clock.Millis = 5000
	// bodyTimeout is the longest time that a request body may take to arrive.
	bodyTimeout clock.Millis = 30_000
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout clock.Millis = 120_000
	// maxHints limits the number of chats whose latest engine is recorded, at about 100 bytes
	// each. A recorded engine saves a redirect; correctness does not depend on it.
	maxHints = 65536
)

// Config sets up an Entry.
type Config struct {
	ID        string
	Hall      string
	Bootstrap []string
	Platform  *source.Client
	// MaxConns limits the open connections of callers, 0 if there is no limit.
	MaxConns int
	// Memory is the memory of the machine in bytes.
	Memory int64
	Clock  *clock.Clock
	Log    *slog.Logger
}

// Entry is the process that callers connect to.
type Entry struct {
	cfg      Config
	clk      *clock.Clock
	log      *slog.Logger
	node     *fleet.Node
	links    *link.Pool
	offers   *offer.Client
	guard    *quarantine.Guard
	gossip   *gossip.Gossip
	limiters *limiters
	budget   *retryBudget
	burn     *burnRecorder
	seq      atomic.Int64
	draining atomic.Bool
	// drainingSince is when the drain began and drainUntil when it ends at the latest. Both
	// are 0 before.
	drainingSince, drainUntil atomic.Int64
	durations                 *duration.Estimator
	// abort cancels aborting, the context in which requests are served until the drain is
	// over.
	aborting context.Context
	abort    context.CancelCauseFunc
	active   atomic.Int64
	bodies   *bodies.Account
	// lastRequestAt is when the latest request arrived.
	lastRequestAt atomic.Int64

	mu    sync.Mutex
	hints *simplelru.LRU[uint64, string]
}

var _ link.Handler = (*Entry)(nil)

// burnRecorder is a burn.Recorder that is safe for concurrent use.
type burnRecorder struct {
	mu sync.Mutex
	r  *burn.Recorder
}

// Observe records one event.
func (b *burnRecorder) Observe(ev burn.Event, t burn.Targets, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.r.RecordEvent(ev, t, now)
}

// Turn records a turn of a returning chat.
func (b *burnRecorder) Turn(partner string, prompt, cached int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.r.RecordTurn(partner, prompt, cached)
}

// New returns an entry that is not running yet.
func New(cfg Config) *Entry {
	// NewLRU fails only if the size is not positive.
	hints, _ := simplelru.NewLRU[uint64, string](maxHints, nil)
	e := &Entry{
		cfg: cfg, clk: cfg.Clock, log: cfg.Log, limiters: newLimiters(),
		budget: newRetryBudget(), burn: &burnRecorder{r: burn.NewRecorder()}, hints: hints, bodies: bodies.NewAccount(bodies.Config{Memory: cfg.Memory, Clock: cfg.Clock, Log: cfg.Log}), durations: duration.NewEstimator(),
	}
	e.aborting, e.abort = context.WithCancelCause(context.Background())
	e.links = link.NewPool(cfg.Clock, e)
	e.node = fleet.New(fleet.Config{
		ID: cfg.ID, Role: member.Entry, Hall: cfg.Hall, Bootstrap: cfg.Bootstrap, Platform: cfg.Platform,
		Clock: cfg.Clock, Log: cfg.Log, Pool: e.links,
	})
	e.offers = offer.New(e.links, e.node)
	e.guard = quarantine.NewGuard(cfg.Clock, cfg.Log)
	e.gossip = gossip.New(gossip.Config{ID: cfg.ID, Source: suspectSource{e.guard}, Links: e.links, RandomPeers: e.node.RandomEntries, Log: cfg.Log})
	return e
}

// Node returns the entry's node of the fleet, for status pages.
func (e *Entry) Node() *fleet.Node { return e.node }

// Ready reports whether the entry accepts requests.
func (e *Entry) Ready() bool { return e.node.Ready() && !e.draining.Load() }

// Burn returns the burn rate data of this entry.
func (e *Entry) Burn() burn.Snapshot {
	e.burn.mu.Lock()
	s := e.burn.r.Snapshot(e.clk.Now())
	e.burn.mu.Unlock()
	s.Measures.Skew = e.node.Skew()
	s.Measures.Control = link.ControlRate(e.clk.Now())
	return s
}

// Call implements link.Handler.
func (e *Entry) Call(_ context.Context, _ *link.Conn, method string, params json.RawMessage) (any, error) {
	if method == gossip.MethodCompare {
		return e.gossip.HandleCompare(suspectSource{e.guard}, params)
	}
	res, ok, err := e.node.Handle(method, params)
	if !ok {
		return nil, fmt.Errorf("unknown method %q", method)
	}
	return res, err
}

// Notify implements link.Handler.
func (e *Entry) Notify(_ *link.Conn, method string, params json.RawMessage) {
	if method == gossip.MethodTell {
		e.gossip.HandleUpdate(params)
		return
	}
	e.node.HandleNotify(method, params)
}

// Frame implements link.Handler.
func (e *Entry) Frame(f wire.Frame) { e.offers.HandleFrame(f) }

// Run serves callers on ln and peers on peers until ctx is done. Then it waits for requests in
// flight, for at most the drain time, and returns.
func (e *Entry) Run(ctx context.Context, ln, peers net.Listener) error {
	nodeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { e.node.Run(nodeCtx) })
	wg.Go(func() { e.gossip.Run(nodeCtx) })
	wg.Go(func() { e.gossip.Compare(nodeCtx, suspectSource{e.guard}, fleet.ExchangePeriod) })
	wg.Go(func() { clock.Every(nodeCtx, fleet.ExchangePeriod, e.guard.Sweep) })
	wg.Go(func() { link.Serve(nodeCtx, peers, e.clk, e.log, e, 0) })
	srv := callers.New(callers.Config{
		Handler: e.handler(), MaxHeaderBytes: maxHeaderBytes, MaxConns: e.cfg.MaxConns, Clock: e.clk, Log: e.log,
		Limits: func() callers.Limits { return callers.Limits{Idle: idleTimeout, Header: headerTimeout} },
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ctx.Done()
		e.drain(srv)
	}()
	if err := srv.Serve(ln); err != nil {
		return err
	}
	<-done
	e.links.Close()
	return nil
}

// drain waits for requests in flight. The entry first reports that it is not ready, so that the
// load balancer sends no more requests.
func (e *Entry) drain(srv *callers.Server) {
	e.draining.Store(true)
	e.log.Info("leaving", "cause", "stop", "active", e.active.Load())
	e.node.AnnounceLeaving()
	now := e.clk.Now()
	end := now + e.node.Effective(settings.FleetPath).Leave.Drain()
	e.drainingSince.Store(int64(now))
	e.drainUntil.Store(int64(end))
	busy := func() bool { return e.active.Load() > 0 }
	srv.Drain(end, busy, func() clock.Millis { return clock.Millis(e.lastRequestAt.Load()) })
	level := slog.LevelInfo
	unfinished := e.active.Load()
	if unfinished > 0 {
		level = slog.LevelWarn
	}
	e.abortAll(srv)
	e.log.Log(context.Background(), level, "drained", "cut_off", unfinished)
	srv.Close()
}

func (e *Entry) handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(chats.Path, e.handle(func(*http.Request) string { return chats.Service })).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", e.models).Methods(http.MethodGet)
	serviceOf := func(r *http.Request) string { return mux.Vars(r)["service"] }
	r.PathPrefix("/services/{service}").HandlerFunc(e.handle(serviceOf))
	return r
}

func (e *Entry) newCall(w http.ResponseWriter, r *http.Request, service string) *call {
	if e.draining.Load() || callers.Full(r.Context()) {
		// Makes the caller send its next request on another connection, or to another entry.
		w.Header().Set("Connection", "close")
	}
	interruptRead := func() { _ = http.NewResponseController(w).SetReadDeadline(clock.Deadline(0)) }
	return &call{
		w: w, r: r, service: service, received: e.bodies.Body(interruptRead), startMicros: e.clk.Micros(), start: e.clk.Now(),
		id: fmt.Sprintf("%s-%x-%d", e.cfg.ID, link.BootID()&0xffffff, e.seq.Add(1)),
	}
}

// handle returns the HTTP handler for requests to a service, whose name it gets from service.
func (e *Entry) handle(service func(*http.Request) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.active.Add(1)
		defer e.active.Add(-1)
		c := e.newCall(w, r, service(r))
		defer c.received.Release()
		e.lastRequestAt.Store(int64(c.start))
		if !e.node.Ready() && !e.draining.Load() {
			e.respond(c, "ready", verdict.New(unhandledVerdict(r), verdict.NotReady, "this entry has not loaded the settings yet").WithRetryAfter(1000))
			e.account(c)
			return
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		defer context.AfterFunc(e.aborting, func() { cancel(errDrainOver) })()
		callers.SetRequest(ctx, c.id, 0)
		defer callers.OnDisconnect(ctx, cancel)()
		e.serve(ctx, c)
		if c.aborted {
			callers.Abort(w, r)
		}
		if c.err == nil {
			c.finishStream()
		}
	}
}

// unhandledVerdict returns the verdict for a request that is rejected before any filter. With an
// idempotency key it may be a retry of a request that has run.
func unhandledVerdict(r *http.Request) verdict.Verdict {
	if r.Header.Get(chats.HeaderIdempotencyKey) != "" {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models responds with the models that the caller's workspace may use.
func (e *Entry) models(w http.ResponseWriter, r *http.Request) {
	c := e.newCall(w, r, chats.Service)
	filters := filter.List[*call]{{Name: "identify", Run: e.identify}, {Name: "resolve", Run: e.resolve}}
	if name, err := filters.Run(r.Context(), c); err != nil {
		e.respond(c, name, err)
		return
	}
	out := modelList{Object: "list", Data: []model{}}
	for _, id := range slices.Sorted(maps.Keys(c.values.Models)) {
		out.Data = append(out.Data, model{ID: id, Object: "model", OwnedBy: c.partner})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// Active returns the number of requests in flight.
func (e *Entry) Active() int64 { return e.active.Load() }
