// Package prefill learns how fast the engines of a service read prompts, from how long
// answers took to begin. It is pure: a caller hands in what it saw, and locks.
package prefill

import (
	"cmp"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// latestMost is how many of the latest requests a speed rests on, and leastKnown how
	// many it takes to tell one.
	latestMost = 60
	leastKnown = 30
	// relearn is after how many requests the speed is worked out anew.
	relearn = 10
	// parts is into how many parts the requests are divided by their new tokens: the
	// outer two are compared.
	parts = 3
	// quick is the part of the requests that began sooner: those that waited for nothing
	// but their own tokens.
	quick = 0.1
	// polishes is how often the line is drawn through what the line before left: within a
	// part, too, the shorter prompts begin sooner.
	polishes = 6
	// leastApart is by how much the outer parts must differ in length, as a factor.
	leastApart = 2
)

// Estimator is how fast engines read. The zero value knows nothing.
//
// It is the slope of a resistant line: from the lower to the upper third of the requests by
// their new tokens, between the first tenth of each by the time that they took. Most of
// what delays a beginning (other prompts, moves, memory that was lost) makes it later, and
// does not reach the quickest.
type Estimator struct {
	// latest are the latest requests in a ring, at most latestMost of them.
	latest []begun
	next   int
	// fresh counts the requests since perToken was worked out.
	fresh int
	// perToken is in milliseconds, 0 while it is not known; never negative.
	perToken float64
}

// begun is one answer that began.
type begun struct {
	// tokens is how many the prompt had that no other request shares.
	tokens int
	took   clock.Millis
}

// Observe records that an answer began so long after its request was sent to an engine, whose
// prompt ended in so many tokens of its own.
func (s *Estimator) Observe(tokens int, took clock.Millis) {
	if tokens <= 0 || took < 0 {
		return
	}
	if len(s.latest) < latestMost {
		s.latest = append(s.latest, begun{tokens, took})
	} else {
		s.latest[s.next] = begun{tokens, took}
		s.next = (s.next + 1) % latestMost
	}
	if s.fresh++; s.fresh >= relearn && len(s.latest) >= leastKnown {
		s.fresh = 0
		s.learn()
	}
}

// MillisPerToken returns the milliseconds that an engine reads at one token, 0 while that is not
// known.
func (s *Estimator) MillisPerToken() float64 { return s.perToken }

// learn works out the speed. Requests that tell none leave it as it was.
func (s *Estimator) learn() {
	byTokens := slices.Clone(s.latest)
	slices.SortFunc(byTokens, func(a, b begun) int { return cmp.Compare(a.tokens, b.tokens) })
	n := len(byTokens) / parts
	short, long := byTokens[:n], byTokens[len(byTokens)-n:]
	from, to := short[n/2].tokens, long[n/2].tokens
	if to < leastApart*from {
		return
	}
	slope := 0.0
	for range polishes {
		slope += (quickest(long, slope) - quickest(short, slope)) / float64(to-from)
	}
	if slope > 0 {
		s.perToken = slope
	}
}

// quickest returns what is left of the time of the quick part of some requests, at most,
// if their tokens are read at a speed.
func quickest(in []begun, perToken float64) float64 {
	rest := make([]float64, len(in))
	for i, b := range in {
		rest[i] = float64(b.took) - perToken*float64(b.tokens)
	}
	slices.Sort(rest)
	return rest[int(quick*float64(len(rest)-1))]
}
