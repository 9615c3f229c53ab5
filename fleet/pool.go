package fleet

import (
	"math/rand/v2"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/fleet/member"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/route"
)

// poolTargets is the cached state of a pool.
type poolTargets struct {
	expiresAt clock.Millis
	// mean is computed again once it is older than meanTTL.
	mean    route.Mean
	meanAt  clock.Millis
	targets []route.Target
	daemons map[string]member.Instance
}

// targetsTTL limits how long the targets of a pool are cached, since holds and backoffs
// expire without a change of the view.
const targetsTTL clock.Millis = 100

// poolTargets returns the targets of a pool. The caller holds mu.
func (n *Node) poolTargets(name string, now clock.Millis) *poolTargets {
	if pt, ok := n.targets[name]; ok && now < pt.expiresAt {
		return pt
	}
	pt := &poolTargets{expiresAt: now + targetsTTL, meanAt: -meanTTL - 1, daemons: map[string]member.Instance{}}
	for _, in := range n.view.Candidates(name, now) {
		for _, e := range in.Engines {
			pt.targets = append(pt.targets, route.NewTarget(e.ID, e.Slots))
			pt.daemons[e.ID] = in
		}
	}
	n.targets[name] = pt
	return pt
}

func (n *Node) invalidateTargets() { clear(n.targets) }

// Choose decides where a request of a pool goes next. It returns the daemon to send the
// request to and the mean load that the choice is based on.
func (n *Node) Choose(pool string, q route.Query, tries []route.Try) (d route.Decision, to member.Instance, mean float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clk.Now()
	pt := n.poolTargets(pool, now)
	m := n.mean(pt, now)
	d = route.Choose(q, pt.targets, n.loads, m, tries, now)
	if s, ok := d.(route.Send); ok {
		n.loads.RecordSent(s.Engine)
		return d, pt.daemons[s.Engine], perSlot(m)
	}
	return d, to, 0
}

// meanUnknown is the mean load if too few engines are known to compute it.
const meanUnknown = -1

func perSlot(m route.Mean) float64 {
	if !m.Reliable() {
		return meanUnknown
	}
	return m.PerSlot
}

// meanTTL is how long the mean load of a pool is cached. Loads reported by other
// processes are older than that anyway.
const meanTTL clock.Millis = 10

// mean returns the mean load of a pool. The caller holds mu.
func (n *Node) mean(pt *poolTargets, now clock.Millis) route.Mean {
	if now-pt.meanAt > meanTTL {
		pt.mean, pt.meanAt = n.loads.Mean(pt.targets, now), now
	}
	return pt.mean
}

// RequestEnded removes a request that was sent to engine from its load.
func (n *Node) RequestEnded(engine string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.RecordEnded(engine)
}

// HomeEngine returns the engine that ranks first for a chat and its daemon, or false if
// the pool has no engines.
func (n *Node) HomeEngine(pool string, key uint64) (string, member.Instance, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	pt := n.poolTargets(pool, n.clk.Now())
	top := route.Rank(key, pt.targets, 1)
	if len(top) == 0 {
		return "", member.Instance{}, false
	}
	id := pt.targets[top[0]].ID()
	return id, pt.daemons[id], true
}

// NextEngine returns the best ranked engine for a chat other than engine, and its daemon,
// or "" if there is none.
func (n *Node) NextEngine(pool string, key uint64, engine string) (next string, at member.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	pt := n.poolTargets(pool, n.clk.Now())
	for _, i := range route.Rank(key, pt.targets, 2) {
		if id := pt.targets[i].ID(); id != engine {
			return id, pt.daemons[id]
		}
	}
	return "", member.Instance{}
}

// PoolLoad returns the number of engines of a pool and its mean load per slot, which is
// negative if too little is known.
func (n *Node) PoolLoad(pool string) (engines int, mean float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clk.Now()
	pt := n.poolTargets(pool, now)
	return len(pt.targets), perSlot(n.mean(pt, now))
}

// PoolSize returns how many engines of a pool are usable and how many are listed.
func (n *Node) PoolSize(pool string) (usable, listed int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, in := range n.view.Instances() {
		if in.Pool == pool {
			listed += len(in.Engines)
		}
	}
	return len(n.poolTargets(pool, n.clk.Now()).targets), listed
}

// RandomEntries returns the addresses of up to limit random other entries.
func (n *Node) RandomEntries(limit int) []string {
	n.mu.Lock()
	peers := n.view.Peers()
	n.mu.Unlock()
	var out []string
	for _, p := range peers {
		if p.Role == member.Entry {
			out = append(out, p.Addr)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(limit, len(out))]
}

// SampleLoads records the load reports in a response.
func (n *Node) SampleLoads(loads []wire.Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observeLoads(loads)
}

// ObserveRefusal records the load reports in a refusal. The first is that of the engine
// that refused.
func (n *Node) ObserveRefusal(loads []wire.Load) {
	if len(loads) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.ObserveRefusal(loads[0].Engine, loads[0].Requests, n.clk.Now()-loads[0].Age)
	n.observeLoads(loads[1:])
}

// FreshestLoads returns the freshest loads known, to be sent with a message.
func (n *Node) FreshestLoads() []wire.Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loads.Freshest(route.MaxAttachedLoads, n.clk.Now())
}

func (n *Node) observeLoads(loads []wire.Load) {
	now := n.clk.Now()
	for _, l := range loads {
		n.loads.Sample(l.Engine, l.Requests, now-l.Age)
	}
}

// Skew returns, for each pool with requests, the highest load per slot of an engine
// divided by the mean of the pool.
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
