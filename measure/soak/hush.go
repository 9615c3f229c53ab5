package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/weldfall/weldfall/internal/proxy"
	"github.com/weldfall/weldfall/platform/standin"
)

// SilenceStore makes the store silent for a short time, or the connections of one gate to
// it permanently.
const SilenceStore Kind = "hush"

// Hushing has a store that repeatedly becomes silent for a short time while engines join
// and drain.
const Hushing Play = "hushing"

// What happens to the connections during a silence.
const (
	silenceOnly = "open"
	// silenceCutAtStart cuts them when the silence begins, silenceCutHalfway in its middle
	// and silenceCutRepeatedly all the time.
	silenceCutAtStart    = "cut"
	silenceCutHalfway    = "half"
	silenceCutRepeatedly = "often"
	// silenceConns makes those of one gate silent permanently, while new ones work.
	silenceConns = "connections"
)

const (
	// minStoreSilence and maxStoreSilence bound the length of a silence, maxSilenceGap the
	// time between two.
	minStoreSilence = 100 * time.Millisecond
	maxStoreSilence = 1500 * time.Millisecond
	maxSilenceGap   = 4 * time.Second
	// silenceCutPeriod is the time between two cuts.
	silenceCutPeriod = 130 * time.Millisecond
	// silenceDrainSlack is how long beyond drainBound requests may still reach a draining
	// engine, counted again from the end of each silence.
	silenceDrainSlack = time.Second
)

var (
	silenceVariants = []string{silenceOnly, silenceCutAtStart, silenceCutAtStart, silenceCutHalfway, silenceCutRepeatedly, silenceConns}
	// hushingKinds are the steps beside the silences.
	hushingKinds = []Kind{DrainEngine, DrainEngine, DrainEngine, AddEngine, AddEngine, PublishConfig, Reload}
)

// newHushing draws consecutive silences and planned steps beside them.
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

// interval is a period of time.
type interval struct{ from, until time.Time }

// silenceStore carries out a SilenceStore step.
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

// drainDeadline returns until when requests may still reach an engine that was published as
// draining at the given time.
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
