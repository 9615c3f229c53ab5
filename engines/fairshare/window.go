package fairshare

import (
	"math"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// bucketLength and buckets set the length of the window in which use is counted.
	bucketLength = clock.Millis(300)
	buckets      = 10
	// usualHalfLife is the half-life of the usual use of a workspace.
	usualHalfLife clock.Millis = 120_000
	// minAge is the least time that a rate is taken over.
	minAge clock.Millis = 1000
)

// window sums the costs of the last 3 s.
type window struct {
	costs, squares [buckets]float64
	// last is the number of the latest bucket.
	last int64
}

// advance empties the buckets that have expired.
func (w *window) advance(now clock.Millis) {
	n := int64(now / bucketLength)
	for i := max(w.last+1, n-buckets+1); i <= n; i++ {
		w.costs[i%buckets], w.squares[i%buckets] = 0, 0
	}
	w.last = max(w.last, n)
}

func (w *window) add(cost float64, now clock.Millis) {
	w.advance(now)
	w.costs[w.last%buckets] += cost
	w.squares[w.last%buckets] += cost * cost
}

// rate returns the cost per second, and the variance of that rate if requests arrive
// independently. No time before start is counted.
func (w *window) rate(start, now clock.Millis) (rate, variance float64) {
	w.advance(now)
	var costs, squares float64
	for i := range buckets {
		costs += w.costs[i]
		squares += w.squares[i]
	}
	covered := (buckets-1)*bucketLength + now%bucketLength
	t := float64(max(minAge, min(covered, now-start))) / millisPerSecond
	return costs / t, squares / (t * t)
}

const (
	millisPerSecond = 1000
	windowSeconds   = float64(buckets*bucketLength) / millisPerSecond
)

// average is an exponentially decaying average rate. Since its start, all times within
// have the same weight as in an average that is older.
type average struct {
	sum float64
	at  clock.Millis
}

func (a *average) decay(now clock.Millis) {
	if now > a.at {
		a.sum *= halved(now-a.at, usualHalfLife)
		a.at = now
	}
}

func (a *average) add(cost float64, now clock.Millis) {
	a.decay(now)
	a.sum += cost
}

// rate returns the average cost per second since start.
func (a *average) rate(start, now clock.Millis) float64 {
	a.decay(now)
	scale := float64(usualHalfLife) / math.Ln2 / millisPerSecond
	return a.sum / (scale * (1 - halved(max(minAge, now-start), usualHalfLife)))
}

// halved returns the weight that is left after age d.
func halved(d, halfLife clock.Millis) float64 {
	return math.Exp2(-float64(max(0, d)) / float64(halfLife))
}
