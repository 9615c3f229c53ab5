package prefill_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/prefill"
)

// randomTokens returns a number of new tokens from 10 to 3,000.
func randomTokens(rng *rand.Rand) int { return int(10 * math.Pow(300, rng.Float64())) }

// responseTime returns the time to the first byte: a base, the time for the tokens, and
// more for a share of the requests.
func responseTime(rng *rand.Rand, tokens int, perToken, delayed float64) clock.Millis {
	took := 12 + perToken*float64(tokens)
	if rng.Float64() < delayed {
		took += 40 + 2000*rng.Float64()
	}
	return clock.Millis(took)
}

// The estimate holds even if other prompts, fetches or evicted prefixes delay most
// requests.
func TestEstimateDespiteDelays(t *testing.T) {
	for _, perToken := range []float64{0.01, 0.024, 0.08, 0.3} {
		for _, delayed := range []float64{0, 0.3, 0.6} {
			var ratios []float64
			for seed := range uint64(50) {
				rng := rand.New(rand.NewPCG(seed, 1))
				var s prefill.Estimator
				for range 200 {
					tokens := randomTokens(rng)
					s.Observe(tokens, responseTime(rng, tokens, perToken, delayed))
				}
				ratios = append(ratios, s.MillisPerToken()/perToken)
			}
			mean := 0.0
			for _, r := range ratios {
				mean += r / float64(len(ratios))
			}
			if mean < 0.6 || mean > 1.7 {
				t.Errorf("got %.2f times the true %g ms per token on average, with %g delayed", mean, perToken, delayed)
			}
		}
	}
}

// There is no estimate from too few samples, or from prompts of the same length.
func TestNoEstimate(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var few, alike, odd prefill.Estimator
	for range 29 {
		tokens := randomTokens(rng)
		few.Observe(tokens, responseTime(rng, tokens, 0.1, 0))
	}
	for range 100 {
		alike.Observe(500, responseTime(rng, 500, 0.1, 0.3))
		odd.Observe(0, 100)
		odd.Observe(-5, 100)
		odd.Observe(100, -1)
	}
	for name, s := range map[string]*prefill.Estimator{"few": &few, "alike": &alike, "odd": &odd} {
		if got := s.MillisPerToken(); got != 0 {
			t.Errorf("%s: got %g ms per token, want no estimate", name, got)
		}
	}
}

// The estimate follows when engines are replaced by faster or slower ones, after as many
// samples as are kept.
func TestEstimateFollowsChange(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 1))
	var s prefill.Estimator
	for _, perToken := range []float64{0.02, 0.2, 0.02} {
		for range 80 {
			tokens := randomTokens(rng)
			s.Observe(tokens, responseTime(rng, tokens, perToken, 0.2))
		}
		if got := s.MillisPerToken(); got < perToken/2 || got > perToken*2 {
			t.Errorf("got %g ms per token, want about %g", got, perToken)
		}
	}
}

// A few extreme samples, as from a pause of this process or a stuck engine, change the
// estimate little and never make it negative.
func TestEstimateResistsOutliers(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 1))
	var s prefill.Estimator
	for i := range 400 {
		tokens := randomTokens(rng)
		took := responseTime(rng, tokens, 0.05, 0)
		if i%20 == 0 {
			took = clock.Millis(rng.IntN(60_000))
		}
		s.Observe(tokens, took)
		if got := s.MillisPerToken(); i > 40 && (got < 0.02 || got > 0.15) {
			t.Fatalf("got %g ms per token after %d requests, want about 0.05", got, i)
		}
	}
}

func BenchmarkObserve(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	var s prefill.Estimator
	for range b.N {
		s.Observe(randomTokens(rng), 30)
	}
}
