package fleet

import (
	"context"
	"math/rand/v2"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/fleet/member"
	"github.com/weldfall/weldfall/fleet/source"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/route"
	"github.com/weldfall/weldfall/settings"
)

// readersPerHall is how many processes of a data hall read the platform.
const readersPerHall = 2

// isReader reports whether this process is one of those in its data hall that read the
// platform: the ones ranked first for the hall's name. A process that is not live on the list
// is a reader only if it has no peers.
func (n *Node) isReader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.cfg.Bootstrap) > 0 && !n.listComplete {
		// With an incomplete list, every process would rank among the first.
		return false
	}
	var ids []route.Target
	self := false
	for _, in := range n.view.Instances() {
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
	// longPollWait is how long a read waits at the platform for a change.
	longPollWait clock.Millis = 2000
	// readBackoff is the pause after a failed read.
	readBackoff clock.Millis = 1000
	// readerCheckPeriod is how often a process checks whether it is a reader.
	readerCheckPeriod clock.Millis = 1000
	// staleAfter is the age of the platform's latest response at which processes other than
	// the readers begin to read it too.
	staleAfter clock.Millis = 15_000
	// fallbackReadsPerSecond is the approximate rate of such reads over the whole fleet.
	fallbackReadsPerSecond = 20
)

// readLoop reads one topic of the platform while mayRead allows it. An entry, or a process
// without bootstrap peers, also reads it when it starts.
func (n *Node) readLoop(t source.Topic) func(context.Context) {
	return func(ctx context.Context) {
		// A daemon with peers does not read the platform at start: it needs only a small
		// part of what a full read returns.
		first := n.cfg.Role == member.Entry || len(n.cfg.Bootstrap) == 0
		for ctx.Err() == nil {
			if !first && !n.mayRead() {
				clock.Sleep(ctx, jitter(readerCheckPeriod))
				continue
			}
			wait := longPollWait
			if first || !n.isReader() {
				wait = 0
			}
			ok := n.read(ctx, t, wait)
			first = first && !n.Ready() && !n.hasRead(t)
			if !ok {
				clock.Sleep(ctx, jitter(readBackoff))
			}
		}
	}
}

// hasRead reports whether this process has read a topic of the platform to its end.
func (n *Node) hasRead(t source.Topic) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.platformRead[t]
}

// mayRead reports whether this process may read the platform now. A reader always may. Another
// process may from startTimeout after its start if it is not ready or its data is stale. Such
// reads are random, so that the whole fleet makes about fallbackReadsPerSecond.
func (n *Node) mayRead() bool {
	if n.isReader() {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.store.PlatformAge(n.clk.Now()) < staleAfter && n.ready.Load() || n.clk.Now()-n.startedAt < startTimeout {
		return false
	}
	return rand.Float64() < fallbackReadsPerSecond/float64(len(n.view.Peers())+1)
}

// read applies what the platform has after the local revision and reports whether it
// succeeded. Items of an older revision change nothing, and such a response does not renew
// the platform's age.
func (n *Node) read(ctx context.Context, t source.Topic, wait clock.Millis) bool {
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
	if b.Attempts > 1 {
		n.cfg.Log.Warn("platform_silent", "topic", t, "asked", b.Attempts)
	}
	n.mu.Lock()
	items := n.toItems(t, b)
	newItems := n.applyItems(items)
	for _, topic := range wireTopics(t) {
		n.store.MarkComplete(topic, b.Rev)
	}
	if b.Rev >= after {
		n.store.RecordPlatformAnswer(0, n.clk.Now())
	}
	if !b.More {
		n.platformRead[t] = true
	}
	n.mu.Unlock()
	if after > 0 {
		// After a full read, this process is catching up and its items are not new to
		// others.
		n.push(newItems, nil)
	}
	n.updateReady(0)
	return true
}

func wireTopics(t source.Topic) []wire.Topic {
	if t == source.Instances {
		return []wire.Topic{wire.TopicInstances}
	}
	return []wire.Topic{wire.TopicCore, wire.TopicBranches}
}

// readAfter returns the lowest revision to which all held topics of t are complete. The
// caller holds mu.
func (n *Node) readAfter(t source.Topic) int64 {
	after := int64(-1)
	for _, topic := range wireTopics(t) {
		if !n.store.Holds(topic) {
			continue
		}
		if rev := n.store.Upto(topic); after < 0 || rev < after {
			after = rev
		}
	}
	return max(0, after)
}

// toItems converts a batch into items. Each names the revision before it in its topic, so
// that peers can tell whether they missed any.
func (n *Node) toItems(t source.Topic, b source.Batch) []wire.Item {
	prev := map[wire.Topic]int64{}
	for _, topic := range wireTopics(t) {
		prev[topic] = n.store.Upto(topic)
	}
	items := make([]wire.Item, 0, len(b.Items))
	for _, it := range b.Items {
		topic := wire.TopicInstances
		if t == source.Config {
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
