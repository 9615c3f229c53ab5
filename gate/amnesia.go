package gate

import "github.com/weldfall/weldfall/common/clock"

// amnesiaFor is how long a process takes it that no entry knows which requests ended
// engines, unless it hears of one that does: a caller of such a request comes again within
// seconds.
const amnesiaFor clock.Millis = 60_000

// beginAmnesia is called with the first list of engines. One that has engines shows that
// the fleet is older than this process: if all entries started lately, as after a loss of
// power, what they knew of requests is lost.
func (g *Gate) beginAmnesia() {
	now := g.clk.Now()
	g.mu.Lock()
	begins := len(g.book.IDs()) > 0
	if begins {
		g.amnesiaUntil = now + amnesiaFor
	}
	g.mu.Unlock()
	if !begins {
		return
	}
	g.guard.SetHistoryUnknownUntil(now + amnesiaFor)
	g.log.Info("strikes_unknown", "for_ms", amnesiaFor)
}

// remembers reports whether this entry knows which requests ended engines. The caller holds
// mu.
func (g *Gate) remembers(now clock.Millis) bool {
	return g.table.Load() != nil && g.listed.Known() && now >= g.amnesiaUntil
}

// hearMemory takes word of a peer of that id that knows which requests ended engines: it
// tells them.
func (g *Gate) hearMemory(from string) {
	now := g.clk.Now()
	g.mu.Lock()
	ends := now < g.amnesiaUntil
	g.amnesiaUntil = 0
	g.mu.Unlock()
	if !ends {
		return
	}
	g.guard.SetHistoryUnknownUntil(0)
	g.log.Info("strikes_known", "told_by", from)
}
