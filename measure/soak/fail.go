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
const Herd Kind = "herd"

// Failing has engines of which each fails half of its requests, while all gates are killed
// or stand still at once, again and again, and many callers: repeats come near to their
// bound.
const Failing Play = "failing"

// How the gates of a herd fare.
const (
	herdKilled = "killed"
	herdStill  = "still"
)

const (
	// failingCallers is how many callers of a gate there are more.
	failingCallers = 9
	// shortestFailure and longestFailure bound the time in which engines fail.
	shortestFailure = 2 * time.Second
	longestFailure  = 6 * time.Second
	failuresApart   = time.Second
	// longestHerd is how long after engines begin to fail gates are struck at most.
	longestHerd = 3 * time.Second
)

var herdWays = []string{herdKilled, herdStill}

// newFailing draws failures one after the other, and a herd in each.
func newFailing(rng *rand.Rand, length time.Duration) []Step {
	var steps []Step
	for at := time.Second; at < length-quiet; {
		fail := Step{At: at, Kind: Engines, How: commonWays[rng.IntN(len(commonWays))]}
		fail.For = min(shortestFailure+time.Duration(rng.Int64N(int64(longestFailure-shortestFailure))), length-quiet-at)
		herd := Step{At: at + time.Duration(rng.Int64N(int64(longestHerd))), Kind: Herd, How: herdWays[rng.IntN(len(herdWays))]}
		herd.For = shortestStep + time.Duration(rng.Int64N(int64(longestStep)))
		steps = append(steps, fail)
		if herd.At < length-quiet {
			steps = append(steps, herd)
		}
		at += fail.For + time.Duration(rng.Int64N(int64(failuresApart)))
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// strikeAll kills all gates, or has them stand still.
func (w *world) strikeAll(s Step) {
	var wg sync.WaitGroup
	for _, g := range w.gates {
		wg.Go(func() {
			if s.How == herdKilled {
				g.restart(syscall.SIGKILL, w.quietFrom.Add(restartSlack))
				return
			}
			g.signal(syscall.SIGSTOP)
			time.Sleep(s.For)
			g.signal(syscall.SIGCONT)
		})
	}
	wg.Wait()
}

// callFailing sends plain requests until the run is over.
func (w *world) callFailing(g, c int) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(failingCallersFrom+g*failingCallers+c)))
	paths := []string{"/safe/x", "/unsafe/x"}
	w.callWith(callerPatience, w.protoOf(g, callers+c), func(n int) asked {
		return asked{gate: g, id: fmt.Sprintf("g%dc%dn%d", g, callers+c, n), path: paths[rng.IntN(len(paths))], key: keyKept, sent: time.Now()}
	}, rng)
}

// failingCallersFrom keeps their draws from those of others.
const failingCallersFrom = 1 << 33
