// Package gate is the entry of a deployment whose engines are reached
// directly, by plain HTTP, without daemons between. It takes callers'
// requests, finds the engine of each, and relays the whole answer. filters.go
// lists the way of a request; what the operators publish and which engines
// there are is handed in by an adapter.
package gate

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/singleflight"

	"github.com/weldfall/weldfall/callers/failure"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/downlink"
	"github.com/weldfall/weldfall/common/fresh"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/duration"
	"github.com/weldfall/weldfall/engines/prefill"
	"github.com/weldfall/weldfall/engines/quarantine"
	"github.com/weldfall/weldfall/engines/upstream"
	"github.com/weldfall/weldfall/peers"
	"github.com/weldfall/weldfall/peers/changes"
	"github.com/weldfall/weldfall/table"
)

// Dialect gives the names on the wire between callers, this process and the
// engines.
type Dialect struct {
	// RequestID is unique to each attempt of a caller.
	RequestID string
	// Deadline is how many milliseconds the caller waits.
	Deadline string
	// Prompt lists the parts of a prompt.
	Prompt string
	// Tokens tells the tokens of the prompt and the most of the answer.
	Tokens string
	// Tenant tells engines the workspace.
	Tenant string
	// Priority tells engines the rank of a request, 0 first.
	Priority string
	// FetchFrom names an engine that keeps more of the prompt.
	FetchFrom string
	// ExpectEngine makes every engine but the named one refuse.
	ExpectEngine string
	// NotRun marks an answer of an engine that did not run the request.
	NotRun string
	// Load is an engine's load: running, waiting and slots.
	Load string
	// LastEventID takes a stream up after the named event.
	LastEventID string
	// Reserved headers are the system's to set: callers' are dropped.
	Reserved []string
	// Internal headers of engines are not for callers.
	Internal []string
}

// Bounds are the promises that the operators ask for.
type Bounds struct {
	// Revocation is how long after its removal a key may still be accepted.
	Revocation clock.Millis
	// Evacuation is how long after it was asked for an evacuation may not yet be
	// in force; zero if the operators give no bound.
	Evacuation clock.Millis
	// Draining is how long after its word a leaving engine may still be sent something
	// new; zero if the operators give no bound.
	Draining clock.Millis
	// Change is how long after its publication a change may not yet be in force.
	Change clock.Millis
	// Grace is how long a stopping process may go on.
	Grace clock.Millis
	// BalancerLag is how long new connections may come after the process has
	// turned unready.
	BalancerLag clock.Millis
	// RetryRatio, RetryExtra and RetryWindow bound repeats of the whole fleet.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow clock.Millis
	// WarmupOverrun and WarmupExtra bound what all entries together send to a cold
	// engine in a second: the rate that it bears times the one, and the other.
	// There is no bound if both are zero.
	WarmupOverrun float64
	WarmupExtra   float64
	// LoadBound is the highest load of an engine as a multiple of the mean.
	LoadBound float64
}

// Config sets up a Gate.
type Config struct {
	ID      string
	Dialect Dialect
	Bounds  Bounds
	// Link is that of the process, nil if nothing is known of it.
	Link  *downlink.Downlink
	Clock *clock.Clock
	Log   *slog.Logger
}

// Gate is the entry of one process.
type Gate struct {
	cfg  Config
	clk  *clock.Clock
	log  *slog.Logger
	wire Dialect
	// style is how failures are told.
	style failure.Style
	// reserved and internal are sets of canonical header names.
	reserved  map[string]bool
	internal  map[string]bool
	pool      *upstream.Pool
	table     atomic.Pointer[table.Table]
	limits    atomic.Pointer[Bounds]
	shutdown  shutdown
	active    atomic.Int64
	counts    counts
	durations *duration.Estimator
	// prefillSpeeds has how fast the engines of each service read prompts. It is guarded by mu.
	prefillSpeeds map[string]*prefill.Speed
	// guard knows the requests under which engines ended, and inquiries asks each address
	// once at a time whether its engine did.
	guard     *quarantine.Guard
	endChecks singleflight.Group
	// startedAt is when the process came up.
	startedAt clock.Millis

	// mu guards what follows.
	mu      sync.Mutex
	book    *engines.Book
	budgets map[string]*serviceBudget
	// evacuated names the data halls under evacuation, sorted.
	evacuated []string
	// tableFreshness is the age of the table and the evacuations, which are read
	// together, listed that of the list of engines.
	tableFreshness fresh.Belief
	listFreshness  fresh.Belief
	list           listState
	// changes is what came to the list lately; it has its own lock.
	changes changes.Log
	// epoch is that of the store; epochMissed is true from when another entry told of a
	// later one until the store is asked.
	epoch       fresh.Epoch
	epochMissed bool
	progress    storeProgress
	// historyUnknownUntil is until when no entry is known to remember which requests ended
	// engines.
	historyUnknownUntil clock.Millis
	// epochReportedAt is when another entry last told of a later epoch that was asked about.
	epochReportedAt clock.Millis
	// storeAnsweredAt is when another entry last had an answer of the store, by its word; zero
	// if none had.
	storeAnsweredAt clock.Millis
	// peerAheadAt is when a peer last told of a newer version than ours, zero if none did.
	peerAheadAt clock.Millis
	// tableEpoch is the epoch by an answer of which the table in force came.
	tableEpoch int64
	// fleet is what is known of the other entries. The first of them confirms
	// the table for all.
	fleet peers.Fleet
	// shares are this entry's among the others, parts those of cold engines by
	// their ids while the shares last. mostEntries is the most that were ever
	// known.
	shares      peers.Shares
	others      []string
	warmupParts map[string]int
	maxEntries  int
	// minEntries is how many entries the shares are made for at least.
	minEntries int
	// newestVersion is the newestVersion version that a peer told of, at newestAt; zero if
	// none did, or the platform has since shown that there is no newer one than
	// ours.
	newestVersion   int64
	newestVersionAt clock.Millis
	// transferring is true while the store sends a large version, announcedAt when it
	// first began to send one that is newer than the one in force, 0 if it did not.
	transferring bool
	announcedAt  clock.Millis
	// peerNewerAt is when a peer last told of a newer table than ours that it had
	// proved, or of other evacuations that it had proved later; zero if none did.
	peerNewerAt clock.Millis
	// wasReady is what the log was last told.
	wasReady bool
}

// New returns a gate that knows nothing yet.
func New(cfg Config) *Gate {
	d := cfg.Dialect
	g := &Gate{
		cfg: cfg, clk: cfg.Clock, log: cfg.Log, wire: d, style: failureStyle(d.RequestID),
		reserved: headerSet(d.Reserved), internal: headerSet(d.Internal),
		pool: upstream.NewPool(cfg.Clock, upstream.Names{RequestID: d.RequestID, NotRun: d.NotRun}, cfg.Link, cfg.Log),
		book: engines.NewBook(), budgets: map[string]*serviceBudget{}, counts: newCounts(),
		durations: duration.NewEstimator(), prefillSpeeds: map[string]*prefill.Speed{}, guard: quarantine.NewGuard(cfg.Clock, cfg.Log), shutdown: shutdown{inFlight: map[*call]struct{}{}}, startedAt: cfg.Clock.Now(), epoch: fresh.NewEpoch(rewriteFor), epochReportedAt: -peerAheadFor - 1,
	}
	g.shutdown.estimate = g.estimate
	metrics.GetOrCreateGauge("weldfall_table_age_seconds", g.tableAge)
	g.SetOthers(cfg.ID, nil)
	g.limits.Store(&cfg.Bounds)
	cfg.Clock.OnSuspend(g.onSuspend)
	return g
}

func (g *Gate) bounds() Bounds { return *g.limits.Load() }

// SetBounds puts other bounds in force.
func (g *Gate) SetBounds(b Bounds) {
	if old := g.limits.Swap(&b); *old == b {
		return
	}
	g.mu.Lock()
	g.warmupParts = map[string]int{}
	g.mu.Unlock()
	g.log.Info("bounds_in_force", "revocation_ms", b.Revocation, "evacuation_ms", b.Evacuation, "change_ms", b.Change, "grace_ms", b.Grace, "retry_ratio", b.RetryRatio, "load_bound", b.LoadBound)
}

func headerSet(names []string) map[string]bool {
	set := map[string]bool{}
	for _, n := range names {
		set[http.CanonicalHeaderKey(n)] = true
	}
	return set
}

// Limits of belief.
const (
	// revocationMargin is taken off the bound for revoked keys: the clocks of
	// two machines may run apart by a few parts in a hundred. The check reads
	// the clock after the request has come in, so a pause of the process needs
	// no margin.
	revocationMargin clock.Millis = 150
	// maxDenialAge is the greatest age of the table at which a key or a path that
	// it does not know is refused for good; an older table may lack it.
	maxDenialAge clock.Millis = 2500
)

// maxKeyAge is the greatest age of the table at which keys are accepted.
func (g *Gate) maxKeyAge() clock.Millis { return g.bounds().Revocation - revocationMargin }

// minConnParts is the least number of parts into which an engine's connections are divided.
// Where more entries are known there are as many, since all together must keep below the
// published number: a twelfth for each of 103 was eight times that.
const minConnParts = 12

// minConns is the share of connections that an entry may always take.
const minConns = 8

// limitConns bounds the connections to an engine. The caller holds mu.
func (g *Gate) limitConns(t *table.Table, in engines.Info) {
	if t == nil {
		return
	}
	if s, ok := t.Service(in.Service); ok && s.MaxConns > 0 {
		g.pool.SetMost(in.Addr, max(minConns, s.MaxConns/max(minConnParts, g.maxEntries)))
	}
}

// limitAllConns bounds those to all engines. The caller holds mu.
func (g *Gate) limitAllConns(t *table.Table) {
	for _, id := range g.book.IDs() {
		g.limitConns(t, g.book.Get(id).Info())
	}
}

// EngineIDs returns the ids of all engines, sorted.
func (g *Gate) EngineIDs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.IDs()
}

// Ready reports whether the gate is fit to serve.
func (g *Gate) Ready() bool {
	t := g.table.Load()
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	ready := t != nil && g.listFreshness.Known() && !g.shutdown.started()
	if ready && t.Keyed() {
		ready = g.tableFreshness.Within(g.maxKeyAge(), now)
	}
	ready = ready && g.knowsEvacuations(now) && g.outdated(now) == 0
	if ready != g.wasReady {
		g.wasReady = ready
		g.log.Info("readiness", "ready", ready, "table_age_ms", g.tableFreshness.Age(now), "list_age_ms", g.listFreshness.Age(now), "draining", g.shutdown.started())
	}
	return ready
}

// random returns a number from 0 to 1 that breaks ties.
func random() float64 { return rand.Float64() }
