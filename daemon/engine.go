package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/daemon/fair"
	"github.com/weldfall/weldfall/daemon/target"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/route"
	"github.com/weldfall/weldfall/verdict"
)

// engine is an engine or an instance of a plain service of this daemon, with the queue in
// front of it.
type engine struct {
	id     string
	client *target.Client
	clk    *clock.Clock

	mu    sync.Mutex
	queue *fair.Queue
	// queued and slots have the waiting attempts and the channels on which they get slots,
	// by attempt number.
	queued map[uint64]*attempt
	slots  map[uint64]chan fair.Item
	cache  *route.CacheIndex
	// servesChats is true once a chat was offered or imported. Only then is the target an
	// engine that reports its load and cache. A plain service would handle these polls, two
	// per second, as requests of callers.
	servesChats bool
	// serviceTime is the moving average of the time that a request runs, in milliseconds.
	// It is used to compute the retry delay of refused requests.
	serviceTime float64
	cacheEvents eventCursor
	// requestCount is the value of requests after the last change of the queue.
	requestCount atomic.Int64
	incarnations incarnations
	// otherLoads returns the freshest known loads of other engines.
	otherLoads func() []wire.Load
	log        *slog.Logger
}

// defaultCacheTokens is the assumed size of the cache until the engine reports it.
const defaultCacheTokens = 1 << 20

func newEngine(id, addr string, slots int, clk *clock.Clock, otherLoads func() []wire.Load, log *slog.Logger) *engine {
	return &engine{
		id: id, otherLoads: otherLoads, log: log, client: target.New(addr, log), clk: clk,
		queue: fair.New(1, max(1, slots)), queued: map[uint64]*attempt{}, slots: map[uint64]chan fair.Item{},
		cache: route.NewCacheIndex(defaultCacheTokens), serviceTime: 100,
	}
}

// requests returns the number of running and waiting requests. The caller holds mu.
func (e *engine) requests() int { return e.queue.Running() + e.queue.Len() }

// load returns the engine's load without locking mu. The node calls it with its own mutex
// locked, and this package calls the node with mu locked.
func (e *engine) load() wire.Load {
	return wire.Load{Engine: e.id, Requests: int(e.requestCount.Load())}
}

// loads returns the engine's own load and the freshest known loads of others.
func (e *engine) loads() []wire.Load { return append([]wire.Load{e.load()}, e.otherLoads()...) }

// retryAfter estimates the time until a slot is free for another request, in milliseconds.
// The caller holds mu.
func (e *engine) retryAfter() clock.Millis {
	delay := e.serviceTime * float64(e.queue.Len()+1) / float64(e.queue.Slots())
	return max(100, min(30_000, clock.Millis(delay)))
}

// submit decides on a request and, if it is admitted, queues it. The returned channel
// receives the item when it gets a slot. It is nil if the request is refused.
func (e *engine) submit(a *attempt, s route.State) (<-chan fair.Item, wire.Result) {
	slot, res := e.admit(a, s)
	if slot == nil {
		res.Loads = append(res.Loads, e.otherLoads()...)
	}
	return slot, res
}

func (e *engine) admit(a *attempt, s route.State) (<-chan fair.Item, wire.Result) {
	r := a.run
	e.mu.Lock()
	defer e.mu.Unlock()
	s.Engine, s.Requests, s.Slots = e.id, e.requests(), e.queue.Slots()
	s.UnderShare = e.queue.UnderShare(r.Partner, validShare(r.PartnerShare), e.clk.Now())
	e.servesChats = e.servesChats || r.Chat != 0
	offer := route.Offer{Chat: r.Chat, Mode: r.Mode}
	res := wire.Result{Verdict: verdict.NotRun, Refused: true, Loads: []wire.Load{{Engine: e.id, Requests: e.requests()}}}
	switch admission := route.Decide(offer, s, e.cache).(type) {
	case route.Redirect:
		res.Reason, res.Redirect, res.Cached, res.Message = verdict.NotCached, admission.Engine, admission.Cached, "another engine may have the chat cached"
		return nil, res
	case route.Refuse:
		res.Reason, res.Message = refusal(admission)
		res.RetryAfter = e.retryAfter()
		return nil, res
	case route.Admit:
	}
	slot := make(chan fair.Item, 1)
	e.queued[r.Attempt], e.slots[r.Attempt] = a, slot
	e.queue.SetLimit(max(1, r.QueueLimit))
	shed := e.queue.Push(fair.Item{
		ID: r.Attempt, Partner: r.Partner, Workspace: r.Workspace,
		PartnerShare: validShare(r.PartnerShare), WorkspaceShare: validShare(r.WorkspaceShare), Cost: max(1, r.Cost),
	}, e.clk.Now())
	for _, it := range shed {
		e.shed(it)
	}
	e.dispatch()
	return slot, wire.Result{}
}

// validShare returns s, or 1 if s is out of range, which protects the queue from invalid
// shares.
func validShare(s float64) float64 {
	if !(s > 0.0001 && s < 1e6) {
		return 1
	}
	return s
}

func refusal(r route.Refuse) (verdict.Reason, string) {
	switch {
	case r.Draining:
		return verdict.Leaving, "engine is draining"
	case r.NotCached:
		return verdict.NotCached, "chat is not cached"
	default:
		return verdict.OverBound, "engine is over its load limit"
	}
}

// shed ends an attempt whose item was shed from the queue. The caller holds mu.
func (e *engine) shed(it fair.Item) {
	a := e.queued[it.ID]
	e.removeQueued(it.ID)
	metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_shed_total{partner=%q}`, it.Partner)).Inc()
	a.end(wire.Result{
		Verdict: verdict.NotRun, Reason: verdict.Shed, Message: "queue is full and the workspace is over its share",
		RetryAfter: e.retryAfter(), Loads: []wire.Load{{Engine: e.id, Requests: e.requests()}},
	}, e.clk.Now())
}

// removeQueued removes a request that no longer waits. The caller holds mu.
func (e *engine) removeQueued(id uint64) {
	delete(e.queued, id)
	delete(e.slots, id)
}

// dispatch assigns free slots to the next items of the queue. The caller holds mu.
func (e *engine) dispatch() {
	defer func() { e.requestCount.Store(int64(e.requests())) }()
	for {
		it, ok := e.queue.Pop(e.clk.Now())
		if !ok {
			return
		}
		e.slots[it.ID] <- it
		e.removeQueued(it.ID)
	}
}

// dequeue removes a waiting request from the queue. It returns false if it does not wait.
func (e *engine) dequeue(id uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ok := e.queue.Remove(id)
	if ok {
		e.removeQueued(id)
		e.requestCount.Store(int64(e.requests()))
	}
	return ok
}

// release releases the slot of a finished request and records its cost in tokens and its
// run time.
func (e *engine) release(it fair.Item, cost int, runTime clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue.Settle(it, max(1, cost))
	e.serviceTime += (float64(runTime) - e.serviceTime) / 16
	e.dispatch()
}

// recordTurn records the prefix that a finished turn left in the engine's cache.
func (e *engine) recordTurn(chat uint64, u wire.Usage) {
	if chat == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := e.cache.CachedTokens(chat)
	if cached > 0 && u.Cached == 0 {
		metrics.GetOrCreateCounter("weldfall_stale_belief_total").Inc()
	}
	e.cache.RecordTurn(chat, u.Prompt+u.Completion, e.clk.Now())
}

const (
	// pollPeriod is how often an engine's load report and events are read. They lag by
	// seconds anyway. The calls stay within the instance.
	pollPeriod  clock.Millis = 1000
	pollTimeout clock.Millis = 2000
)

// poll reads the engine's load report and cache events until ctx is done and updates the
// slots and their reserve.
func (e *engine) poll(ctx context.Context, reserveRatio func() float64) {
	for clock.Sleep(ctx, pollPeriod*9/10+clock.Millis(rand.Int64N(int64(pollPeriod)/5))) {
		e.mu.Lock()
		servesChats := e.servesChats
		e.mu.Unlock()
		if servesChats {
			e.readReports(ctx, reserveRatio())
		}
		e.mu.Lock()
		e.queue.PruneIdle(e.clk.Now())
		// Slots of the reserve may have become available to waiting requests.
		e.dispatch()
		e.mu.Unlock()
	}
}

// readReports reads the engine's load report and cache events.
func (e *engine) readReports(ctx context.Context, reserveRatio float64) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
	defer cancel()
	report, err := e.client.Load(ctx)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.cache.SetCapacity(report.CacheCapacity)
	if report.Slots > 0 {
		e.queue.SetSlots(report.Slots, int(reserveRatio*float64(report.Slots)))
	}
	after := e.cacheEvents.after()
	e.mu.Unlock()
	if events, err := e.client.CacheEvents(ctx, after); err == nil {
		e.applyCacheEvents(events, report.CacheTokens)
	}
}

// lostCacheRatio is the ratio of reported to expected cached tokens below which an engine
// has lost its cache. It is above zero because the report lags and the new incarnation
// caches prefixes, too.
const lostCacheRatio = 0.5

// applyCacheEvents applies the engine's events to the cache index, or clears the index if
// the engine has restarted. tokens is the reported total of cached tokens.
func (e *engine) applyCacheEvents(events []target.CacheEvent, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cacheEvents.restarted(events, float64(tokens) < lostCacheRatio*float64(e.cache.TotalTokens())) {
		e.log.Warn("engine_restarted", "engine", e.id, "chats_forgotten", len(e.cache.Chats()))
		metrics.GetOrCreateCounter("weldfall_engine_restarts_total").Inc()
		e.cache.Clear()
		return
	}
	now := e.clk.Now()
	for _, ev := range e.cacheEvents.advance(events) {
		chat, err := strconv.ParseUint(ev.Key, 16, 64)
		switch {
		case err != nil:
		case ev.Kind == target.EventEvicted:
			e.cache.RecordEvicted(chat, now-ev.Age)
		case ev.Kind == target.EventStored:
			e.cache.RecordStored(chat, ev.Tokens, now-ev.Age)
		}
	}
}
