package gate

import (
	"github.com/weldfall/weldfall/engines"
)

// PutEngine records an engine of the list.
func (g *Gate) PutEngine(in engines.Info) {
	g.mu.Lock()
	prev := g.registry.Get(in.ID)
	var listedBefore engines.Info
	if prev != nil {
		listedBefore = prev.Info()
	}
	change := g.registry.Put(in, g.clk.Now())
	var origin []any
	if change != engines.Same {
		origin = g.listOrigin()
		g.recordVersions(in.Service, "")
		if listedBefore.Service != "" {
			g.recordVersions(listedBefore.Service, listedBefore.Version)
		}
	}
	g.limitConns(g.table.Load(), in)
	crashed := change == engines.Restarted && g.registry.Crashed(listedBefore.Incarnation())
	conflicts := g.registry.AddrConflicts(in.ID)
	g.mu.Unlock()
	switch change {
	case engines.Same:
		return
	case engines.WarmupStarted:
		g.log.Info("engine_cold", "engine", in.ID, "service", in.Service, "for_ms", in.WarmupLeft)
		return
	case engines.Restarted:
		// Connections to the earlier incarnation are of no more use.
		g.pool.Forget(listedBefore.Addr)
		g.recordEnd(listedBefore, crashed)
	}
	g.log.Info("engine", append([]any{"change", string(change), "engine", in.ID, "born", in.StartedAt, "version", in.Version, "service", in.Service, "addr", in.Addr, "hall", in.Hall}, origin...)...)
	for _, o := range conflicts {
		g.log.Warn("engine_address_shared", "addr", in.Addr, "engine", in.ID, "born", in.StartedAt, "other", o.ID, "other_born", o.StartedAt)
	}
}

// RecordListed records that an engine was listed until lately, whose entry has changed since.
func (g *Gate) RecordListed(in engines.Info) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if in.Version != "" {
		g.pastVersions.Record(in.Service, in.Version, g.clk.Now())
	}
}

// RemoveEngine records that an engine is no longer listed.
func (g *Gate) RemoveEngine(id, cause string) {
	g.mu.Lock()
	in, ok := g.registry.Remove(id)
	if ok {
		g.recordVersions(in.Service, in.Version)
	}
	delete(g.warmupParts, id)
	origin := g.listOrigin()
	crashed := g.registry.Crashed(in.Incarnation())
	g.mu.Unlock()
	if !ok {
		return
	}
	g.pool.Forget(in.Addr)
	g.recordEnd(in, crashed)
	g.log.Info("engine", append([]any{"change", string(engines.Removed), "engine", id, "service", in.Service, "addr", in.Addr, "cause", cause}, origin...)...)
}

// recordEnd records that an incarnation of an engine has ended by the list. If it had not
// crashed, it ended as planned, whatever ran there.
func (g *Gate) recordEnd(in engines.Info, crashed bool) {
	hash := in.Incarnation().Hash()
	g.guard.ConfirmCrash(hash)
	if crashed {
		g.guard.RecordIncarnationEnd(hash, in.ID, endedByList)
	}
}

// ForgetEngine discards an engine and its incarnations, because what peers reported of it
// was wrong.
func (g *Gate) ForgetEngine(id string) {
	g.mu.Lock()
	if e := g.registry.Get(id); e != nil {
		in := e.Info()
		g.registry.Forget(id)
		g.recordVersions(in.Service, in.Version)
	}
	delete(g.warmupParts, id)
	g.mu.Unlock()
	g.log.Info("engine", "change", string(engines.Forgotten), "engine", id, "cause", "the store does not confirm what peers reported of the engine")
}

// WasListed reports whether an incarnation of an engine was listed and no longer is.
func (g *Gate) WasListed(n engines.Incarnation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.WasListed(n)
}

// MarkEngineMissing records that an engine is missing from the list and may come back.
func (g *Gate) MarkEngineMissing(id string) {
	g.mu.Lock()
	changed := g.registry.MarkMissing(id)
	g.mu.Unlock()
	if changed {
		g.log.Info("engine", "change", string(engines.Missing), "engine", id, "cause", "missing from the list after the store was unavailable")
	}
}

// MarkEngineUnreadable records that the entry of an engine is invalid.
func (g *Gate) MarkEngineUnreadable(id, cause string) {
	g.mu.Lock()
	changed := g.registry.MarkUnreadable(id)
	g.mu.Unlock()
	if changed {
		g.log.Warn("engine", "change", string(engines.Unreadable), "engine", id, "cause", cause)
	}
}
