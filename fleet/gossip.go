package fleet

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/member"
	"github.com/weldfall/weldfall/platform"
	"github.com/weldfall/weldfall/route"
	"github.com/weldfall/weldfall/settings"
	"github.com/weldfall/weldfall/wire"
)

// tickLoop notices pauses of this process and looks after what ends by time.
func (n *Node) tickLoop(ctx context.Context) {
	detector := clock.NewPauseDetector(PauseLimit, n.clk.Now())
	clock.Every(ctx, tickPeriod, func() {
		now := n.clk.Now()
		if gap := detector.Tick(now); gap > 0 {
			n.wokeUp(gap)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.view.Forget(forgetAfter, now)
	})
}

// forgetAfter is longer than the longest window of a key.
const forgetAfter clock.Millis = 90_000_000

// wokeUp distrusts what this process knew before a pause and renews it before
// it serves again.
func (n *Node) wokeUp(gap clock.Millis) {
	n.pauses.Add(1)
	metrics.GetOrCreateCounter("weldfall_pauses_total").Inc()
	n.cfg.Log.Warn("pause_noticed", "gap_ms", int64(gap))
	n.mu.Lock()
	n.view.Distrust()
	n.caughtUp, n.readOK, n.renewing = false, false, true
	clear(n.heardPeers)
	n.startAt = n.clk.Now()
	n.ready.Store(false)
	n.mu.Unlock()
	select {
	case n.wakeup <- struct{}{}:
	default:
	}
}

func (n *Node) exchangeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.exchange(ctx)
		wait := jitter(ExchangePeriod)
		if !n.Ready() {
			wait = jitter(ExchangePeriod / 10)
		}
		timer := make(chan struct{})
		go func() {
			defer close(timer)
			clock.Sleep(ctx, wait)
		}()
		select {
		case <-timer:
		case <-n.wakeup:
		case <-ctx.Done():
		}
	}
}

// peer picks a random peer, or a bootstrap address while the list is unknown.
func (n *Node) peer() (id, addr string, listed int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	peers := n.view.Peers()
	if len(peers) > 0 {
		p := peers[rand.IntN(len(peers))]
		return p.ID, p.Addr, len(peers)
	}
	if len(n.cfg.Bootstrap) > 0 {
		addr := n.cfg.Bootstrap[rand.IntN(len(n.cfg.Bootstrap))]
		return addr, addr, 0
	}
	return "", "", 0
}

func (n *Node) exchange(ctx context.Context) {
	id, addr, listed := n.peer()
	if addr == "" {
		n.settleReady(0)
		return
	}
	n.mu.Lock()
	msg := n.store.Ask(n.cfg.ID, n.clk.Now())
	msg.Loads = n.loadSample()
	msg.Leaving = n.view.LeavingIDs()
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	var res wire.Exchanged
	err := n.call(ctx, addr, wire.MethodExchange, msg, &res)
	n.mu.Lock()
	n.view.Contact(err == nil)
	if err != nil {
		n.mu.Unlock()
		metrics.GetOrCreateCounter("weldfall_exchange_failed_total").Inc()
		n.cfg.Log.Debug("exchange_failed", "peer", id, "error", err)
		n.settleReady(listed)
		return
	}
	news := n.learn(res.Items)
	n.store.Learn(wire.Exchanged{Upto: res.Upto, Fresh: res.Fresh}, n.clk.Now())
	leaving := n.learnLeaving(res.Leaving)
	n.sample(res.Loads)
	n.heardPeers[id] = true
	n.caughtUp = n.upToDate(res.Revs)
	n.listComplete = n.store.Upto(wire.TopicInstances) >= res.Revs[wire.TopicInstances]
	if rev, ok := res.Revs[wire.TopicBranches]; ok {
		n.branchesComplete = n.store.Upto(wire.TopicBranches) >= rev
	}
	n.mu.Unlock()
	metrics.GetOrCreateCounter("weldfall_exchange_total").Inc()
	n.push(news, leaving)
	n.settleReady(listed)
}

// upToDate reports whether this process has all that the peer had of the
// topics that decisions need at once; the caller holds mu. A daemon can decide
// before it has the whole list, which takes minutes for a large fleet.
func (n *Node) upToDate(revs map[wire.Topic]int64) bool {
	needed := []wire.Topic{wire.TopicCore}
	if n.cfg.Role == member.Entry {
		needed = append(needed, wire.TopicInstances)
	}
	for _, t := range needed {
		if n.store.Upto(t) < revs[t] {
			return false
		}
	}
	return true
}

// startPatience is how long a starting process waits to hear from both the
// platform and its peers before it makes do with one of them.
const startPatience clock.Millis = 3000

// freshEnough is the age of the platform's latest word to anybody at which
// peers alone are believed: a watch answers after watchWait at the latest.
const freshEnough = watchWait + 2000

// settleReady decides whether the node knows enough to serve.
func (n *Node) settleReady(listed int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ready.Load() {
		return
	}
	enoughPeers := n.caughtUp && len(n.heardPeers) >= min(startPeers, max(1, listed))
	alone := listed == 0 && len(n.cfg.Bootstrap) == 0
	waited := n.clk.Now()-n.startAt > startPatience
	fresh := n.store.Fresh(n.clk.Now()) < freshEnough
	if (n.readOK && (enoughPeers || alone || waited)) || (enoughPeers && (waited || n.renewing || fresh)) {
		n.ready.Store(true)
		n.cfg.Log.Info("ready", "from_platform", n.readOK, "peers_heard", len(n.heardPeers))
	}
}

func (n *Node) answer(e wire.Exchange) wire.Exchanged {
	n.mu.Lock()
	res := n.store.Answer(e, n.clk.Now())
	res.Loads = n.loadSample()
	res.Leaving = n.view.LeavingIDs()
	n.sample(e.Loads)
	leaving := n.learnLeaving(e.Leaving)
	n.mu.Unlock()
	n.push(nil, leaving)
	return res
}

// loadSample returns the own engines' loads and the freshest others known; the
// caller holds mu.
func (n *Node) loadSample() []wire.Load {
	var out []wire.Load
	if n.cfg.Loads != nil {
		out = n.cfg.Loads()
		rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:min(len(out), loadsPerExchange)]
	}
	own := len(out)
	for _, f := range n.loads.Freshest(loadsPerExchange, n.clk.Now()) {
		if !slices.ContainsFunc(out[:own], func(l wire.Load) bool { return l.Engine == f.Engine }) {
			out = append(out, f)
		}
	}
	return out
}

func (n *Node) call(ctx context.Context, addr, method string, params, result any) error {
	c, err := n.cfg.Pool.Get(addr, link.Control)
	if err != nil {
		return err
	}
	return c.Call(ctx, method, params, result)
}

// push hands news on to a few random peers at once.
func (n *Node) push(news []wire.Item, leaving []string) {
	if len(news) == 0 && len(leaving) == 0 {
		return
	}
	n.mu.Lock()
	peers := n.view.Peers()
	n.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	sent := 0
	for _, p := range peers {
		items := itemsFor(p.Role, news)
		if len(items) == 0 && len(leaving) == 0 {
			continue
		}
		if sent++; sent > pushFanout {
			return
		}
		go n.notify(p.Addr, wire.Push{From: n.cfg.ID, Items: items, Leaving: leaving})
	}
}

// pushBytes bounds the items of one push; the rest comes by exchange.
const pushBytes = 8000

func itemsFor(role member.Role, news []wire.Item) []wire.Item {
	var out []wire.Item
	used := 0
	for _, it := range news {
		if it.Topic == wire.TopicBranches && role != member.Entry {
			continue
		}
		if used += len(it.Value) + len(it.Good); used > pushBytes && len(out) > 0 {
			break
		}
		out = append(out, it)
	}
	return out
}

func (n *Node) notify(addr string, p wire.Push) {
	c, err := n.cfg.Pool.Get(addr, link.Control)
	if err != nil {
		return
	}
	_ = c.Notify(wire.MethodPush, p)
}

// AnnounceLeaving tells all entries and a few other peers that this instance
// leaves.
func (n *Node) AnnounceLeaving() {
	n.mu.Lock()
	n.view.SaidLeaving(n.cfg.ID)
	peers := n.view.Peers()
	n.viewChanged()
	n.mu.Unlock()
	n.ready.Store(false)
	for _, p := range peers {
		if p.Role == member.Entry {
			go n.notify(p.Addr, wire.Push{From: n.cfg.ID, Leaving: []string{n.cfg.ID}})
		}
	}
	n.push(nil, []string{n.cfg.ID})
}

// Readers are as many in each data hall.
const readersPerHall = 2

// isReader reports whether this process is one of the few in its data hall
// that read the platform: those ranked first for the hall's name.
func (n *Node) isReader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.cfg.Bootstrap) > 0 && !n.listComplete {
		// With half of a list everybody would be among the first.
		return false
	}
	var ids []route.Target
	self := false
	for _, in := range n.view.Listing() {
		if in.Hall == n.cfg.Hall && n.view.State(in.ID) == member.Live {
			ids = append(ids, route.NewTarget(in.ID, 1))
			self = self || in.ID == n.cfg.ID
		}
	}
	if !self {
		return len(n.view.Peers()) == 0
	}
	for _, i := range route.Rank(route.ChatKey("reader", n.cfg.Hall), ids, readersPerHall) {
		if ids[i].ID() == n.cfg.ID {
			return true
		}
	}
	return false
}

const (
	// watchWait is how long a read waits at the platform for a change.
	watchWait clock.Millis = 10_000
	// readBackoff is the wait after a failed read.
	readBackoff clock.Millis = 1000
	// readerCheck is how often a process asks itself whether it is a reader.
	readerCheck clock.Millis = 1000
	// staleAfter is the age of the freshest news from the platform at which
	// processes other than the readers try for themselves.
	staleAfter clock.Millis = 15_000
	// strayReads is about how many such reads a second the whole fleet makes.
	strayReads = 20
)

// readLoop reads one topic of the platform while this process is a reader.
func (n *Node) readLoop(t platform.Topic) func(context.Context) {
	return func(ctx context.Context) {
		// A daemon that has peers to ask leaves the platform alone: it needs a
		// small part of what a read from the start brings.
		first := n.cfg.Role == member.Entry || len(n.cfg.Bootstrap) == 0
		for ctx.Err() == nil {
			if !first && !n.mayRead() {
				clock.Sleep(ctx, jitter(readerCheck))
				continue
			}
			wait := watchWait
			if first || !n.isReader() {
				wait = 0
			}
			ok := n.read(ctx, t, wait)
			first = first && !ok && !n.Ready()
			if !ok {
				clock.Sleep(ctx, jitter(readBackoff))
			}
		}
	}
}

func (n *Node) mayRead() bool {
	if n.isReader() {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.store.Fresh(n.clk.Now()) < staleAfter && n.ready.Load() || n.clk.Now()-n.startAt < startPatience {
		return false
	}
	return rand.Float64() < strayReads/float64(len(n.view.Peers())+1)
}

// read takes what the platform has after what this process has; it returns
// false on failure. Answers older than that change nothing.
func (n *Node) read(ctx context.Context, t platform.Topic, wait clock.Millis) bool {
	n.mu.Lock()
	after := n.readAfter(t)
	n.mu.Unlock()
	b, err := n.cfg.Platform.Changes(ctx, t, after, wait)
	if err != nil {
		if ctx.Err() == nil {
			metrics.GetOrCreateCounter("weldfall_platform_failed_total").Inc()
			n.cfg.Log.Warn("platform_unreachable", "topic", t, "error", err)
		}
		return false
	}
	n.mu.Lock()
	items := n.toItems(t, b)
	news := n.learn(items)
	for _, topic := range topicsOf(t) {
		n.store.Complete(topic, b.Rev)
	}
	if b.Rev >= after {
		n.store.Heard(0, n.clk.Now())
	}
	n.readOK = true
	n.mu.Unlock()
	n.push(news, nil)
	n.settleReady(0)
	return true
}

func topicsOf(t platform.Topic) []wire.Topic {
	if t == platform.Instances {
		return []wire.Topic{wire.TopicInstances}
	}
	return []wire.Topic{wire.TopicCore, wire.TopicBranches}
}

// readAfter is the lowest revision that all held topics of t are complete to;
// the caller holds mu.
func (n *Node) readAfter(t platform.Topic) int64 {
	after := int64(-1)
	for _, topic := range topicsOf(t) {
		if !n.store.Holds(topic) {
			continue
		}
		if rev := n.store.Upto(topic); after < 0 || rev < after {
			after = rev
		}
	}
	return max(0, after)
}

// toItems turns a batch into items; each names the one before it in its
// topic, so that peers can tell whether they missed any.
func (n *Node) toItems(t platform.Topic, b platform.Batch) []wire.Item {
	prev := map[wire.Topic]int64{}
	for _, topic := range topicsOf(t) {
		prev[topic] = n.store.Upto(topic)
	}
	items := make([]wire.Item, 0, len(b.Items))
	for _, it := range b.Items {
		topic := wire.TopicInstances
		if t == platform.Config {
			topic = wire.TopicBranches
			if settings.Depth(it.Key) <= 1 {
				topic = wire.TopicCore
			}
		}
		items = append(items, wire.Item{Topic: topic, Key: it.Key, Rev: it.Rev, Prev: prev[topic], Value: it.Value, Gone: it.Gone})
		prev[topic] = it.Rev
	}
	return items
}

// fetch asks two peers for one branch that this process does not have yet.
func (n *Node) fetch(ctx context.Context, path string) {
	n.mu.Lock()
	peers := n.view.Peers()
	n.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	answered := 0
	for _, p := range peers {
		if p.Role != member.Entry || answered == startPeers {
			continue
		}
		var res wire.Fetched
		if n.call(ctx, p.Addr, wire.MethodFetch, wire.Fetch{Topic: wire.TopicBranches, Keys: []string{path}}, &res) != nil {
			continue
		}
		answered++
		n.mu.Lock()
		n.learn(res.Items)
		n.mu.Unlock()
	}
}

func (n *Node) answerFetch(f wire.Fetch) wire.Fetched {
	n.mu.Lock()
	defer n.mu.Unlock()
	res := wire.Fetched{Upto: n.store.Upto(f.Topic)}
	for _, k := range f.Keys[:min(len(f.Keys), 16)] {
		if it, ok := n.store.Get(f.Topic, k); ok {
			it.Prev = wire.PrevUnknown
			res.Items = append(res.Items, it)
		}
	}
	return res
}
