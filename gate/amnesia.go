package gate

import "github.com/weldfall/weldfall/common/clock"

// historyUnknownFor is how long a process takes it that no entry knows which requests ended
// engines, unless it hears of one that does: a caller of such a request comes again within
// seconds.
const historyUnknownFor clock.Millis = 60_000

// beginUnknownHistory is called with the first list of engines. One that has engines shows that
// the fleet is older than this process: if all entries started lately, as after a loss of
// power, what they knew of requests is lost.
func (g *Gate) beginUnknownHistory() {
	now := g.clk.Now()
	g.mu.Lock()
	begins := len(g.book.IDs()) > 0
	if begins {
		g.historyUnknownUntil = now + historyUnknownFor
	}
	g.mu.Unlock()
	if !begins {
		return
	}
	g.guard.SetHistoryUnknownUntil(now + historyUnknownFor)
	g.log.Info("strikes_unknown", "for_ms", historyUnknownFor)
}

// knowsHistory reports whether this entry knows which requests ended engines. The caller holds
// mu.
func (g *Gate) knowsHistory(now clock.Millis) bool {
	return g.table.Load() != nil && g.listFreshness.Known() && now >= g.historyUnknownUntil
}

// receiveHistory takes word of a peer of that id that knows which requests ended engines: it
// tells them.
func (g *Gate) receiveHistory(from string) {
	now := g.clk.Now()
	g.mu.Lock()
	ends := now < g.historyUnknownUntil
	g.historyUnknownUntil = 0
	g.mu.Unlock()
	if !ends {
		return
	}
	g.guard.SetHistoryUnknownUntil(0)
	g.log.Info("strikes_known", "told_by", from)
}
