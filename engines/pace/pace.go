// Package pace estimates how long work takes at engines that share their machines with
// other programs and report it with their load. It does no I/O: reports and the time are
// passed in, and the caller locks.
package pace

import (
	"math"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// meanHalfLife is the half-life of reports in the means.
	meanHalfLife clock.Millis = 10_000
	// doubts is the number of standard errors by which a difference must exceed zero. What
	// is left beyond them counts: all entries see the same small differences, and would
	// follow them to the same engine.
	doubts = 2.0
	// minPairs is the number of pairs of reports from which a correlation is known.
	minPairs = 50.0
	// pairsKept is the number of latest pairs that a correlation stands for.
	pairsKept = 1000.0
)

// ages are the ages in milliseconds at which correlations are kept; a pair of reports
// counts at the first one that is not shorter than the time between them.
var ages = [...]clock.Millis{25, 50, 100, 200, 400, 800, 1600}

// Pool is what the engines of one service have in common. The zero value knows nothing.
type Pool struct {
	mean mean
	// pairs holds, for each age, the products of two deviations from the mean that far
	// apart, and the squares of the first.
	pairs [len(ages)]struct{ products, squares, n float64 }
}

// Engine is the pace of one engine. The zero value knows nothing.
type Engine struct {
	mean mean
	// latest is the latest report, at reportedAt.
	latest     float64
	reportedAt clock.Millis
}

// Record adds a report of an engine: how long work takes there as a multiple of the usual,
// above zero. Reports that are not newer than the latest one are ignored.
func (p *Pool) Record(e *Engine, pace float64, at clock.Millis) {
	known := e.mean.weight > 0
	if pace <= 0 || (known && at <= e.reportedAt) {
		return
	}
	if known {
		p.recordPair(e, pace, at-e.reportedAt)
	}
	p.mean.add(pace, at)
	e.mean.add(pace, at)
	e.latest, e.reportedAt = pace, at
}

func (p *Pool) recordPair(e *Engine, pace float64, apart clock.Millis) {
	for i, age := range ages {
		if apart > age {
			continue
		}
		first, second := e.latest-p.mean.value, pace-p.mean.value
		c := &p.pairs[i]
		if c.n >= pairsKept {
			c.products, c.squares, c.n = c.products/2, c.squares/2, c.n/2
		}
		c.products += first * second
		c.squares += first * first
		c.n++
		return
	}
}

// Known reports whether any engine reported its pace.
func (p *Pool) Known() bool { return p.mean.weight > 0 }

// Expected returns how long work is expected to take at an engine now, as a multiple of the
// usual. A report counts only as far as reports of its age were seen to foretell later ones;
// the rest is the mean of the engine, as far as it surely differs from that of all.
// Expected returns 1 if no engine reported its pace.
func (p *Pool) Expected(e *Engine, now clock.Millis) float64 {
	if !p.Known() {
		return 1
	}
	own := e.mean.weight * weightAfter(now-e.mean.at)
	if own == 0 {
		return p.mean.value
	}
	mean := p.mean.value + beyond(e.mean.value-p.mean.value, doubts*math.Sqrt(p.mean.variance/own))
	return mean + p.Correlation(now-e.reportedAt)*(e.latest-mean)
}

// Correlation returns how much of a deviation from the mean is left on average after the
// given time, from 0 to 1, less its doubt. It does not rise with the age, and it is
// 0 until enough reports were seen.
func (p *Pool) Correlation(age clock.Millis) float64 {
	best := 0.0
	for i, a := range ages {
		c := p.pairs[i]
		if age <= a && c.n >= minPairs && c.squares > 0 {
			best = max(best, c.products/c.squares-doubts/math.Sqrt(c.n))
		}
	}
	return min(1, best)
}

// beyond returns the part of a difference that exceeds a doubt.
func beyond(d, doubt float64) float64 {
	return math.Copysign(max(0, math.Abs(d)-doubt), d)
}

// mean is a decaying mean.
type mean struct {
	value, variance float64
	// weight is the number of values that the mean stands for.
	weight float64
	at     clock.Millis
}

func weightAfter(d clock.Millis) float64 {
	return math.Exp2(-float64(max(0, d)) / float64(meanHalfLife))
}

func (m *mean) add(v float64, now clock.Millis) {
	m.weight = m.weight*weightAfter(now-m.at) + 1
	m.at = max(m.at, now)
	d := v - m.value
	m.value += d / m.weight
	m.variance += (d*(v-m.value) - m.variance) / m.weight
}
