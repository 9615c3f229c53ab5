package gate

import (
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/verdict"
)

const (
	// evacuationMargin is taken off the bound for evacuations: from its choice
	// until it arrives a request takes at most the time in which a connection to
	// the engine must come up, 500 ms, and the clocks of two machines may run
	// apart as they may for keys.
	evacuationMargin = 500 + revocationMargin
	// retryEvacuated is when a request may come back all of whose engines are in
	// data halls under evacuation: that lasts for seconds, and callers wait no
	// longer than a third of the time that they have left.
	retryEvacuated clock.Millis = 1000
)

// SetEvacuated puts in force which data halls are under evacuation; halls names
// all of them, sorted.
func (g *Gate) SetEvacuated(halls []string) {
	g.mu.Lock()
	before := g.evacuated
	g.evacuated = halls
	g.book.Evacuate(halls, g.clk.Now())
	g.mu.Unlock()
	g.logEvacuations("begun", halls, before)
	g.logEvacuations("taken_back", before, halls)
}

// logEvacuations logs a change for each of the data halls that is not among the
// others.
func (g *Gate) logEvacuations(change string, halls, others []string) {
	for _, h := range halls {
		if slices.Contains(others, h) {
			continue
		}
		g.mu.Lock()
		n := g.book.InHall(h)
		g.mu.Unlock()
		g.log.Info("evacuation", "change", change, "hall", h, "engines", n)
	}
}

// knowsEvacuations reports whether no evacuation that this entry does not know
// of can be in force by the operators' bound when a request arrives that is sent
// now. The caller holds mu.
func (g *Gate) knowsEvacuations(now clock.Millis) bool {
	bound := g.bounds().Evacuation
	return bound == 0 || g.tableFreshness.Within(bound-evacuationMargin, now)
}

// noEngine is the refusal of a request for which there is no engine. The caller
// holds mu.
func (g *Gate) noEngine(c *call) *verdict.Error {
	if n, all := g.book.Evacuated(c.service); n > 0 && n == all {
		return verdict.New(c.verdict(), verdict.NoEngine, "all %d engines of %s are in data halls under evacuation", n, c.service).WithRetryAfter(retryEvacuated)
	}
	return verdict.New(c.verdict(), verdict.NoEngine, "no engine of %s is left, %d tried", c.service, len(c.tried)).WithRetryAfter(retrySoon)
}

// checksum returns a sum over names that differs where the names do, zero for none.
func checksum(names []string) uint64 {
	if len(names) == 0 {
		return 0
	}
	return xxh3.HashString(strings.Join(names, "\x00"))
}
