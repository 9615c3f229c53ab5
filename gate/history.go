package gate

import "github.com/weldfall/weldfall/common/clock"

// historyUnknownFor is how long a process assumes that no entry knows which requests
// crashed engines, unless one reports that it does. Callers of such requests retry within
// seconds.
const historyUnknownFor clock.Millis = 60_000

// beginUnknownHistory is called with the first list of engines. If the list has engines,
// the fleet is older than this process: if all entries were restarted lately, as after a
// loss of power, their history of crashes is lost.
func (g *Gate) beginUnknownHistory() {
	now := g.clk.Now()
	g.mu.Lock()
	unknown := len(g.registry.IDs()) > 0
	if unknown {
		g.historyUnknownUntil = now + historyUnknownFor
	}
	g.mu.Unlock()
	if !unknown {
		return
	}
	g.guard.SetHistoryUnknownUntil(now + historyUnknownFor)
	g.log.Info("strikes_unknown", "for_ms", historyUnknownFor)
}

// knowsHistory reports whether this entry knows which requests crashed engines. The caller
// holds mu.
func (g *Gate) knowsHistory(now clock.Millis) bool {
	return g.table.Load() != nil && g.listFreshness.Known() && now >= g.historyUnknownUntil
}

// receiveHistory handles the report of the peer with ID from that it knows which requests
// crashed engines. Its suspects are received with it.
func (g *Gate) receiveHistory(from string) {
	now := g.clk.Now()
	g.mu.Lock()
	wasUnknown := now < g.historyUnknownUntil
	g.historyUnknownUntil = 0
	g.mu.Unlock()
	if !wasUnknown {
		return
	}
	g.guard.SetHistoryUnknownUntil(0)
	g.log.Info("strikes_known", "told_by", from)
}
