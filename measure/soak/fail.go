package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// AllGates disturbs all gates at once.
const AllGates Kind = "herd"

// Failing has engines of which each fails half of its requests, while all gates are
// repeatedly killed or paused at once, and many callers, so that retries come close to
// their limit.
const Failing Play = "failing"

// Variants of AllGates.
const (
	allKilled = "killed"
	allPaused = "still"
)

const (
	// failingCallers is the number of additional callers per gate.
	failingCallers = 9
	// shortestFailure and longestFailure bound the time in which engines fail.
	shortestFailure = 2 * time.Second
	longestFailure  = 6 * time.Second
	maxFailureGap   = time.Second
	// maxAllGatesDelay limits the time from the start of a failure to the AllGates step.
	maxAllGatesDelay = 3 * time.Second
)

var allGatesVariants = []string{allKilled, allPaused}

// newFailing draws consecutive failures, with an AllGates step in each.
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

// applyToAllGates kills or pauses all gates.
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

// callFailing sends requests to the plain service until the run ends.
func (w *deployment) callFailing(g, c int) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(failingCallersFrom+g*failingCallers+c)))
	paths := []string{"/safe/x", "/unsafe/x"}
	w.callWith(callerPatience, w.protoOf(g, callers+c), func(n int) request {
		return request{gate: g, id: fmt.Sprintf("g%dc%dn%d", g, callers+c, n), path: paths[rng.IntN(len(paths))], key: keyValid, sent: time.Now()}
	}, rng)
}

// failingCallersFrom separates these random sequences from those of other callers.
const failingCallersFrom = 1 << 33
