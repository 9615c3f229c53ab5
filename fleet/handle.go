package fleet

import (
	"encoding/json"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/fleet/member"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/settings"
)

// Handle handles the control calls that every process accepts. It returns false for other
// methods.
func (n *Node) Handle(method string, params json.RawMessage) (any, bool, error) {
	switch method {
	case wire.MethodExchange:
		e, err := wire.Decode[wire.Exchange](method, params)
		if err != nil {
			return nil, true, err
		}
		return n.handleExchange(e), true, nil
	case wire.MethodFetch:
		f, err := wire.Decode[wire.Fetch](method, params)
		if err != nil {
			return nil, true, err
		}
		return n.handleFetch(f), true, nil
	}
	return nil, false, nil
}

// HandleNotify handles the control notifications that every process accepts, and ignores
// others.
func (n *Node) HandleNotify(method string, params json.RawMessage) {
	if method != wire.MethodPush {
		return
	}
	var p wire.Push
	if json.Unmarshal(params, &p) != nil {
		return
	}
	n.mu.Lock()
	newItems := n.applyItems(p.Items)
	leaving := n.markLeaving(p.Leaving)
	n.mu.Unlock()
	n.push(newItems, leaving)
}

// applyItems applies items and returns those that were new. The caller holds mu.
func (n *Node) applyItems(items []wire.Item) []wire.Item {
	newItems := n.store.Add(items)
	for i, it := range newItems {
		if it.Topic == wire.TopicInstances {
			n.applyInstance(it)
			continue
		}
		n.applySetting(it)
		if kept, ok := n.store.Get(it.Topic, it.Key); ok && kept.Rev == it.Rev {
			newItems[i].LastGood, newItems[i].LastGoodRev = kept.LastGood, kept.LastGoodRev
		}
	}
	return newItems
}

// markLeaving marks instances as leaving and returns those that were not known to be. The
// caller holds mu.
func (n *Node) markLeaving(ids []string) []string {
	var added []string
	for _, id := range ids {
		if n.view.MarkLeaving(id) {
			added = append(added, id)
		}
	}
	if len(added) > 0 {
		n.invalidateTargets()
	}
	return added
}

func (n *Node) applyInstance(it wire.Item) {
	now := n.clk.Now()
	defer n.invalidateTargets()
	if it.Gone {
		n.view.SetUnlisted(it.Key, now)
		n.loads.Retain(n.listedEngines())
		n.cfg.Log.Info("instance_gone", "instance", it.Key, "revision", it.Rev)
		return
	}
	in, err := member.Decode(it.Key, it.Value)
	if err != nil {
		n.cfg.Log.Warn("instance_invalid", "instance", it.Key, "revision", it.Rev, "error", err)
		return
	}
	n.view.SetListed(in, now)
	n.cfg.Log.Debug("instance_listed", "instance", in.ID, "state", in.State, "revision", it.Rev)
}

// listedEngines returns a function that reports whether an engine is on the list. The
// caller holds mu.
func (n *Node) listedEngines() func(string) bool {
	listed := map[string]bool{}
	for _, in := range n.view.Instances() {
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
	if it.LastGood != "" {
		// A process that missed the last valid value before an invalid one, or started
		// after it, still puts it in force.
		if err := n.tree.ApplyLastGood(it.Key, it.LastGood, it.LastGoodRev); err != nil {
			n.cfg.Log.Warn("settings_invalid", "path", it.Key, "revision", it.LastGoodRev, "error", err)
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
