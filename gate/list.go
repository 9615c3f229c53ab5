package gate

import (
	"github.com/weldfall/weldfall/engines"
)

// PutEngine records an engine as listed.
func (g *Gate) PutEngine(in engines.Info) {
	g.mu.Lock()
	before := g.book.Get(in.ID)
	change := g.book.Put(in, g.clk.Now())
	g.limitConns(g.table.Load(), in)
	rivals := g.book.Rivals(in.ID)
	g.mu.Unlock()
	switch change {
	case engines.Same:
		return
	case engines.TurnedCold:
		g.log.Info("engine_cold", "engine", in.ID, "service", in.Service, "for_ms", in.ColdFor)
		return
	case engines.Restarted:
		// Its earlier life has answered the last on these.
		g.pool.Forget(before.Info().Addr)
		g.recordEnd(before.Info())
	}
	g.log.Info("engine", "change", string(change), "engine", in.ID, "born", in.Born, "service", in.Service, "addr", in.Addr, "hall", in.Hall)
	for _, o := range rivals {
		g.log.Warn("engine_address_shared", "addr", in.Addr, "engine", in.ID, "born", in.Born, "other", o.ID, "other_born", o.Born)
	}
}

// RemoveEngine records that an engine is no longer listed.
func (g *Gate) RemoveEngine(id, cause string) {
	g.mu.Lock()
	in, ok := g.book.Remove(id)
	delete(g.warmupParts, id)
	g.mu.Unlock()
	if !ok {
		return
	}
	g.pool.Forget(in.Addr)
	g.recordEnd(in)
	g.log.Info("engine", "change", string(engines.Gone), "engine", id, "service", in.Service, "addr", in.Addr, "cause", cause)
}

// recordEnd records that a life of an engine is over by the list. One that had said that it
// leaves ended as planned, whatever ran there.
func (g *Gate) recordEnd(in engines.Info) {
	mark := in.Incarnation().Mark()
	g.guard.ConfirmCrash(mark)
	if !in.Leaving {
		g.guard.RecordIncarnationEnd(mark, in.ID, endedByList)
	}
}

// ForgetEngine records that what was said of an engine and of its lives was not so.
func (g *Gate) ForgetEngine(id string) {
	g.mu.Lock()
	g.book.Forget(id)
	delete(g.warmupParts, id)
	g.mu.Unlock()
	g.log.Info("engine", "change", string(engines.Forgotten), "engine", id, "cause", "others told what is not so")
}

// WasListed reports whether a life of an engine was on the list and no longer is.
func (g *Gate) WasListed(n engines.Incarnation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.WasListed(n)
}

// MarkEngineMissing records that the list lacks an engine that may come back.
func (g *Gate) MarkEngineMissing(id string) {
	g.mu.Lock()
	news := g.book.Doubt(id)
	g.mu.Unlock()
	if news {
		g.log.Info("engine", "change", string(engines.Missing), "engine", id, "cause", "missing from the list after the store was away")
	}
}

// MarkEngineUnreadable records that the entry of an engine names no engine to use.
func (g *Gate) MarkEngineUnreadable(id, cause string) {
	g.mu.Lock()
	news := g.book.Mask(id)
	g.mu.Unlock()
	if news {
		g.log.Warn("engine", "change", string(engines.Unreadable), "engine", id, "cause", cause)
	}
}
