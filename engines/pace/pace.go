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
	// doubts is the number of standard errors by which the mean of an engine must differ
	// from that of all: all entries see the same small differences, and would follow them
	// to the same engine.
	doubts = 3.0
	// minReports is the number of reports from which an engine has a mean of its own.
	minReports = 5.0
)

// Pool is what the engines of one service have in common. The zero value knows nothing.
type Pool struct{ mean mean }

// Engine is the pace of one engine. The zero value knows nothing.
type Engine struct{ mean mean }

// Record adds a report of an engine: how long work takes there as a multiple of the usual,
// above zero. Reports that are not newer than the latest one are ignored.
func (p *Pool) Record(e *Engine, pace float64, at clock.Millis) {
	if pace <= 0 || (e.mean.weight > 0 && at <= e.mean.at) {
		return
	}
	p.mean.add(pace, at)
	e.mean.add(pace, at)
}

// Known reports whether any engine reported its pace.
func (p *Pool) Known() bool { return p.mean.weight > 0 }

// Expected returns how long work is expected to take at an engine, as a multiple of the
// usual: the mean of the engine if it surely differs from that of all, else the latter. The
// latest report counts no more than others: engines change their pace faster than they are
// heard. Expected returns 1 if no engine reported its pace.
func (p *Pool) Expected(e *Engine, now clock.Millis) float64 {
	if !p.Known() {
		return 1
	}
	own := e.mean.weight * weightAfter(now-e.mean.at)
	if own < minReports || math.Abs(e.mean.value-p.mean.value) <= doubts*math.Sqrt(p.mean.variance/own) {
		return p.mean.value
	}
	return e.mean.value
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
