package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
)

// Crowding has engines that run few requests at once, many callers, and disturbances of all
// kinds. Engines of plain services reject what they have no room for and report no load.
const Crowding Play = "crowding"

const (
	// crowdingCallers is the number of additional callers per gate.
	crowdingCallers = 5
	// crowdedSlots is how many requests an engine runs at once, and crowdedQueue how many
	// more it takes.
	crowdedSlots = 8
	crowdedQueue = 4
	// crowdedWork is how long a plain request runs.
	crowdedWork = 40 * time.Millisecond
	// crowdingCallersFrom separates these random sequences from those of other callers.
	crowdingCallersFrom = 1 << 36
)

// crowd counts the requests at an engine by the times at which they end.
type crowd struct {
	mu   sync.Mutex
	ends []time.Time
}

// enter counts a request that runs for d and returns how many were there before. It does not
// count one that finds limit requests.
func (c *crowd) enter(d time.Duration, limit int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, running := time.Now(), 0
	for _, end := range c.ends {
		if end.After(now) {
			c.ends[running] = end
			running++
		}
	}
	c.ends = c.ends[:running]
	if running < limit {
		c.ends = append(c.ends, now.Add(d))
	}
	return running
}

// crowded limits what an engine runs at once. Streams beyond the slots are served later and
// show in the reported load, plain requests beyond the queue are rejected.
func crowded(reply func(standin.Run) standin.Reply) func(standin.Run) standin.Reply {
	var plain, streams crowd
	return func(run standin.Run) standin.Reply {
		p := reply(run)
		if run.URI == standin.HealthPath {
			return p
		}
		if p.Events > 0 {
			n := streams.enter(time.Duration(p.Events)*p.Pause, 4*crowdedSlots)
			p.Load = fmt.Sprintf("%d,%d,%d", min(n+1, crowdedSlots), max(0, n+1-crowdedSlots), crowdedSlots)
			return p
		}
		p.Load = ""
		n := plain.enter(crowdedWork, crowdedSlots+crowdedQueue)
		if n >= crowdedSlots+crowdedQueue {
			return standin.Reply{Refuse: true}
		}
		if p.Wait == 0 && !strings.HasSuffix(run.URI, longPlainSuffix) {
			p.Wait = crowdedWork
		}
		return p
	}
}

// callCrowding sends requests of all kinds.
func (w *deployment) callCrowding(g, c int) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(crowdingCallersFrom+g*crowdingCallers+c)))
	paths := []string{"/safe/x", "/unsafe/x", "/unsafe/x", "/chat/x", "/resume/x"}
	w.callWith(callerPatience, w.protoOf(g, callers+c), func(n int) request {
		return request{gate: g, id: fmt.Sprintf("g%dc%dn%d", g, callers+c, n), path: paths[rng.IntN(len(paths))], key: keyValid, sent: time.Now()}
	}, rng)
}
