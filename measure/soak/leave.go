package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
)

// EndEngines stops engines as operators do: they are listed as leaving, and their processes end soon
// after, with responses on them.
const EndEngines Kind = "end"

// Leaving has planned stops of engines, many of whose responses have neither a length nor chunks,
// along with stops of gates and changes of settings.
const Leaving Play = "leaving"

// Orders in which the connections and the listener of a process are closed.
const (
	listenerFirst = "listener_first"
	connsFirst    = "conns_first"
)

var (
	endVariants = []string{listenerFirst, connsFirst}
	// leavingKinds are the other steps of a leaving play.
	leavingKinds = []Kind{Stop, Stop, Series, RollingStop, Reload, Reload, PublishConfig, PublishConfig, AddEngine, DrainEngine}
)

const (
	// maxEndGap limits the time between two EndEngines steps, and maxEnding the engines of one.
	maxEndGap = 900 * time.Millisecond
	maxEnding = 3
	// maxLeavingOthers limits the number of other steps.
	maxLeavingOthers = 6
	// shortLeave and longLeave limit the time from the listing of an engine to its end.
	shortLeave = 300 * time.Millisecond
	longLeave  = 1200 * time.Millisecond
	// maxListenerLag limits how long after its connections an engine closes its listener.
	maxListenerLag = 40 * time.Millisecond
)

// newLeaving draws overlapping EndEngines steps and some other steps.
func newLeaving(rng *rand.Rand, length time.Duration) []Step {
	var steps []Step
	for at := time.Second; at < length-quiet; at += time.Duration(rng.Int64N(int64(maxEndGap))) {
		s := Step{Start: at, Kind: EndEngines, Variant: endVariants[rng.IntN(len(endVariants))], Index: rng.IntN(maxIndex), Count: 1 + rng.IntN(maxEnding), Repeats: rng.IntN(maxRepeats)}
		longest := shortLeave
		if rng.IntN(4) == 0 {
			longest = longLeave
		}
		s.Duration = time.Duration(rng.Int64N(int64(longest)))
		steps = append(steps, s)
	}
	for range 1 + rng.IntN(maxLeavingOthers) {
		s := Step{Start: time.Duration(rng.Int64N(int64(length - quiet))), Kind: leavingKinds[rng.IntN(len(leavingKinds))], Index: rng.IntN(maxIndex), Duration: shortestStep}
		steps = append(steps, s.drawVariant(rng, nil))
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.Start - b.Start) })
	return steps
}

// endEngines ends consecutive engines, and each of them again after its return.
func (w *deployment) endEngines(s Step) {
	w.mu.Lock()
	n := len(w.engines)
	w.mu.Unlock()
	var wg sync.WaitGroup
	for k := range min(s.Count, n) {
		wg.Go(func() {
			for range s.Repeats + 1 {
				if time.Now().After(w.quietFrom) {
					return
				}
				w.leaveAndEnd((s.Index+k)%n, s.Duration, s.Variant)
			}
		})
	}
	wg.Wait()
}

// leaveAndEnd lists an engine as leaving, ends its process and waits until it has started again.
func (w *deployment) leaveAndEnd(i int, leave time.Duration, variant string) {
	w.mu.Lock()
	e := w.engines[i]
	w.publishEngine(i, "draining")
	w.mu.Unlock()
	time.Sleep(leave)
	from := time.Now()
	if variant == connsFirst {
		e.CloseConns()
		time.Sleep(min(leave, maxListenerLag))
	}
	e.End(engineDown)
	// Responses broken by the end of their engine are not attributed to stops of gates.
	w.rec.addDisturbance(disturbance{kind: EndEngines, gate: everyGate, from: from, until: time.Now()})
	time.Sleep(2 * engineDown)
}

// endsUnframed returns the behavior of an engine in a leaving play.
func endsUnframed(reply func(standin.Run) standin.Reply) func(standin.Run) standin.Reply {
	return func(run standin.Run) standin.Reply {
		p := reply(run)
		p.Unframed = len(run.ID) > 0 && run.ID[len(run.ID)-1]%4 != 0
		return p
	}
}
