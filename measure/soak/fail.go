package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Herd strikes all gates at once.
const AllGates Kind = "herd"

// Failing has engines of which each fails half of its requests, while all gates are killed
// or stand still at once, again and again, and many callers: repeats come near to their
// bound.
const Failing Play = "failing"

// How the gates of a herd fare.
const (
	allKilled = "killed"
	allPaused = "still"
)

const (
	// failingCallers is how many callers of a gate there are more.
	failingCallers = 9
	// shortestFailure and longestFailure bound the time in which engines fail.
	shortestFailure = 2 * time.Second
	longestFailure  = 6 * time.Second
	maxFailureGap   = time.Second
	// longestHerd is how long after engines begin to fail gates are struck at most.
	maxAllGatesDelay = 3 * time.Second
)

var allGatesVariants = []string{allKilled, allPaused}

// newFailing draws failures one after the other, and a herd in each.
func newFailing(rng *rand.Rand, length time.Duration) []Step {
	var steps []Step
	for at := time.Second; at < length-quiet; {
		fail := Step{Start: at, Kind: AllEnginesFault, Variant: allEnginesVariants[rng.IntN(len(allEnginesVariants))]}
		fail.Duration = min(shortestFailure+time.Duration(rng.Int64N(int64(longestFailure-shortestFailure))), length-quiet-at)
		all := Step{Start: at + time.Duration(rng.Int64N(int64(maxAllGatesDelay))), Kind: AllGates, Variant: allGatesVariants[rng.IntN(len(allGatesVariants))]}
		all.Duration = shortestStep + time.Duration(rng.Int64N(int64(longestStep)))
		steps = append(steps, fail)
		if all.Start < length-quiet {
			steps = append(steps, all)
		}
		at += fail.Duration + time.Duration(rng.Int64N(int64(maxFailureGap)))
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.Start - b.Start) })
	return steps
}

// strikeAll kills all gates, or has them stand still.
func (w *deployment) applyToAllGates(s Step) {
	var wg sync.WaitGroup
	for _, g := range w.gates {
		wg.Go(func() {
			if s.Variant == allKilled {
				g.restart(syscall.SIGKILL, w.quietFrom.Add(restartSlack))
				return
			}
			g.signal(syscall.SIGSTOP)
			time.Sleep(s.Duration)
			g.signal(syscall.SIGCONT)
		})
	}
	wg.Wait()
}

// callFailing sends plain requests until the run is over.
func (w *deployment) callFailing(g, c int) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(failingCallersFrom+g*failingCallers+c)))
	paths := []string{"/safe/x", "/unsafe/x"}
	w.callWith(callerPatience, w.protoOf(g, callers+c), func(n int) request {
		return request{gate: g, id: fmt.Sprintf("g%dc%dn%d", g, callers+c, n), path: paths[rng.IntN(len(paths))], key: keyKept, sent: time.Now()}
	}, rng)
}

// failingCallersFrom keeps their draws from those of others.
const failingCallersFrom = 1 << 33
