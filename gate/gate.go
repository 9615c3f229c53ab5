// Package gate is the entry of a deployment whose engines are reached directly over plain
// HTTP, without daemons. It accepts requests from callers, chooses an engine for each and
// relays the response. filters.go lists the steps of a request. An adapter supplies the
// published configuration and the list of engines.
package gate

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/singleflight"

	"github.com/weldfall/weldfall/callers/bodies"
	"github.com/weldfall/weldfall/callers/failure"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/downlink"
	"github.com/weldfall/weldfall/common/fresh"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/duration"
	"github.com/weldfall/weldfall/engines/fairshare"
	"github.com/weldfall/weldfall/engines/locality"
	"github.com/weldfall/weldfall/engines/origin"
	"github.com/weldfall/weldfall/engines/prefill"
	"github.com/weldfall/weldfall/engines/quarantine"
	"github.com/weldfall/weldfall/engines/statement"
	"github.com/weldfall/weldfall/engines/upstream"
	"github.com/weldfall/weldfall/peers"
	"github.com/weldfall/weldfall/peers/changes"
	"github.com/weldfall/weldfall/table"
)

// Dialect holds the names of the HTTP headers used between callers, this process and
// engines.
type Dialect struct {
	// RequestID carries an ID that is unique to each attempt of a caller.
	RequestID string
	// Deadline carries the time that the caller waits, in milliseconds.
	Deadline string
	// Prompt lists the parts of the prompt.
	Prompt string
	// Tokens carries the number of prompt tokens and the maximum number of response tokens.
	Tokens string
	// Tenant carries the workspace to the engine.
	Tenant string
	// Priority carries the priority of the request to the engine; 0 is served first.
	Priority string
	// FetchFrom carries the address of an engine that has a longer prefix of the prompt in
	// its cache.
	FetchFrom string
	// ExpectEngine carries the ID of the engine that the request is meant for. Any other
	// engine rejects it.
	ExpectEngine string
	// NotRun marks a response of an engine that did not run the request.
	NotRun string
	// Instance has the engine's ID in a response to a health check.
	Instance string
	// Load carries the load of an engine: running, waiting and slots.
	Load string
	// LastEventID makes an engine continue a stream after the named event.
	LastEventID string
	// Resumes carries the ID of the caller's attempt that received the first event of the
	// stream that the request resumes.
	Resumes string
	// Statement returns what the head of a response says of the engine that sent it. It may be
	// nil.
	Statement func(status int, h http.Header) statement.Said
	// Reserved lists the headers that only the system sets. They are removed from callers'
	// requests.
	Reserved []string
	// Internal lists the headers of engines that are not passed on to callers.
	Internal []string
}

// Bounds are the limits set by the operators.
type Bounds struct {
	// Revocation is how long a key may still be accepted after its removal.
	Revocation clock.Millis
	// Evacuation is how long an evacuation may take to come into force; zero means no bound.
	Evacuation clock.Millis
	// Draining is how long new requests may still be sent to an engine after it reported that
	// it is draining; zero means no bound.
	Draining clock.Millis
	// Change is how long a published change may take to come into force.
	Change clock.Millis
	// Grace is how long a stopping process may keep running.
	Grace clock.Millis
	// BalancerLag is how long the load balancer may still open connections after the process
	// has become unready.
	BalancerLag clock.Millis
	// EngineSilence is how long a sound engine may send nothing, once during a response; zero
	// if engines are never silent. A stopping process leaves room for it.
	EngineSilence clock.Millis
	// RetryRatio, RetryExtra and RetryWindow limit the retries of the whole fleet.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow clock.Millis
	// WarmupOverrun and WarmupExtra limit the requests per second that all entries together
	// send to an engine during its warm-up: its warm-up rate times WarmupOverrun, plus
	// WarmupExtra. There is no limit if both are zero.
	WarmupOverrun float64
	WarmupExtra   float64
	// LoadBound is the maximum load of an engine as a multiple of the mean.
	LoadBound float64
	// Locality is what leaving a data hall costs.
	Locality locality.Settings
}

// Config configures a Gate.
type Config struct {
	ID      string
	Dialect Dialect
	Bounds  Bounds
	// Hall is the data hall of the process, "" if it is unknown.
	Hall string
	// MaxConns limits the open connections of callers, 0 if there is no limit.
	MaxConns int
	// Link is the downlink of the process, nil if its capacity is unknown.
	Link *downlink.Downlink
	// Memory is the memory of the machine in bytes, 0 if it is unknown.
	Memory int64
	Clock  *clock.Clock
	Log    *slog.Logger
}

// Gate is the entry of one process.
type Gate struct {
	cfg  Config
	clk  *clock.Clock
	log  *slog.Logger
	wire Dialect
	// style formats failures for callers.
	style failure.Format
	// reserved and internal are keyed by canonical header name.
	reserved  map[string]bool
	internal  map[string]bool
	pool      *upstream.Pool
	table     atomic.Pointer[table.Table]
	limits    atomic.Pointer[Bounds]
	shutdown  shutdown
	active    atomic.Int64
	bodies    *bodies.Account
	counts    counts
	durations *duration.Estimator
	// prefillSpeeds holds the prefill speed of the engines of each service. It is guarded by
	// mu.
	prefillSpeeds map[string]*prefill.Estimator
	// spills holds what is known of leaving the data hall for each service. It is guarded by
	// mu.
	spills map[string]*locality.Spill
	// guard tracks requests under which engines crashed. endChecks limits the checks whether
	// an engine has ended to one at a time for each address.
	guard     *quarantine.Guard
	endChecks singleflight.Group
	// startedAt is when the process started.
	startedAt clock.Millis
	// origins holds the versions that began streams, originSearches limits the searches
	// for others.
	origins        *origin.Book
	originSearches *searches
	// resumeLimits has for how long callers may resume streams by their own limits.
	resumeLimits *origin.Limits
	// fair tracks the use of services by workspaces.
	fair *fairshare.Tracker

	// turns holds the requests to services whose engines report no load.
	turns turns

	// setTableMu is held while a version is put in force. moves holds the routes that lately led
	// to other services.
	setTableMu   sync.Mutex
	moves        routeMoves
	pastTimeouts pastTimeouts

	// mu guards the fields below.
	mu       sync.Mutex
	registry *engines.Registry
	budgets  map[string]*serviceBudget
	// rooms holds the room of each service.
	rooms map[string]*serviceRoom
	// evacuated lists the data halls under evacuation, sorted.
	evacuated []string
	// tableFreshness is when the table and the evacuations, which are read together, were
	// last known to be current; listFreshness is the same for the list of engines. table is
	// stored under mu, so that it can be taken together with its freshness.
	tableFreshness fresh.Tracker
	listFreshness  fresh.Tracker
	list           listState
	// changes holds the recent changes of the list. It has its own lock.
	changes changes.Log
	// epoch is the store's epoch. epochMissed is true from when another entry reports a later
	// epoch until the store is asked for it.
	epoch       fresh.Epoch
	epochMissed bool
	progress    storeProgress
	// historyUnknownUntil is until when no entry is assumed to know which requests crashed
	// engines.
	historyUnknownUntil clock.Millis
	// epochReportedAt is when another entry last reported a later epoch for which the store
	// was asked.
	epochReportedAt clock.Millis
	// storeAnsweredAt is when, by their reports, another entry last had a response from the
	// store; zero if none had.
	storeAnsweredAt clock.Millis
	// peerAheadAt is when a peer last reported a newer version than the one in force, zero if
	// none did.
	peerAheadAt clock.Millis
	// tableEpoch is the epoch of the store's response that brought the table in force.
	tableEpoch int64
	// fleet is the state of the other entries. The first entry confirms the table for all.
	fleet peers.Fleet
	// loggedContact is the contact to other entries that was last logged.
	loggedContact quarantine.Connectivity
	// shares computes this entry's part of the quotas of the whole fleet. warmupParts caches
	// its part for each engine in warm-up, by engine ID, until shares changes. entries is the
	// largest number of entries known lately.
	shares peers.Shares
	others []string
	// forgottenEntries has the addresses of other entries that were known and no longer are.
	forgottenEntries map[string]bool
	warmupParts      map[string]int
	entries          recentMost
	// minEntries is the number of entries that shares assumes at least.
	minEntries int
	// originPeers are the other entries that hold origins of streams, nil if there are
	// none.
	originPeers origin.Peers
	// pastVersions holds the software versions that are no longer listed. The versions of
	// each service are known since versionsBelievedSince, and this entry has missed no change
	// of them since versionsKnownSince. severalVersions has the services that list more than
	// one.
	pastVersions          engines.VersionHistory
	versionsBelievedSince clock.Millis
	versionsKnownSince    clock.Millis
	severalVersions       map[string]bool
	// listSource confirms the list of engines on demand. It may be nil.
	listSource ListSource
	// newer are the versions that peers reported, until the store shows that the version in
	// force is the newest.
	newer newerVersions
	// transferring is true while the store sends a large version. announcedAt is when it
	// first began to send one newer than the version in force, zero if it did not.
	transferring bool
	announcedAt  clock.Millis
	// peerNewerAt is when a peer last reported a recently confirmed table that is newer than
	// the one in force, or the same version with other evacuations confirmed later; zero if
	// none did.
	peerNewerAt clock.Millis
	// wasReady is the readiness that was last logged.
	wasReady bool
}

// New returns a gate without a table and without engines.
func New(cfg Config) *Gate {
	d := cfg.Dialect
	g := &Gate{
		cfg: cfg, clk: cfg.Clock, log: cfg.Log, wire: d, style: failureStyle(d.RequestID),
		reserved: headerSet(d.Reserved), internal: headerSet(d.Internal),
		pool:     upstream.NewPool(cfg.Clock, upstream.HeaderNames{RequestID: d.RequestID, NotRun: d.NotRun, Instance: d.Instance}, cfg.Link, cfg.Log),
		registry: engines.NewRegistry(), budgets: map[string]*serviceBudget{}, rooms: map[string]*serviceRoom{}, counts: newCounts(), bodies: bodies.NewAccount(bodies.Config{Memory: cfg.Memory, Clock: cfg.Clock, Log: cfg.Log}),
		durations: duration.NewEstimator(), prefillSpeeds: map[string]*prefill.Estimator{}, spills: map[string]*locality.Spill{},
		guard: quarantine.NewGuard(cfg.Clock, cfg.Log), fair: fairshare.New(fairshare.Config{}),
		shutdown: shutdown{inFlight: map[*call]struct{}{}}, startedAt: cfg.Clock.Now(), epoch: fresh.NewEpoch(rewriteFor), epochReportedAt: -peerAheadFor - 1,
		origins: origin.NewBook(), originSearches: newSearches(), resumeLimits: origin.NewLimits(maxRequestTime), versionsBelievedSince: math.MaxInt64, versionsKnownSince: math.MaxInt64, severalVersions: map[string]bool{}, forgottenEntries: map[string]bool{},
	}
	g.list.confirmed = make(chan struct{})
	g.shutdown.estimate = g.estimate
	metrics.GetOrCreateGauge("weldfall_table_age_seconds", g.tableAge)
	metrics.GetOrCreateGauge("weldfall_list_age_seconds", g.listAge)
	metrics.GetOrCreateGauge("weldfall_store_revision", func() float64 { _, revision := g.StoreRevision(); return float64(revision) })
	metrics.GetOrCreateGauge("weldfall_origins", func() float64 { return float64(g.origins.Len()) })
	metrics.GetOrCreateGauge("weldfall_tracked_workspaces", func() float64 { return float64(g.fair.Tracked()) })
	g.SetOthers(cfg.ID, nil)
	g.limits.Store(&cfg.Bounds)
	g.registry.SetLoadBound(cfg.Bounds.LoadBound)
	cfg.Clock.OnSuspend(g.onSuspend)
	return g
}

func (g *Gate) bounds() Bounds { return *g.limits.Load() }

// SetBounds replaces the bounds.
func (g *Gate) SetBounds(b Bounds) {
	if old := g.limits.Swap(&b); *old == b {
		return
	}
	g.mu.Lock()
	g.warmupParts = map[string]int{}
	g.registry.SetLoadBound(b.LoadBound)
	clear(g.spills)
	g.mu.Unlock()
	g.log.Info("bounds_in_force", "revocation_ms", b.Revocation, "evacuation_ms", b.Evacuation, "change_ms", b.Change, "grace_ms", b.Grace, "engine_silence_ms", b.EngineSilence, "retry_ratio", b.RetryRatio, "load_bound", b.LoadBound, "hall_megabyte_ms", b.Locality.MegabyteMillis)
}

func headerSet(names []string) map[string]bool {
	set := map[string]bool{}
	for _, n := range names {
		set[http.CanonicalHeaderKey(n)] = true
	}
	return set
}

// Maximum ages of the table.
const (
	// revocationMargin is subtracted from the bound for revoked keys, since the clocks of two
	// machines may differ in speed by a few percent. A pause of the process needs no margin,
	// because the check reads the clock after the request has arrived.
	revocationMargin clock.Millis = 150
	// maxDenialAge is the maximum age of the table at which an unknown key or path is
	// rejected for good. An older table may lack a recent addition.
	maxDenialAge clock.Millis = 2500
)

// maxKeyAge returns the maximum age of the table at which keys are accepted.
func (g *Gate) maxKeyAge() clock.Millis { return g.bounds().Revocation - revocationMargin }

// minConnParts is the minimum number of parts into which the connections to an engine are
// divided. If more entries are known, there is one part for each, so that all together stay
// below the published number. With a fixed part of a twelfth, 103 entries opened eight times
// that number.
const minConnParts = 12

// minConns is the number of connections that an entry may always open.
const minConns = 8

// limitConns limits the connections to an engine. The caller holds mu.
func (g *Gate) limitConns(t *table.Table, in engines.Info) {
	if t == nil {
		return
	}
	if s, ok := t.Service(in.Service); ok && s.MaxConns > 0 {
		g.pool.SetMaxConns(in.Addr, max(minConns, s.MaxConns/max(minConnParts, g.entries.most())))
	}
}

// limitAllConns limits the connections to every engine. The caller holds mu.
func (g *Gate) limitAllConns(t *table.Table) {
	for _, id := range g.registry.IDs() {
		g.limitConns(t, g.registry.Get(id).Info())
	}
}

// EngineIDs returns the IDs of all engines, sorted.
func (g *Gate) EngineIDs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.IDs()
}

// Ready reports whether the gate can serve requests.
func (g *Gate) Ready() bool {
	t := g.table.Load()
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	ready := t != nil && g.listFreshness.Known() && !g.shutdown.started()
	if ready && t.RequiresKey() {
		ready = g.tableFreshness.Within(g.maxKeyAge(), now)
	}
	ready = ready && g.knowsEvacuations(now) && g.outdated(now) == 0
	if ready != g.wasReady {
		g.wasReady = ready
		g.log.Info("readiness", "ready", ready, "table_age_ms", g.tableFreshness.Age(now), "list_age_ms", g.listFreshness.Age(now), "draining", g.shutdown.started())
	}
	return ready
}

// random returns a number in [0, 1) that breaks ties.
func random() float64 { return rand.Float64() }
