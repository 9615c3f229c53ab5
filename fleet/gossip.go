package fleet

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/fleet/member"
	"github.com/weldfall/weldfall/fleet/source"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
)

// tickLoop detects pauses of this process and removes expired instances from the view.
func (n *Node) tickLoop(ctx context.Context) {
	detector := clock.NewPauseDetector(PauseLimit, n.clk.Now())
	clock.Every(ctx, tickPeriod, func() {
		now := n.clk.Now()
		if gap := detector.Tick(now); gap > 0 {
			n.handlePause(gap)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.view.Prune(goneRetention, now)
	})
}

// goneRetention is how long instances that are gone stay in the view. It is longer than
// the longest window in which an idempotency key is claimed (once.window_ms).
const goneRetention clock.Millis = 90_000_000

// handlePause marks the node as not ready after a pause, until its data has been renewed.
func (n *Node) handlePause(gap clock.Millis) {
	metrics.GetOrCreateCounter("weldfall_pauses_total").Inc()
	n.cfg.Log.Warn("pause_noticed", "gap_ms", int64(gap))
	n.mu.Lock()
	n.view.ResetExchanges()
	n.caughtUp, n.renewing = false, true
	clear(n.platformRead)
	clear(n.respondedPeers)
	n.startedAt = n.clk.Now()
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

// randomPeer returns a random peer, or a bootstrap address while the list is empty.
func (n *Node) randomPeer() (id, addr string, listed int) {
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
	id, addr, listed := n.randomPeer()
	if addr == "" {
		n.updateReady(0)
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
		n.updateReady(listed)
		return
	}
	newItems := n.applyItems(res.Items)
	n.store.ApplyAnswer(wire.Exchanged{Upto: res.Upto, PlatformAge: res.PlatformAge}, n.clk.Now())
	leaving := n.markLeaving(res.Leaving)
	n.observeLoads(res.Loads)
	n.respondedPeers[id] = true
	n.newest.record(res.Revs, n.clk.Now())
	n.caughtUp = n.upToDate()
	n.listComplete = n.isComplete(wire.TopicInstances)
	if _, ok := res.Revs[wire.TopicBranches]; ok {
		n.branchesComplete = n.isComplete(wire.TopicBranches)
	}
	n.mu.Unlock()
	metrics.GetOrCreateCounter("weldfall_exchange_total").Inc()
	if len(newItems) > maxPushedItems {
		// This process is catching up; others already have these items.
		newItems = nil
	}
	n.push(newItems, leaving)
	n.updateReady(listed)
}

// upToDate reports whether this process has all of the topics that it needs before it serves.
// A daemon can serve without the whole list of instances, which takes minutes to receive in a
// large fleet. The caller holds mu.
func (n *Node) upToDate() bool {
	return n.isComplete(wire.TopicCore) && (n.cfg.Role != member.Entry || n.isComplete(wire.TopicInstances))
}

// hasReadPlatform reports whether this process has read all that the platform has of the topics
// that it needs before it serves. The caller holds mu.
func (n *Node) hasReadPlatform() bool {
	return n.platformRead[source.Config] && (n.cfg.Role != member.Entry || n.platformRead[source.Instances])
}

// isComplete reports whether this process has something of a topic, and all that peers lately
// had. The caller holds mu.
func (n *Node) isComplete(t wire.Topic) bool {
	upto := n.store.Upto(t)
	return upto > 0 && upto >= n.newest.of(t, n.clk.Now())
}

// maxPushedItems is the largest number of new items in one exchange that are pushed to other
// peers. If there are more, none are pushed.
const maxPushedItems = 3

// startTimeout is how long a starting process waits until it serves with the data of only the
// platform or only its peers. The platform's data alone is enough earlier if no peers are known
// or configured, and the data of peers if the process resumes after a pause or the platform's
// data is recent (see maxStartPlatformAge).
const startTimeout clock.Millis = 3000

// maxStartPlatformAge limits the age of the platform's data at which a starting process
// serves with the data of its peers alone. The age counts from the platform's latest response
// to any process. The platform responds to a long poll within longPollWait.
const maxStartPlatformAge = longPollWait + 2000

// updateReady marks the node as ready if it knows enough to serve.
func (n *Node) updateReady(listed int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ready.Load() {
		return
	}
	enoughPeers := n.caughtUp && len(n.respondedPeers) >= min(minStartPeers, max(1, listed))
	alone := listed == 0 && len(n.cfg.Bootstrap) == 0
	waited := n.clk.Now()-n.startedAt > startTimeout
	fresh := n.store.PlatformAge(n.clk.Now()) < maxStartPlatformAge
	fromPlatform := n.hasReadPlatform()
	if (fromPlatform && (enoughPeers || alone || waited)) || (enoughPeers && (waited || n.renewing || fresh)) {
		n.ready.Store(true)
		n.cfg.Log.Info("ready", "from_platform", fromPlatform, "peers_heard", len(n.respondedPeers))
	}
}

func (n *Node) handleExchange(e wire.Exchange) wire.Exchanged {
	n.mu.Lock()
	res := n.store.Answer(e, n.clk.Now())
	res.Loads = n.loadSample()
	res.Leaving = n.view.LeavingIDs()
	n.observeLoads(e.Loads)
	leaving := n.markLeaving(e.Leaving)
	n.mu.Unlock()
	n.push(nil, leaving)
	return res
}

// loadSample returns loads of this process's own engines and the freshest loads known of
// others. The caller holds mu.
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

// push sends new items and leaving instances to a few random peers.
func (n *Node) push(newItems []wire.Item, leaving []string) {
	if len(newItems) == 0 && len(leaving) == 0 {
		return
	}
	n.mu.Lock()
	peers := n.view.Peers()
	n.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	sent := 0
	for _, p := range peers {
		items := itemsFor(p.Role, newItems)
		if len(items) == 0 && len(leaving) == 0 {
			continue
		}
		if sent++; sent > pushFanout {
			return
		}
		go n.sendPush(p.Addr, wire.Push{From: n.cfg.ID, Items: items, Leaving: leaving})
	}
}

// maxPushBytes limits the size of the values in one push, in bytes. The first item is sent
// whatever its size. Items beyond the limit arrive by exchange.
const maxPushBytes = 8000

func itemsFor(role member.Role, newItems []wire.Item) []wire.Item {
	var out []wire.Item
	used := 0
	for _, it := range newItems {
		if it.Topic == wire.TopicBranches && role != member.Entry {
			continue
		}
		if used += len(it.Value) + len(it.LastGood); used > maxPushBytes && len(out) > 0 {
			break
		}
		out = append(out, it)
	}
	return out
}

func (n *Node) sendPush(addr string, p wire.Push) {
	c, err := n.cfg.Pool.Get(addr, link.Control)
	if err != nil {
		return
	}
	_ = c.Notify(wire.MethodPush, p)
}

// AnnounceLeaving reports to all entries and a few other peers that this instance is
// draining, which members see as leaving. It marks the node as not ready.
func (n *Node) AnnounceLeaving() {
	n.mu.Lock()
	n.view.MarkLeaving(n.cfg.ID)
	peers := n.view.Peers()
	n.invalidateTargets()
	n.mu.Unlock()
	n.ready.Store(false)
	for _, p := range peers {
		if p.Role == member.Entry {
			go n.sendPush(p.Addr, wire.Push{From: n.cfg.ID, Leaving: []string{n.cfg.ID}})
		}
	}
	n.push(nil, []string{n.cfg.ID})
}

// fetchBranch requests the branch of the settings at path from peers until two entries have
// responded, as many as a starting process needs (minStartPeers). It reports whether one of them
// has all branches that are known to exist: if the branch is not known then, there is none.
func (n *Node) fetchBranch(ctx context.Context, path string) (complete bool) {
	n.mu.Lock()
	peers := n.view.Peers()
	n.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	responses := 0
	for _, p := range peers {
		if p.Role != member.Entry || responses == minStartPeers {
			continue
		}
		var res wire.Fetched
		if n.call(ctx, p.Addr, wire.MethodFetch, wire.Fetch{Topic: wire.TopicBranches, Keys: []string{path}}, &res) != nil {
			continue
		}
		responses++
		n.mu.Lock()
		n.applyItems(res.Items)
		complete = complete || (res.Upto > 0 && res.Upto >= n.newest.of(wire.TopicBranches, n.clk.Now()))
		n.mu.Unlock()
	}
	return complete
}

func (n *Node) handleFetch(f wire.Fetch) wire.Fetched {
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
