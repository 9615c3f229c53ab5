package fleet

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/fleet/member"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
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
		n.view.Prune(forgetAfter, now)
	})
}

// forgetAfter is longer than the longest window of a key.
const forgetAfter clock.Millis = 90_000_000

// wokeUp distrusts what this process knew before a pause and renews it before
// it serves again.
func (n *Node) wokeUp(gap clock.Millis) {
	metrics.GetOrCreateCounter("weldfall_pauses_total").Inc()
	n.cfg.Log.Warn("pause_noticed", "gap_ms", int64(gap))
	n.mu.Lock()
	n.view.ResetExchanges()
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
	msg := n.store.NewExchange(n.cfg.ID, n.clk.Now())
	msg.Loads = n.loadSample()
	msg.Leaving = n.view.LeavingIDs()
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	var res wire.Exchanged
	err := n.call(ctx, addr, wire.MethodExchange, msg, &res)
	n.mu.Lock()
	n.view.RecordExchange(err == nil)
	if err != nil {
		n.mu.Unlock()
		metrics.GetOrCreateCounter("weldfall_exchange_failed_total").Inc()
		n.cfg.Log.Debug("exchange_failed", "peer", id, "error", err)
		n.settleReady(listed)
		return
	}
	news := n.learn(res.Items)
	n.store.ApplyAnswer(wire.Exchanged{Upto: res.Upto, PlatformAge: res.PlatformAge}, n.clk.Now())
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
	if len(news) > handOnAtMost {
		// This process is catching up; the others have had these for long.
		news = nil
	}
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

// handOnAtMost is how many items that came with an exchange are handed on.
const handOnAtMost = 3

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
	fresh := n.store.PlatformAge(n.clk.Now()) < freshEnough
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
		if used += len(it.Value) + len(it.LastGood); used > pushBytes && len(out) > 0 {
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
	n.view.MarkLeaving(n.cfg.ID)
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
