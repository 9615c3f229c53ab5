package gate

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/peers"
	"github.com/weldfall/weldfall/table"
)

const (
	// sharedPart is the part of the warm-up quota that the entries divide among themselves.
	// The rest is a reserve for entries that do not yet know the same others.
	sharedPart = 0.85
	// discoveryTime is how long an entry takes at most to discover all others: a dozen rounds
	// of gossip. Until then, and while it knows no others, it assumes that there are
	// assumedEntries.
	discoveryTime  clock.Millis = 6000
	assumedEntries              = minRetryParts
)

// SetOthers implements peers.Host. An entry that loses contact with others cannot tell
// whether they ended, so the largest number known lately still counts.
func (g *Gate) SetOthers(self string, others []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.entries.record(len(others)+1, g.clk.Now()) {
		g.limitAllConns(g.table.Load())
	}
	g.recordForgotten(others)
	minEntries := g.entries.most()
	if len(others) == 0 || g.clk.Now()-g.startedAt <= discoveryTime {
		minEntries = max(minEntries, assumedEntries)
	}
	if g.warmupParts != nil && slices.Equal(others, g.others) && minEntries == g.minEntries {
		return
	}
	g.others, g.minEntries = others, minEntries
	g.shares, g.warmupParts = peers.NewShares(self, others, minEntries), map[string]int{}
}

// warmup returns the limits for engines of the request's service that are in warm-up. The
// caller holds mu.
func (g *Gate) warmup(c *call) engines.Warmup {
	s, ok := c.table.Service(c.service)
	b := g.bounds()
	if !ok || s.Warmup <= 0 || b.WarmupOverrun+b.WarmupExtra <= 0 {
		return engines.Warmup{}
	}
	return engines.Warmup{Duration: s.Warmup, MaxRequests: func(id string) int { return g.warmupQuota(s, id) }}
}

// warmupQuota returns this entry's part of the quota of an engine in warm-up. The caller
// holds mu.
func (g *Gate) warmupQuota(s table.Service, id string) int {
	part, ok := g.warmupParts[id]
	if !ok {
		b := g.bounds()
		part = g.shares.Part(int(sharedPart*(s.WarmupRate*b.WarmupOverrun+b.WarmupExtra)), id)
		g.warmupParts[id] = part
	}
	return part
}
