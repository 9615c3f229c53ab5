package engines

import (
	"cmp"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

// recent is the engines that told a load, the latest word first. To keep it in order
// costs a few steps a word, since most words are newer than all others; to sort all 10,000
// engines for each message to a peer took 4.6 ms (BenchmarkLoads, one core), and to read off
// the first few takes 2 µs.
type recent struct {
	first *Engine
}

// place puts an engine where its word belongs.
func (r *recent) place(e *Engine) {
	r.take(e)
	var before *Engine
	at := r.first
	for at != nil && at.reportedAt > e.reportedAt {
		before, at = at, at.older
	}
	e.newer, e.older = before, at
	if at != nil {
		at.newer = e
	}
	if before == nil {
		r.first = e
		return
	}
	before.older = e
}

// take takes an engine out, if it is in.
func (r *recent) take(e *Engine) {
	if e.older != nil {
		e.older.newer = e.newer
	}
	switch {
	case e.newer != nil:
		e.newer.older = e.older
	case r.first == e:
		r.first = e.older
	}
	e.newer, e.older = nil, nil
}

// ReportedLoad is what an engine said of its load.
type ReportedLoad struct {
	Incarnation
	Requests int
	Age      clock.Millis
}

// RecentLoads returns the n freshest loads that are at most limit old, those of one age sorted
// by id.
func (b *Registry) RecentLoads(limit clock.Millis, n int, now clock.Millis) []ReportedLoad {
	if n <= 0 {
		return nil
	}
	var out []ReportedLoad
	for e := b.recent.first; e != nil; e = e.older {
		age := now - e.reportedAt
		// The last of one age are all looked at.
		if age > limit || (len(out) >= n && age > out[len(out)-1].Age) {
			break
		}
		out = append(out, ReportedLoad{Incarnation: e.info.Incarnation(), Requests: e.reportedRequests, Age: age})
	}
	slices.SortFunc(out, func(a, b ReportedLoad) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID)) })
	return out[:min(n, len(out))]
}
