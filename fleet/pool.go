package fleet

import (
	"math/rand/v2"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/fleet/member"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/route"
)

// poolTargets is what is cached of a pool.
type poolTargets struct {
	until clock.Millis
	// mean is renewed when it is older than meanTTL.
	mean    route.Mean
	meanAt  clock.Millis
	list    []route.Target
	daemons map[string]member.Instance
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
	for _, in := range n.view.Candidates(name, now) {
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

// RequestEnded takes back the count of a request that was sent to engine.
func (n *Node) RequestEnded(engine string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.Ended(engine)
}

// HomeEngine returns the engine ranked first for a chat, and its daemon.
func (n *Node) HomeEngine(pool string, key uint64) (string, member.Instance, bool) {
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

// NextEngine returns the best ranked engine for a chat other than engine, "" if
// there is none, with its daemon.
func (n *Node) NextEngine(pool string, key uint64, engine string) (next string, at member.Instance) {
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

// PoolSize returns how many engines of a pool can be used, and how many are listed.
func (n *Node) PoolSize(pool string) (usable, listed int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, in := range n.view.Instances() {
		if in.Pool == pool {
			listed += len(in.Engines)
		}
	}
	return len(n.pool(pool, n.clk.Now()).list), listed
}

// RandomEntries returns the addresses of at most n other entries, by chance.
func (n *Node) RandomEntries(most int) []string {
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
	return out[:min(most, len(out))]
}

// SampleLoads takes load reports that came with an answer.
func (n *Node) SampleLoads(loads []wire.Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sample(loads)
}

// ObserveRefusal takes load reports that came with a refusal: the first is that
// of the engine that refused.
func (n *Node) ObserveRefusal(loads []wire.Load) {
	if len(loads) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.Observe(loads[0].Engine, loads[0].Requests, n.clk.Now()-loads[0].Age)
	n.sample(loads[1:])
}

// FreshestLoads returns the freshest loads known, to go with a message.
func (n *Node) FreshestLoads() []wire.Load {
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
