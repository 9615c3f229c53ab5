package budget

import (
	"math"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// parts is how many parts a window is counted in.
	windowSlots = 20
	// slices is those of two windows and one more, so that what is counted is never less
	// than that.
	totalSlots = 2*windowSlots + 1
)

// window counts requests and repeats by the time of the process.
type slidingWindow struct {
	// counts has the latest parts, latest is the number of the last of them.
	slots  [totalSlots]slot
	latest int64
}

type slot struct{ requests, retries int }

// at returns the part in which now lies.
func (w *slidingWindow) slotAt(cfg Config, now clock.Millis) *slot {
	n := cfg.slotNumber(now)
	if n-w.latest >= totalSlots {
		w.slots = [totalSlots]slot{}
	} else {
		for i := w.latest + 1; i <= n; i++ {
			w.slots[i%totalSlots] = slot{}
		}
	}
	w.latest = max(w.latest, n)
	return &w.slots[w.latest%totalSlots]
}

// base estimates how many requests callers sent in a window. Requests may be read long
// after they were sent, and then many at once, so that those read in one window were sent
// in a longer time. In a stretch that begins while none waits to be read, no more are read
// than were sent. So base is the least mean of all stretches of one to two windows that end
// now. None begins before the process did, since nothing waited for it.
func (w *slidingWindow) requestsPerWindow(cfg Config) float64 {
	life := w.latest - cfg.slotNumber(cfg.StartedAt)
	n, least := 0, math.Inf(1)
	for age := range 1 + max(windowSlots, min(totalSlots-1, life)) {
		n += w.slotBefore(age).requests
		if age >= windowSlots {
			// The latest part has only begun. Taken for a whole one it makes the mean no greater.
			least = min(least, float64(n*windowSlots)/float64(age+1))
		}
	}
	return least
}

// repeats returns how many were taken within a window and the lag: the next may arrive in
// one window with all of them.
func (w *slidingWindow) retries(cfg Config) int {
	n := 0
	for age := range min(totalSlots, windowSlots+1+cfg.slotNumber(cfg.Lag+cfg.slotLength()-1)) {
		n += w.slotBefore(age).retries
	}
	return n
}

// ago returns the part of so many parts ago.
func (w *slidingWindow) slotBefore(age int64) slot {
	return w.slots[((w.latest-age)%totalSlots+totalSlots)%totalSlots]
}

// partTime returns the length of a part.
func (c Config) slotLength() clock.Millis { return max(1, c.Window/windowSlots) }

// part returns the number of the part in which a time lies.
func (c Config) slotNumber(t clock.Millis) int64 { return int64(t / c.slotLength()) }
