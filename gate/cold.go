package gate

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/peers"
	"github.com/weldfall/weldfall/table"
)

const (
	// sharedPart is how much of what a cold engine may get the entries share out;
	// the rest is for entries that do not yet know of the same others.
	sharedPart = 0.85
	// discoveryTime is how long an entry takes at most to hear of all others: a
	// dozen rounds of asking. Until then, and while it knows none, it takes it
	// that there are usualEntries.
	discoveryTime  clock.Millis = 6000
	assumedEntries              = minRetryParts
)

// SetOthers implements peers.Host. An entry that loses sight of others cannot
// tell whether they ended, so it goes on counting as many as it ever knew.
func (g *Gate) SetOthers(self string, others []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if most := len(others) + 1; most > g.maxEntries {
		g.maxEntries = most
		g.limitAllConns(g.table.Load())
	}
	least := g.maxEntries
	if len(others) == 0 || g.clk.Now()-g.startedAt <= discoveryTime {
		least = max(least, assumedEntries)
	}
	if g.warmupParts != nil && slices.Equal(others, g.others) && least == g.minEntries {
		return
	}
	g.others, g.minEntries = others, least
	g.shares, g.warmupParts = peers.NewShares(self, others, least), map[string]int{}
}

// warmup returns what holds for warmup engines of a request's service. The caller
// holds mu.
func (g *Gate) warmup(c *call) engines.Cold {
	s, ok := c.table.Service(c.service)
	b := g.bounds()
	if !ok || s.Warmup <= 0 || b.WarmupOverrun+b.WarmupExtra <= 0 {
		return engines.Cold{}
	}
	return engines.Cold{For: s.Warmup, Most: func(id string) int { return g.warmupQuota(s, id) }}
}

// warmupQuota is this entry's part of what a cold engine may get. The caller holds
// mu.
func (g *Gate) warmupQuota(s table.Service, id string) int {
	part, ok := g.warmupParts[id]
	if !ok {
		b := g.bounds()
		part = g.shares.Part(int(sharedPart*(s.WarmupRate*b.WarmupOverrun+b.WarmupExtra)), id)
		g.warmupParts[id] = part
	}
	return part
}
