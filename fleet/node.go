// Package fleet is what every process of the system has in common: it keeps
// the settings, the list of instances and the loads up to date by reading the
// platform or by talking with peers, and it notices its own pauses.
package fleet

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/member"
	"github.com/weldfall/weldfall/once"
	"github.com/weldfall/weldfall/route"
	"github.com/weldfall/weldfall/settings"
	"github.com/weldfall/weldfall/source"
	"github.com/weldfall/weldfall/spread"
	"github.com/weldfall/weldfall/wire"
)

// Periods and bounds of the control traffic.
const (
	// ExchangePeriod is the time between two exchanges with random peers.
	ExchangePeriod clock.Millis = 1000
	// tickPeriod is how often the process looks at its own clock.
	tickPeriod clock.Millis = 200
	// PauseLimit is the gap between ticks that counts as a pause.
	PauseLimit clock.Millis = 1500
	// pushFanout is how many peers a new item is handed to at once.
	pushFanout = 3
	// callTimeout bounds a control call.
	callTimeout clock.Millis = 1500
	// loadsPerExchange bounds the load reports in one message.
	loadsPerExchange = 8
	// fetchesPerSecond bounds the single branches that are asked of peers.
	fetchesPerSecond = 20
	// startPeers is how many peers a starting process hears before it serves.
	startPeers = 2
)

// Config sets up a Node.
type Config struct {
	ID   string
	Role member.Role
	Hall string
	// Bootstrap has addresses of peers to ask before the list is known.
	Bootstrap []string
	Platform  *source.Client
	Clock     *clock.Clock
	Log       *slog.Logger
	Pool      *link.Pool
	// Loads returns the loads of this process's own engines.
	Loads func() []wire.Load
	// ChunkBytes bounds the items in one answer to a peer, in bytes.
	ChunkBytes int
}

// Node is the shared part of a process. Its methods may be called by several
// goroutines.
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
	// heardPeers counts distinct peers that answered since the start.
	heardPeers map[string]bool
	caughtUp   bool
	// listComplete is true once a peer had nothing newer of the list.
	listComplete bool
	// branchesComplete is true once a peer had no branch that is not here.
	branchesComplete bool
	fetchLimit       *rate.Limiter
	readOK           bool
	// renewing is true after a pause: what is here is old, but not missing.
	renewing bool

	ready   atomic.Bool
	startAt clock.Millis
	wakeup  chan struct{}
}

type poolTargets struct {
	until clock.Millis
	// mean is renewed when it is older than meanTTL.
	mean    route.Mean
	meanAt  clock.Millis
	list    []route.Target
	daemons map[string]member.Instance
}

// TopicsOf returns the topics that a role holds: a daemon is told with each
// request what it must know of a workspace, so it holds no branches below the
// partners'.
func TopicsOf(role member.Role) []wire.Topic {
	if role == member.Entry {
		return wire.Topics
	}
	return []wire.Topic{wire.TopicCore, wire.TopicInstances}
}

// New returns a node that knows nothing yet.
func New(cfg Config) *Node {
	if cfg.ChunkBytes == 0 {
		cfg.ChunkBytes = spread.DefaultChunkBytes
	}
	now := cfg.Clock.Now()
	return &Node{
		cfg: cfg, clk: cfg.Clock, startAt: now,
		store: spread.NewStore(TopicsOf(cfg.Role), cfg.ChunkBytes), tree: settings.NewTree(),
		view: member.NewView(cfg.ID, now), loads: route.NewLoads(), targets: map[string]*poolTargets{},
		heardPeers: map[string]bool{}, fetchLimit: rate.NewLimiter(fetchesPerSecond, fetchesPerSecond), wakeup: make(chan struct{}, 1),
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

// Ready reports whether the node knows enough to serve: it has heard the
// platform or has what its peers have.
func (n *Node) Ready() bool { return n.ready.Load() }

// Effective returns the settings in force at path.
func (n *Node) Effective(path string) settings.Values {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tree.Effective(path)
}

// Authenticate returns the workspace of a bearer key. If its branch is not
// known yet, it is asked of peers first.
func (n *Node) Authenticate(ctx context.Context, key string) (string, error) {
	path, err := settings.WorkspaceOfKey(key)
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	known := n.tree.Has(path) || n.branchesComplete
	n.mu.Unlock()
	if !known && n.fetchLimit.Allow() {
		n.fetch(ctx, path)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tree.Authenticate(key)
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

// targetsTTL bounds how long the targets of a pool are cached: hold-offs and
// back-offs end by time alone.
const targetsTTL clock.Millis = 100

// pool returns the targets of a pool; the caller holds mu.
func (n *Node) pool(name string, now clock.Millis) *poolTargets {
	if pt, ok := n.targets[name]; ok && now < pt.until {
		return pt
	}
	pt := &poolTargets{until: now + targetsTTL, meanAt: -meanTTL - 1, daemons: map[string]member.Instance{}}
	for _, in := range n.view.Members(name, now) {
		for _, e := range in.Engines {
			pt.list = append(pt.list, route.NewTarget(e.ID, e.Slots))
			pt.daemons[e.ID] = in
		}
	}
	n.targets[name] = pt
	return pt
}

func (n *Node) viewChanged() { clear(n.targets) }

// Choose decides where a request of a pool goes next and returns the daemon
// to send it to, together with the mean load that the choice was based on.
func (n *Node) Choose(pool string, q route.Query, tries []route.Try) (d route.Decision, to member.Instance, mean float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clk.Now()
	pt := n.pool(pool, now)
	m := n.mean(pt, now)
	d = route.Choose(q, pt.list, n.loads, m, tries, now)
	if s, ok := d.(route.Send); ok {
		n.loads.Sent(s.Engine)
		return d, pt.daemons[s.Engine], perSlot(m)
	}
	return d, to, 0
}

// meanUnknown stands for a mean that is based on too few engines.
const meanUnknown = -1

func perSlot(m route.Mean) float64 {
	if !m.Counts() {
		return meanUnknown
	}
	return m.PerSlot
}

// meanTTL is how long the mean of a pool is used before it is added up again;
// loads that come from elsewhere are older than that anyway.
const meanTTL clock.Millis = 10

// mean returns the mean load of a pool; the caller holds mu.
func (n *Node) mean(pt *poolTargets, now clock.Millis) route.Mean {
	if now-pt.meanAt > meanTTL {
		pt.mean, pt.meanAt = n.loads.Mean(pt.list, now), now
	}
	return pt.mean
}

// Ended takes back the count of a request that was sent to engine.
func (n *Node) Ended(engine string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.Ended(engine)
}

// Home returns the engine ranked first for a chat, and its daemon.
func (n *Node) Home(pool string, key uint64) (string, member.Instance, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	pt := n.pool(pool, n.clk.Now())
	top := route.Rank(key, pt.list, 1)
	if len(top) == 0 {
		return "", member.Instance{}, false
	}
	id := pt.list[top[0]].ID()
	return id, pt.daemons[id], true
}

// Next returns the best ranked engine for a chat other than engine, "" if
// there is none, with its daemon.
func (n *Node) Next(pool string, key uint64, engine string) (next string, at member.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	pt := n.pool(pool, n.clk.Now())
	for _, i := range route.Rank(key, pt.list, 2) {
		if id := pt.list[i].ID(); id != engine {
			return id, pt.daemons[id]
		}
	}
	return "", member.Instance{}
}

// PoolLoad returns the number of engines of a pool and its mean load per
// slot, below zero if too little is known.
func (n *Node) PoolLoad(pool string) (engines int, mean float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clk.Now()
	pt := n.pool(pool, now)
	return len(pt.list), perSlot(n.mean(pt, now))
}

// SampleLoads takes load reports that came with an answer.
func (n *Node) SampleLoads(loads []wire.Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sample(loads)
}

// RefusedLoads takes load reports that came with a refusal: the first is that
// of the engine that refused.
func (n *Node) RefusedLoads(loads []wire.Load) {
	if len(loads) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.Observe(loads[0].Engine, loads[0].Requests, n.clk.Now()-loads[0].Age)
	n.sample(loads[1:])
}

// FreshLoads returns the freshest loads known, to go with a message.
func (n *Node) FreshLoads() []wire.Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loads.Freshest(route.LoadsOnTheWay, n.clk.Now())
}

func (n *Node) sample(loads []wire.Load) {
	now := n.clk.Now()
	for _, l := range loads {
		n.loads.Sample(l.Engine, l.Requests, now-l.Age)
	}
}

// Witnesses returns the daemons to ask for a promise on key, how many of the
// key's witnesses were replaced within the window, and whether this process
// may be cut off from most of the fleet.
func (n *Node) Witnesses(key uint64, window clock.Millis) (ws []once.Daemon, gone int, cutOff bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var daemons []once.Daemon
	for _, in := range n.view.Listing() {
		if in.Role == member.Daemon {
			daemons = append(daemons, once.Daemon{ID: in.ID, Addr: in.Addr})
		}
	}
	for _, id := range n.view.GoneWithin(window, n.clk.Now()) {
		daemons = append(daemons, once.Daemon{ID: id, Gone: true})
	}
	ws, gone = once.Choose(key, daemons)
	return ws, gone, !n.view.MajoritySeen()
}

// MajoritySeen reports whether this process is in contact with most of the
// fleet.
func (n *Node) MajoritySeen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.MajoritySeen()
}

// Unreachable records that a daemon could not be reached.
func (n *Node) Unreachable(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.Unreachable(id, n.clk.Now())
	n.viewChanged()
}

// Reached records that a daemon was reached.
func (n *Node) Reached(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.Reached(id)
}

// State returns an instance's state in this view.
func (n *Node) State(id string) member.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.State(id)
}

// EngineView is an engine as this process sees it, for the operators' page.
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
	for _, in := range n.view.Listing() {
		for _, e := range in.Engines {
			requests, fresh := n.loads.Get(e.ID, now)
			out = append(out, EngineView{e.ID, in.ID, in.Hall, in.Pool, n.view.State(in.ID), n.view.Usable(in.ID, now), requests, fresh, e.Slots})
		}
	}
	return out
}

// Skew returns the highest load of an engine over the mean of its pool, per
// slot, for each pool with a load.
func (n *Node) Skew() map[string]float64 {
	type sums struct {
		requests, slots int
		top             float64
	}
	pools := map[string]*sums{}
	for _, e := range n.Engines() {
		s := pools[e.Pool]
		if s == nil {
			s = &sums{}
			pools[e.Pool] = s
		}
		s.requests += e.Requests
		s.slots += e.Slots
		s.top = max(s.top, float64(e.Requests)/float64(max(1, e.Slots)))
	}
	out := map[string]float64{}
	for pool, s := range pools {
		if s.requests > 0 {
			out[pool] = s.top * float64(s.slots) / float64(s.requests)
		}
	}
	return out
}

// Handle answers the control messages that every process takes. It reports
// false for other methods.
func (n *Node) Handle(method string, params json.RawMessage) (any, bool, error) {
	switch method {
	case wire.MethodExchange:
		e, err := wire.Decode[wire.Exchange](method, params)
		if err != nil {
			return nil, true, err
		}
		return n.answer(e), true, nil
	case wire.MethodFetch:
		f, err := wire.Decode[wire.Fetch](method, params)
		if err != nil {
			return nil, true, err
		}
		return n.answerFetch(f), true, nil
	}
	return nil, false, nil
}

// HandleNotify takes the control notifications that every process takes.
func (n *Node) HandleNotify(method string, params json.RawMessage) {
	if method != wire.MethodPush {
		return
	}
	var p wire.Push
	if json.Unmarshal(params, &p) != nil {
		return
	}
	n.mu.Lock()
	news := n.learn(p.Items)
	leaving := n.learnLeaving(p.Leaving)
	n.mu.Unlock()
	n.push(news, leaving)
}

// learn applies items; the caller holds mu.
func (n *Node) learn(items []wire.Item) []wire.Item {
	news := n.store.Add(items)
	for i, it := range news {
		if it.Topic == wire.TopicInstances {
			n.applyInstance(it)
			continue
		}
		n.applySetting(it)
		if kept, ok := n.store.Get(it.Topic, it.Key); ok && kept.Rev == it.Rev {
			news[i].Good, news[i].GoodRev = kept.Good, kept.GoodRev
		}
	}
	return news
}

func (n *Node) learnLeaving(ids []string) []string {
	var news []string
	for _, id := range ids {
		if n.view.SaidLeaving(id) {
			news = append(news, id)
		}
	}
	if len(news) > 0 {
		n.viewChanged()
	}
	return news
}

func (n *Node) applyInstance(it wire.Item) {
	now := n.clk.Now()
	defer n.viewChanged()
	if it.Gone {
		n.view.Dropped(it.Key, now)
		n.loads.Forget(n.listedEngines())
		n.cfg.Log.Info("instance_gone", "instance", it.Key, "revision", it.Rev)
		return
	}
	in, err := member.Decode(it.Key, it.Value)
	if err != nil {
		n.cfg.Log.Warn("instance_invalid", "instance", it.Key, "revision", it.Rev, "error", err)
		return
	}
	n.view.Listed(in, now)
	n.cfg.Log.Debug("instance_listed", "instance", in.ID, "state", in.State, "revision", it.Rev)
}

// listedEngines returns whether an engine is on the list; the caller holds mu.
func (n *Node) listedEngines() func(string) bool {
	listed := map[string]bool{}
	for _, in := range n.view.Listing() {
		for _, e := range in.Engines {
			listed[e.ID] = true
		}
	}
	return func(engine string) bool { return listed[engine] }
}

func (n *Node) applySetting(it wire.Item) {
	if it.Gone {
		n.tree.Remove(it.Key, it.Rev)
		return
	}
	if it.Good != "" {
		// A process that missed the last good value before a bad one, or
		// started after it, still puts it in force.
		if err := n.tree.ApplyGood(it.Key, it.Good, it.GoodRev); err != nil {
			n.cfg.Log.Warn("settings_invalid", "path", it.Key, "revision", it.GoodRev, "error", err)
		}
	}
	applied, err := n.tree.Apply(it.Key, it.Value, it.Rev)
	switch applied {
	case settings.Invalid:
		metrics.GetOrCreateCounter("weldfall_settings_invalid_total").Inc()
		n.cfg.Log.Warn("settings_invalid", "path", it.Key, "revision", it.Rev, "error", err)
		text, rev, _ := n.tree.LastGood(it.Key)
		n.store.MarkInvalid(it.Topic, it.Key, text, rev)
	case settings.InForce:
		metrics.GetOrCreateCounter("weldfall_settings_applied_total").Inc()
		n.cfg.Log.Info("settings_in_force", "path", it.Key, "revision", it.Rev)
	}
}

// jitter spreads a period by a tenth either way.
func jitter(d clock.Millis) clock.Millis { return d*9/10 + clock.Millis(rand.Int64N(int64(d)/5+1)) }
