package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/weldfall/weldfall/internal/proxy"
	"github.com/weldfall/weldfall/platform/standin"
)

// Hush makes the store silent for a moment, or the connections of one gate to it for good.
const SilenceStore Kind = "hush"

// Hushing has a store that falls silent for a moment, again and again, while engines join
// and leave.
const Hushing Play = "hushing"

// How the connections fare in a silence.
const (
	silenceOnly = "open"
	// hushCut cuts them as it begins, hushHalf half way and hushOften all the time.
	silenceCutAtStart    = "cut"
	silenceCutHalfway    = "half"
	silenceCutRepeatedly = "often"
	// hushConns makes those of one gate silent for good, while new ones work.
	silenceConns = "connections"
)

const (
	// shortestHush and longestHush bound a silence, hushApart the time between two.
	minStoreSilence = 100 * time.Millisecond
	maxStoreSilence = 1500 * time.Millisecond
	maxSilenceGap   = 4 * time.Second
	// hushCutEvery lies between two cuts.
	silenceCutPeriod = 130 * time.Millisecond
	// hushSlack is how long beyond the bound for leaving engines requests may still reach
	// one, counted anew from the end of each silence.
	silenceDrainSlack = time.Second
)

var (
	silenceVariants = []string{silenceOnly, silenceCutAtStart, silenceCutAtStart, silenceCutHalfway, silenceCutRepeatedly, silenceConns}
	// hushingKinds is what goes on beside the silences.
	hushingKinds = []Kind{DrainEngine, DrainEngine, DrainEngine, AddEngine, AddEngine, PublishConfig, Reload}
)

// newHushing draws silences one after the other, and planned work beside them.
func newHushing(rng *rand.Rand, length time.Duration) []Step {
	var steps []Step
	for at := time.Second; at < length-quiet; {
		s := Step{Start: at, Kind: SilenceStore, Variant: silenceVariants[rng.IntN(len(silenceVariants))], Index: rng.IntN(maxIndex)}
		s.Duration = minStoreSilence + time.Duration(rng.Int64N(int64(maxStoreSilence-minStoreSilence)))
		steps = append(steps, s)
		at += s.Duration + time.Duration(rng.Int64N(int64(maxSilenceGap)))
	}
	for range int(length/time.Second)*stepsPerTenSeconds/10 + 1 {
		at := time.Duration(rng.Int64N(int64(length - quiet)))
		steps = append(steps, Step{Start: at, Kind: hushingKinds[rng.IntN(len(hushingKinds))], Index: rng.IntN(maxIndex)})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.Start - b.Start) })
	return steps
}

// span is a stretch of time.
type interval struct{ from, until time.Time }

// hush plays a silence.
func (w *deployment) silenceStore(s Step) {
	from := time.Now()
	defer func() {
		w.rec.mu.Lock()
		defer w.rec.mu.Unlock()
		w.rec.storeSilences = append(w.rec.storeSilences, interval{from, time.Now()})
	}()
	if s.Variant == silenceConns {
		w.gates[s.Index%len(w.gates)].store.Silence(proxy.Cut.DroppedDirection(), maxIndex)
		return
	}
	end := from.Add(s.Duration)
	w.store.SetFault(standin.Silent)
	defer w.store.SetFault(standin.None)
	switch s.Variant {
	case silenceCutAtStart:
		w.store.CutWatches()
	case silenceCutHalfway:
		time.Sleep(s.Duration / 2)
		w.store.CutWatches()
	case silenceCutRepeatedly:
		for time.Until(end) > silenceCutPeriod {
			w.store.CutWatches()
			time.Sleep(silenceCutPeriod)
		}
	}
	time.Sleep(time.Until(end))
}

// mayGet returns until when requests may still reach an engine that was published as
// leaving at a time.
func (r *record) drainDeadline(left time.Time) time.Time {
	if len(r.storeSilences) == 0 {
		if r.lastDisturbance.After(left) {
			left = r.lastDisturbance
		}
		return left.Add(r.drainBound + drainSlack)
	}
	until := left.Add(r.drainBound + silenceDrainSlack)
	for _, h := range r.storeSilences {
		if h.until.After(left) && h.from.Before(until) {
			until = h.until.Add(r.drainBound + silenceDrainSlack)
		}
	}
	return until
}
