package engines

import (
	"math"

	"github.com/weldfall/weldfall/common/clock"
)

// decay is an exponential decay, tabulated for one half-life. Choose evaluates it twice
// for each engine: computing exponentials took 10 of the 24 µs of a choice among 188
// engines (BenchmarkChoose, one core).
type decay []float64

// newDecay returns a decay with the given half-life.
func newDecay(halfLife clock.Millis) decay {
	f := make(decay, halfLife)
	for i := range f {
		f[i] = math.Exp2(-float64(i) / float64(halfLife))
	}
	return f
}

// maxHalfLives is the number of half-lives after which the remaining weight is
// negligible and counts as zero.
const maxHalfLives = 60

// weight returns the weight that remains after age d, from 1 to 0.
func (f decay) weight(d clock.Millis) float64 {
	d = max(0, d)
	n := d / clock.Millis(len(f))
	if n >= maxHalfLives {
		return 0
	}
	return f[d-n*clock.Millis(len(f))] / float64(uint64(1)<<n)
}
