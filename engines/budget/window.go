package budget

import (
	"math"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// parts is how many parts a window is counted in.
	parts = 20
	// slices is those of two windows and one more, so that what is counted is never less
	// than that.
	slices = 2*parts + 1
)

// window counts requests and repeats by the time of the process.
type window struct {
	// counts has the latest parts, latest is the number of the last of them.
	counts [slices]count
	latest int64
}

type count struct{ requests, repeats int }

// at returns the part in which now lies.
func (w *window) at(cfg Config, now clock.Millis) *count {
	n := cfg.part(now)
	if n-w.latest >= slices {
		w.counts = [slices]count{}
	} else {
		for i := w.latest + 1; i <= n; i++ {
			w.counts[i%slices] = count{}
		}
	}
	w.latest = max(w.latest, n)
	return &w.counts[w.latest%slices]
}

// base estimates how many requests callers sent in a window. Requests may be read long
// after they were sent, and then many at once, so that those read in one window were sent
// in a longer time. In a stretch that begins while none waits to be read, no more are read
// than were sent. So base is the least mean of all stretches of one to two windows that end
// now. None begins before the process did, since nothing waited for it.
func (w *window) base(cfg Config) float64 {
	life := w.latest - cfg.part(cfg.StartedAt)
	n, least := 0, math.Inf(1)
	for age := range 1 + max(parts, min(slices-1, life)) {
		n += w.ago(age).requests
		if age >= parts {
			// The latest part has only begun. Taken for a whole one it makes the mean no greater.
			least = min(least, float64(n*parts)/float64(age+1))
		}
	}
	return least
}

// repeats returns how many were taken within a window and the lag: the next may arrive in
// one window with all of them.
func (w *window) repeats(cfg Config) int {
	n := 0
	for age := range min(slices, parts+1+cfg.part(cfg.Lag+cfg.partTime()-1)) {
		n += w.ago(age).repeats
	}
	return n
}

// ago returns the part of so many parts ago.
func (w *window) ago(age int64) count {
	return w.counts[((w.latest-age)%slices+slices)%slices]
}

// partTime returns the length of a part.
func (c Config) partTime() clock.Millis { return max(1, c.Window/parts) }

// part returns the number of the part in which a time lies.
func (c Config) part(t clock.Millis) int64 { return int64(t / c.partTime()) }
