package engines

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

// RecordPace records how long work took at an engine at the given time, as a multiple of
// the usual. Reports of peers carry no pace.
func (r *Registry) RecordPace(e *Engine, pace float64, at clock.Millis) {
	if p := r.byService[e.info.Service]; p != nil {
		p.pace.Record(&e.pace, pace, at)
	}
}

// Pace returns how long work is expected to take at an engine, as a multiple of the usual,
// or 0 if no engine of its service reported it.
func (r *Registry) Pace(e *Engine, now clock.Millis) float64 {
	p := r.byService[e.info.Service]
	if p == nil || !p.pace.Known() {
		return 0
	}
	return p.pace.Expected(&e.pace, now)
}

// weighByPace returns the loads of the given engines as if all worked at the mean pace, with
// the request that is to be sent. If none reported a pace, it returns loads. The result is
// valid until the next choice.
func (r *Registry) weighByPace(p *pool, in []*Engine, loads []float64, now clock.Millis) []float64 {
	if !p.pace.Known() {
		return loads
	}
	out := slices.Grow(r.scratch.paced[:0], len(in))[:len(in)]
	r.scratch.paced = out
	mean := 0.0
	for i, e := range in {
		out[i] = p.pace.Expected(&e.pace, now)
		mean += out[i] / float64(len(in))
	}
	for i := range in {
		out[i] = (loads[i]+1)*out[i]/mean - 1
	}
	return out
}
