package gate

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/peers"
	"github.com/weldfall/weldfall/table"
)

const (
	// coldPart is how much of what a cold engine may get the entries share out;
	// the rest is for entries that do not yet know of the same others.
	coldPart = 0.85
	// fleetKnownAfter is how long an entry takes at most to hear of all others: a
	// dozen rounds of asking. Until then, and while it knows none, it takes it
	// that there are usualEntries.
	fleetKnownAfter clock.Millis = 6000
	usualEntries                 = extraShare
)

// SetOthers implements peers.Host. An entry that loses sight of others cannot
// tell whether they ended, so it goes on counting as many as it ever knew.
func (g *Gate) SetOthers(self string, others []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if most := len(others) + 1; most > g.mostEntries {
		g.mostEntries = most
		g.boundAllConns(g.table.Load())
	}
	least := g.mostEntries
	if len(others) == 0 || g.clk.Now()-g.began <= fleetKnownAfter {
		least = max(least, usualEntries)
	}
	if g.parts != nil && slices.Equal(others, g.others) && least == g.leastEntries {
		return
	}
	g.others, g.leastEntries = others, least
	g.shares, g.parts = peers.NewShares(self, others, least), map[string]int{}
}

// cold returns what holds for cold engines of a request's service. The caller
// holds mu.
func (g *Gate) cold(c *call) engines.Cold {
	s, ok := c.table.Service(c.service)
	b := g.bounds()
	if !ok || s.Warmup <= 0 || b.WarmupOverrun+b.WarmupExtra <= 0 {
		return engines.Cold{}
	}
	return engines.Cold{For: s.Warmup, Most: func(id string) int { return g.coldMost(s, id) }}
}

// coldMost is this entry's part of what a cold engine may get. The caller holds
// mu.
func (g *Gate) coldMost(s table.Service, id string) int {
	part, ok := g.parts[id]
	if !ok {
		b := g.bounds()
		part = g.shares.Part(int(coldPart*(s.WarmupRate*b.WarmupOverrun+b.WarmupExtra)), id)
		g.parts[id] = part
	}
	return part
}
