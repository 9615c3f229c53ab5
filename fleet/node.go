// Package fleet is the part that all processes of the fleet share. A Node keeps the
// settings, the list of instances and the loads up to date by reading the platform or by
// exchanging messages with peers, and it detects pauses of its own process.
package fleet

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/fleet/member"
	"github.com/weldfall/weldfall/fleet/once"
	"github.com/weldfall/weldfall/fleet/source"
	"github.com/weldfall/weldfall/fleet/spread"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/route"
	"github.com/weldfall/weldfall/settings"
)

// Periods and bounds of the control traffic.
const (
	// ExchangePeriod is the time between two exchanges with random peers.
	ExchangePeriod clock.Millis = 1000
	// tickPeriod is how often the process checks for pauses.
	tickPeriod clock.Millis = 200
	// PauseLimit is the gap between ticks that counts as a pause: the process did not run,
	// or its instance was suspended.
	PauseLimit clock.Millis = 1500
	// pushFanout is how many peers a new item is pushed to.
	pushFanout = 3
	// callTimeout limits a control call.
	callTimeout clock.Millis = 1500
	// loadsPerExchange limits the load reports in one message.
	loadsPerExchange = 8
	// fetchesPerSecond limits the requests for single branches to peers.
	fetchesPerSecond = 20
	// minStartPeers is how many peers must respond to a starting process before it serves.
	minStartPeers = 2
)

// Config configures a Node.
type Config struct {
	ID   string
	Role member.Role
	Hall string
	// Bootstrap holds addresses of peers to call before the list of instances is known.
	Bootstrap []string
	Platform  *source.Client
	Clock     *clock.Clock
	Log       *slog.Logger
	Pool      *link.Pool
	// Loads returns the loads of this process's own engines.
	Loads func() []wire.Load
	// ChunkBytes limits the items in one response to a peer, in bytes.
	ChunkBytes int
}

// Node is the shared part of a process. It is safe for concurrent use.
type Node struct {
	cfg Config
	clk *clock.Clock

	mu    sync.Mutex
	store *spread.Store
	tree  *settings.Tree
	view  *member.View
	loads *route.Loads
	// targets caches the targets of each pool until the view changes.
	targets map[string]*poolTargets
	// respondedPeers holds the peers that responded since the start or the latest pause.
	respondedPeers map[string]bool
	// newest holds the newest revision of each topic that peers lately had.
	newest newestRevisions
	// caughtUp, listComplete and branchesComplete are true if, at the latest exchange, nothing
	// that peers lately had was missing here of what this process needs, of the list of
	// instances and of the branches.
	caughtUp, listComplete, branchesComplete bool
	fetchLimit                               *rate.Limiter
	// platformRead holds the topics of the platform that were read to their end since the start
	// or the latest pause.
	platformRead map[source.Topic]bool
	// renewing is true after a pause: the local data is old but complete.
	renewing bool

	ready     atomic.Bool
	startedAt clock.Millis
	wakeup    chan struct{}
}

// TopicsOf returns the topics that a role holds. A request carries what a daemon must
// know of the workspace, so daemons hold no branches below those of the partners.
func TopicsOf(role member.Role) []wire.Topic {
	if role == member.Entry {
		return wire.Topics
	}
	return []wire.Topic{wire.TopicCore, wire.TopicInstances}
}

// New returns a node without any data.
func New(cfg Config) *Node {
	if cfg.ChunkBytes == 0 {
		cfg.ChunkBytes = spread.DefaultChunkBytes
	}
	now := cfg.Clock.Now()
	return &Node{
		cfg: cfg, clk: cfg.Clock, startedAt: now,
		store: spread.NewStore(TopicsOf(cfg.Role), cfg.ChunkBytes), tree: settings.NewTree(),
		view: member.NewView(cfg.ID, now), loads: route.NewLoads(), targets: map[string]*poolTargets{},
		respondedPeers: map[string]bool{}, newest: newestRevisions{}, platformRead: map[source.Topic]bool{}, fetchLimit: rate.NewLimiter(fetchesPerSecond, fetchesPerSecond), wakeup: make(chan struct{}, 1),
	}
}

// Run keeps the node up to date until ctx is done.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){n.exchangeLoop, n.tickLoop, n.readLoop(source.Config), n.readLoop(source.Instances)} {
		wg.Go(func() { f(ctx) })
	}
	wg.Wait()
}

// Ready reports whether the node knows enough to serve: it has read the platform, has what
// its peers have, or both (see startTimeout).
func (n *Node) Ready() bool { return n.ready.Load() }

// Effective returns the settings in force at path.
func (n *Node) Effective(path string) settings.Values {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tree.Effective(path)
}

// ErrBranchUnknown is returned for a key whose workspace may have settings that this process does
// not know yet.
var ErrBranchUnknown = errors.New("this entry does not know the settings of the workspace yet")

// Authenticate returns the workspace of a bearer key. If its branch is not known yet, it
// is fetched from peers first. The error is ErrBranchUnknown if that shows neither the branch
// nor that there is none.
func (n *Node) Authenticate(ctx context.Context, key string) (string, error) {
	path, err := settings.WorkspaceOfKey(key)
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	known := n.tree.Seen(path) || n.hasBranches()
	n.mu.Unlock()
	if !known {
		known = n.fetchLimit.Allow() && n.fetchBranch(ctx, path)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !known && !n.tree.Seen(path) {
		return "", ErrBranchUnknown
	}
	return n.tree.Authenticate(key)
}

// hasBranches reports whether this process has all branches that it knows to exist: those of its
// peers, or those of the platform. The caller holds mu.
func (n *Node) hasBranches() bool {
	if n.branchesComplete {
		return true
	}
	return n.platformRead[source.Config] && n.store.Upto(wire.TopicBranches) >= n.newest.of(wire.TopicBranches, n.clk.Now())
}

// Explain returns the effective settings at path with their sources.
func (n *Node) Explain(path, key string) ([]settings.Source, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tree.Explain(path, key)
}

// Problems lists the branches whose latest value is not in force.
func (n *Node) Problems() []settings.Problem {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tree.Problems()
}

// Revisions returns the revision up to which each topic is complete.
func (n *Node) Revisions() map[wire.Topic]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.store.Revs()
}

// Witnesses returns the daemons that must grant a claim on key, how many of the key's
// witnesses were replaced within the window, and whether this process may be cut off from
// most of the fleet.
func (n *Node) Witnesses(key uint64, window clock.Millis) (ws []once.Daemon, gone int, cutOff bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var daemons []once.Daemon
	for _, in := range n.view.Instances() {
		if in.Role == member.Daemon {
			daemons = append(daemons, once.Daemon{ID: in.ID, Addr: in.Addr})
		}
	}
	for _, id := range n.view.GoneWithin(window, n.clk.Now()) {
		daemons = append(daemons, once.Daemon{ID: id, Gone: true})
	}
	ws, gone = once.Choose(key, daemons)
	return ws, gone, !n.view.MajorityReachable()
}

// MajorityReachable reports whether this process is in contact with most of the fleet.
func (n *Node) MajorityReachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.MajorityReachable()
}

// DaemonUnreachable records that a call to a daemon failed.
func (n *Node) DaemonUnreachable(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.MarkUnreachable(id, n.clk.Now())
	n.invalidateTargets()
}

// DaemonReached records that a call to a daemon succeeded.
func (n *Node) DaemonReached(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.MarkReached(id)
}

// State returns an instance's state in this view.
func (n *Node) State(id string) member.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.State(id)
}

// EngineView is an engine as this process sees it, for the admin page.
type EngineView struct {
	Engine   string       `json:"engine"`
	Daemon   string       `json:"daemon"`
	Hall     string       `json:"hall"`
	Pool     string       `json:"pool"`
	State    member.State `json:"state"`
	Usable   bool         `json:"usable"`
	Requests int          `json:"requests"`
	Fresh    bool         `json:"fresh"`
	Slots    int          `json:"slots"`
}

// Engines lists the engines as this process sees them.
func (n *Node) Engines() []EngineView {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clk.Now()
	var out []EngineView
	for _, in := range n.view.Instances() {
		for _, e := range in.Engines {
			requests, fresh := n.loads.Estimate(e.ID, now)
			out = append(out, EngineView{e.ID, in.ID, in.Hall, in.Pool, n.view.State(in.ID), n.view.Usable(in.ID, now), requests, fresh, e.Slots})
		}
	}
	return out
}

// jitter varies a period by up to a tenth in either direction.
func jitter(d clock.Millis) clock.Millis { return d*9/10 + clock.Millis(rand.Int64N(int64(d)/5+1)) }
