package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/weldfall/weldfall/internal/proxy"
	"github.com/weldfall/weldfall/platform/standin"
)

// Hush makes the store silent for a moment, or the connections of one gate to it for good.
const Hush Kind = "hush"

// Hushing has a store that falls silent for a moment, again and again, while engines join
// and leave.
const Hushing Play = "hushing"

// How the connections fare in a silence.
const (
	hushOpen = "open"
	// hushCut cuts them as it begins, hushHalf half way and hushOften all the time.
	hushCut   = "cut"
	hushHalf  = "half"
	hushOften = "often"
	// hushConns makes those of one gate silent for good, while new ones work.
	hushConns = "connections"
)

const (
	// shortestHush and longestHush bound a silence, hushApart the time between two.
	shortestHush = 100 * time.Millisecond
	longestHush  = 1500 * time.Millisecond
	hushApart    = 4 * time.Second
	// hushCutEvery lies between two cuts.
	hushCutEvery = 130 * time.Millisecond
	// hushSlack is how long beyond the bound for leaving engines requests may still reach
	// one, counted anew from the end of each silence.
	hushSlack = time.Second
)

var (
	hushWays = []string{hushOpen, hushCut, hushCut, hushHalf, hushOften, hushConns}
	// hushingKinds is what goes on beside the silences.
	hushingKinds = []Kind{Leave, Leave, Leave, Join, Join, Publish, Reload}
)

// newHushing draws silences one after the other, and planned work beside them.
func newHushing(rng *rand.Rand, length time.Duration) []Step {
	var steps []Step
	for at := time.Second; at < length-quiet; {
		s := Step{At: at, Kind: Hush, How: hushWays[rng.IntN(len(hushWays))], Who: rng.IntN(whoMost)}
		s.For = shortestHush + time.Duration(rng.Int64N(int64(longestHush-shortestHush)))
		steps = append(steps, s)
		at += s.For + time.Duration(rng.Int64N(int64(hushApart)))
	}
	for range int(length/time.Second)*stepsPerSecond/10 + 1 {
		at := time.Duration(rng.Int64N(int64(length - quiet)))
		steps = append(steps, Step{At: at, Kind: hushingKinds[rng.IntN(len(hushingKinds))], Who: rng.IntN(whoMost)})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// span is a stretch of time.
type span struct{ from, until time.Time }

// hush plays a silence.
func (w *world) hush(s Step) {
	from := time.Now()
	defer func() {
		w.rec.mu.Lock()
		defer w.rec.mu.Unlock()
		w.rec.hushes = append(w.rec.hushes, span{from, time.Now()})
	}()
	if s.How == hushConns {
		w.gates[s.Who%len(w.gates)].store.Silence(proxy.Cut.DroppedDirection(), whoMost)
		return
	}
	end := from.Add(s.For)
	w.store.SetFault(standin.Silent)
	defer w.store.SetFault(standin.None)
	switch s.How {
	case hushCut:
		w.store.CutWatches()
	case hushHalf:
		time.Sleep(s.For / 2)
		w.store.CutWatches()
	case hushOften:
		for time.Until(end) > hushCutEvery {
			w.store.CutWatches()
			time.Sleep(hushCutEvery)
		}
	}
	time.Sleep(time.Until(end))
}

// mayGet returns until when requests may still reach an engine that was published as
// leaving at a time.
func (r *record) mayGet(left time.Time) time.Time {
	if len(r.hushes) == 0 {
		if r.disturbed.After(left) {
			left = r.disturbed
		}
		return left.Add(r.leaving + leaveSlack)
	}
	until := left.Add(r.leaving + hushSlack)
	for _, h := range r.hushes {
		if h.until.After(left) && h.from.Before(until) {
			until = h.until.Add(r.leaving + hushSlack)
		}
	}
	return until
}
