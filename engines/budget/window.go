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

// base returns how many requests callers sent in a window, by the mean of the stretch from
// one to two windows, ending now, in which it is the least. A process may read late what
// they sent, and then much at once: the requests of one window may be those of a longer
// time. A stretch that begins before they were held up tells how long. What was sent before
// the process began is not held up for it.
func (w *window) base(cfg Config) float64 {
	life := w.latest - cfg.part(cfg.Since)
	n, least := 0, math.Inf(1)
	for age := range 1 + max(parts, min(slices-1, life)) {
		n += w.ago(age).requests
		if age >= parts {
			// The latest part has only begun; taken for whole it makes the mean no greater.
			least = min(least, float64(n*parts)/float64(age+1))
		}
	}
	return least
}

// repeats returns how many were taken that may arrive in one window with the next.
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
