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

// engine is one engine, or one instance of a plain service, behind this
// daemon, with the queue in front of it.
type engine struct {
	id     string
	client *target.Client
	clk    *clock.Clock

	mu      sync.Mutex
	queue   *fair.Queue
	queued  map[uint64]*attempt
	granted map[uint64]chan fair.Item
	book    *route.CacheIndex
	// keepsChats is true once a chat was offered or brought here: only then is there
	// an engine that reports load and memory. A plain service would run the
	// questions, two a second, as requests of callers.
	keepsChats bool
	// serviceTime is a moving mean of the time a request runs, in
	// milliseconds, for telling a shed caller when to come back.
	serviceTime float64
	events      eventLog
	// counted is requests() as of the latest change of the queue.
	counted atomic.Int64
	lives   lives
	// others returns the freshest loads known of other engines.
	others func() []wire.Load
	log    *slog.Logger
}

// defaultCache is assumed until the engine reports its memory, in tokens.
const defaultCache = 1 << 20

func newEngine(id, addr string, slots int, clk *clock.Clock, others func() []wire.Load, log *slog.Logger) *engine {
	return &engine{
		id: id, others: others, log: log, client: target.New(addr), clk: clk,
		queue: fair.New(1, max(1, slots)), queued: map[uint64]*attempt{}, granted: map[uint64]chan fair.Item{},
		book: route.NewCacheIndex(defaultCache), serviceTime: 100,
	}
}

// requests returns the load: running and waiting. The caller holds mu.
func (e *engine) requests() int { return e.queue.Running() + e.queue.Len() }

// load takes no lock: the node asks for it under its own, and this package
// asks the node under the engine's.
func (e *engine) load() wire.Load {
	return wire.Load{Engine: e.id, Requests: int(e.counted.Load())}
}

// loads returns the engine's own load and the freshest of others.
func (e *engine) loads() []wire.Load { return append([]wire.Load{e.load()}, e.others()...) }

// retryAfter estimates when a slot will be free for one more request, in
// milliseconds; the caller holds mu.
func (e *engine) retryAfter() clock.Millis {
	wait := e.serviceTime * float64(e.queue.Len()+1) / float64(e.queue.Slots())
	return max(100, min(30_000, clock.Millis(wait)))
}

// enter decides about a request and, when it is admitted, queues it. The
// returned channel delivers the turn; it is nil when the request is refused.
func (e *engine) enter(a *attempt, s route.State) (<-chan fair.Item, wire.Result) {
	turn, res := e.admit(a, s)
	if turn == nil {
		res.Loads = append(res.Loads, e.others()...)
	}
	return turn, res
}

func (e *engine) admit(a *attempt, s route.State) (<-chan fair.Item, wire.Result) {
	r := a.run
	e.mu.Lock()
	defer e.mu.Unlock()
	s.Engine, s.Requests, s.Slots = e.id, e.requests(), e.queue.Slots()
	s.UnderShare = e.queue.UnderShare(r.Partner, share(r.PartnerShare), e.clk.Now())
	e.keepsChats = e.keepsChats || r.Chat != 0
	offer := route.Offer{Chat: r.Chat, Mode: r.Mode}
	res := wire.Result{Verdict: verdict.NotRun, Refused: true, Loads: []wire.Load{{Engine: e.id, Requests: e.requests()}}}
	switch ans := route.Decide(offer, s, e.book).(type) {
	case route.Redirect:
		res.Reason, res.Redirect, res.Cached, res.Message = verdict.NotCached, ans.Engine, ans.Cached, "another engine may hold the chat"
		return nil, res
	case route.Refuse:
		res.Reason, res.Message = refusal(ans)
		res.RetryAfter = e.retryAfter()
		return nil, res
	case route.Admit:
	}
	turn := make(chan fair.Item, 1)
	e.queued[r.Attempt], e.granted[r.Attempt] = a, turn
	e.queue.SetLimit(max(1, r.QueueLimit))
	shed := e.queue.Push(fair.Item{
		ID: r.Attempt, Partner: r.Partner, Workspace: r.Workspace,
		PartnerShare: share(r.PartnerShare), WorkspaceShare: share(r.WorkspaceShare), Cost: max(1, r.Cost),
	}, e.clk.Now())
	for _, it := range shed {
		e.shed(it)
	}
	e.dispatch()
	return turn, wire.Result{}
}

// share keeps a malformed share from upsetting the queue.
func share(s float64) float64 {
	if !(s > 0.0001 && s < 1e6) {
		return 1
	}
	return s
}

func refusal(r route.Refuse) (verdict.Reason, string) {
	switch {
	case r.Draining:
		return verdict.Leaving, "the engine is leaving"
	case r.NotCached:
		return verdict.NotCached, "the chat is not cached here"
	default:
		return verdict.OverBound, "the engine carries its share of the load"
	}
}

// shed ends an attempt that lost its place in the queue, at once; the caller
// holds mu.
func (e *engine) shed(it fair.Item) {
	a := e.queued[it.ID]
	e.forget(it.ID)
	metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_shed_total{partner=%q}`, it.Partner)).Inc()
	a.end(wire.Result{
		Verdict: verdict.NotRun, Reason: verdict.Shed, Message: "the queue is full and the workspace is over its share",
		RetryAfter: e.retryAfter(), Loads: []wire.Load{{Engine: e.id, Requests: e.requests()}},
	}, e.clk.Now())
}

func (e *engine) forget(id uint64) {
	delete(e.queued, id)
	delete(e.granted, id)
}

// dispatch gives free slots to those whose turn it is; the caller holds mu.
func (e *engine) dispatch() {
	defer func() { e.counted.Store(int64(e.requests())) }()
	for {
		it, ok := e.queue.Pop(e.clk.Now())
		if !ok {
			return
		}
		e.granted[it.ID] <- it
		e.forget(it.ID)
	}
}

// withdraw takes a waiting request out and reports whether it still waited.
func (e *engine) withdraw(id uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ok := e.queue.Remove(id)
	if ok {
		e.forget(id)
		e.counted.Store(int64(e.requests()))
	}
	return ok
}

// done gives the slot of a finished request back.
func (e *engine) done(it fair.Item, cost int, took clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue.Settle(it, max(1, cost))
	e.serviceTime += (float64(took) - e.serviceTime) / 16
	e.dispatch()
}

// ran records in the book what a finished turn left in the cache.
func (e *engine) ran(chat uint64, u wire.Usage) {
	if chat == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	believed := e.book.CachedTokens(chat)
	if believed > 0 && u.Cached == 0 {
		metrics.GetOrCreateCounter("weldfall_stale_belief_total").Inc()
	}
	e.book.RecordTurn(chat, u.Prompt+u.Completion, e.clk.Now())
}

const (
	// pollPeriod is how often an engine's reports and events are read; they
	// lag by seconds anyway. The call stays within the instance.
	pollPeriod  clock.Millis = 1000
	pollTimeout clock.Millis = 2000
)

// poll reads the engine's load report and cache events until ctx is done, and
// keeps slots and reserve up to date.
func (e *engine) poll(ctx context.Context, reserveRatio func() float64) {
	for clock.Sleep(ctx, pollPeriod*9/10+clock.Millis(rand.Int64N(int64(pollPeriod)/5))) {
		e.mu.Lock()
		asked := e.keepsChats
		e.mu.Unlock()
		if asked {
			e.readReports(ctx, reserveRatio())
		}
		e.mu.Lock()
		e.queue.PruneIdle(e.clk.Now())
		// A reserve that is no longer needed is given out.
		e.dispatch()
		e.mu.Unlock()
	}
}

// readReports asks the engine for its load report and its cache events.
func (e *engine) readReports(ctx context.Context, reserve float64) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
	defer cancel()
	report, err := e.client.Load(ctx)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.book.SetCapacity(report.CacheCapacity)
	if report.Slots > 0 {
		e.queue.SetSlots(report.Slots, int(reserve*float64(report.Slots)))
	}
	after := e.events.after()
	e.mu.Unlock()
	if events, err := e.client.CacheEvents(ctx, after); err == nil {
		e.learn(events, report.CacheTokens)
	}
}

// emptyPart is the part of what an engine is believed to keep below which it reports that
// it has lost it: the report lags, and the new life keeps something, too.
const emptyPart = 0.5

// learn takes the engine's word of what it keeps, so many tokens in all.
func (e *engine) learn(events []target.CacheEvent, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.events.restarted(events, float64(tokens) < emptyPart*float64(e.book.TotalTokens())) {
		e.log.Warn("engine_restarted", "engine", e.id, "chats_forgotten", len(e.book.Chats()))
		metrics.GetOrCreateCounter("weldfall_engine_restarts_total").Inc()
		e.book.Clear()
		return
	}
	now := e.clk.Now()
	for _, ev := range e.events.take(events) {
		chat, err := strconv.ParseUint(ev.Key, 16, 64)
		switch {
		case err != nil:
		case ev.Kind == target.EventEvicted:
			e.book.RecordEvicted(chat, now-ev.Age)
		case ev.Kind == target.EventStored:
			e.book.RecordStored(chat, ev.Tokens, now-ev.Age)
		}
	}
}
