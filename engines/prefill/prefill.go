// Package prefill estimates how fast the engines of a service prefill prompts, from the
// times to the first byte of their responses. It does no I/O: the caller passes in the
// samples, and locks.
package prefill

import (
	"cmp"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// maxSamples is how many of the latest samples an estimate is based on, minSamples how
	// many it needs.
	maxSamples = 60
	minSamples = 30
	// fitPeriod is the number of samples after which the estimate is updated.
	fitPeriod = 10
	// groups is the number of groups into which the samples are divided by their tokens.
	// The estimate compares the first group with the last.
	groups = 3
	// fastQuantile is the quantile of the times in a group that the estimate uses. The
	// responses below it waited for nothing but their own tokens.
	fastQuantile = 0.1
	// fitRounds is how often the line is fitted to the residuals of the line before.
	// Within a group, too, shorter prompts get their response sooner.
	fitRounds = 6
	// minLengthRatio is the least ratio of the median tokens of the outer groups.
	minLengthRatio = 2
)

// Estimator estimates the prefill time per token. The zero value is ready to use and has
// no estimate.
//
// The estimate is the slope of a resistant line from the third of the samples with the
// fewest new tokens to the third with the most, through the tenth percentile of the times
// in each. Delays from other causes, such as other prompts, fetches and evicted prefixes,
// only lengthen times and rarely affect the fastest tenth.
type Estimator struct {
	// samples is a ring of the latest samples, at most maxSamples.
	samples []sample
	next    int
	// sinceFit counts the samples since the last fit.
	sinceFit int
	// perToken is the estimate in milliseconds, 0 if there is none. It is never negative.
	perToken float64
}

// sample is the first byte of one response.
type sample struct {
	// tokens is how many tokens at the end of the prompt no other request shares.
	tokens int
	took   clock.Millis
}

// Observe records that a response began the given time after its request was sent. tokens
// is how many tokens at the end of its prompt no other request shares.
func (s *Estimator) Observe(tokens int, took clock.Millis) {
	if tokens <= 0 || took < 0 {
		return
	}
	if len(s.samples) < maxSamples {
		s.samples = append(s.samples, sample{tokens, took})
	} else {
		s.samples[s.next] = sample{tokens, took}
		s.next = (s.next + 1) % maxSamples
	}
	if s.sinceFit++; s.sinceFit >= fitPeriod && len(s.samples) >= minSamples {
		s.sinceFit = 0
		s.fit()
	}
}

// MillisPerToken returns the estimated prefill time per token in milliseconds, or 0 if
// there is no estimate.
func (s *Estimator) MillisPerToken() float64 { return s.perToken }

// fit updates the estimate. It leaves it unchanged if the samples allow none.
func (s *Estimator) fit() {
	byTokens := slices.Clone(s.samples)
	slices.SortFunc(byTokens, func(a, b sample) int { return cmp.Compare(a.tokens, b.tokens) })
	n := len(byTokens) / groups
	short, long := byTokens[:n], byTokens[len(byTokens)-n:]
	from, to := short[n/2].tokens, long[n/2].tokens
	if to < minLengthRatio*from {
		return
	}
	slope := 0.0
	for range fitRounds {
		slope += (fastResidual(long, slope) - fastResidual(short, slope)) / float64(to-from)
	}
	if slope > 0 {
		s.perToken = slope
	}
}

// fastResidual returns the fastQuantile of the times in a group after subtracting perToken
// for each token.
func fastResidual(in []sample, perToken float64) float64 {
	residuals := make([]float64, len(in))
	for i, b := range in {
		residuals[i] = float64(b.took) - perToken*float64(b.tokens)
	}
	slices.Sort(residuals)
	return residuals[int(fastQuantile*float64(len(residuals)-1))]
}
