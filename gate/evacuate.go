package gate

import (
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/verdict"
)

const (
	// evacuationMargin is subtracted from the bound for evacuations. From the choice of its
	// engine a request takes at most 500 ms to arrive, the time limit for a new connection,
	// and the clocks of two machines may differ in speed, as for keys.
	evacuationMargin = 500 + revocationMargin
	// retryEvacuated is the Retry-After of requests all of whose engines are in data halls
	// under evacuation. An evacuation lasts for seconds, and callers wait no longer than a
	// third of their remaining time.
	retryEvacuated clock.Millis = 1000
)

// SetEvacuated sets the data halls under evacuation. halls names all of them, sorted.
func (g *Gate) SetEvacuated(halls []string) {
	g.mu.Lock()
	before := g.evacuated
	g.evacuated = halls
	g.registry.SetEvacuatedHalls(halls, g.clk.Now())
	g.mu.Unlock()
	g.logEvacuations("begun", halls, before)
	g.logEvacuations("taken_back", before, halls)
}

// logEvacuations logs a change for each hall in halls that is not in others.
func (g *Gate) logEvacuations(change string, halls, others []string) {
	for _, h := range halls {
		if slices.Contains(others, h) {
			continue
		}
		g.mu.Lock()
		n := g.registry.CountInHall(h)
		g.mu.Unlock()
		g.log.Info("evacuation", "change", change, "hall", h, "engines", n)
	}
}

// knowsEvacuations reports whether every evacuation that must be in force by the operators'
// bound when a request sent now arrives is known. The caller holds mu.
func (g *Gate) knowsEvacuations(now clock.Millis) bool {
	bound := g.bounds().Evacuation
	return bound == 0 || g.tableFreshness.Within(bound-evacuationMargin, now)
}

// noEngine returns the error for a request for which there is no engine. The caller holds
// mu.
func (g *Gate) noEngine(c *call, now clock.Millis) *verdict.Error {
	if n, until := g.allRest(c, now); n > 0 {
		return verdict.New(c.verdict(), verdict.NoEngine, "all %d engines of %s want no requests for now, %d tried", n, c.service, len(c.tried)).WithRetryAfter(retryAfterRest(until, now))
	}
	if v := c.requiredVersion(); v != "" && !g.registry.HasUntried(c.service, v, c.tried, now) {
		return g.noEngineOfVersion(c)
	}
	if n, all := g.registry.CountEvacuated(c.service); n > 0 && n == all {
		return verdict.New(c.verdict(), verdict.NoEngine, "all %d engines of %s are in data halls under evacuation", n, c.service).WithRetryAfter(retryEvacuated)
	}
	return verdict.New(c.verdict(), verdict.NoEngine, "no engine of %s is available, %d tried", c.service, len(c.tried)).WithRetryAfter(retrySoon)
}

// checksum returns a checksum of names, zero if there are none.
func checksum(names []string) uint64 {
	if len(names) == 0 {
		return 0
	}
	return xxh3.HashString(strings.Join(names, "\x00"))
}
