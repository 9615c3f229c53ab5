package budget

import (
	"math"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// windowSlots is the number of slots of a window.
	windowSlots = 20
	// totalSlots covers two windows and the slot that is being filled, so that the counted
	// time is never shorter than two windows.
	totalSlots = 2*windowSlots + 1
)

// slidingWindow counts requests and retries by the clock of the process.
type slidingWindow struct {
	// slots is a ring of the latest slots, indexed by slot number.
	slots [totalSlots]slot
	// latest is the number of the newest slot.
	latest int64
}

type slot struct{ requests, retries int }

// slotAt returns the slot that contains now.
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

// refund removes a retry that was taken at spentAt. One that is no longer counted stays so.
func (w *slidingWindow) refund(cfg Config, spentAt clock.Millis) {
	n := cfg.slotNumber(spentAt)
	if n <= w.latest-totalSlots || n > w.latest {
		return
	}
	s := &w.slots[n%totalSlots]
	s.retries = max(0, s.retries-1)
}

// requestsPerWindow estimates how many requests clients sent in a window. A process may read
// requests long after they were sent, and many at once, so the requests read in one window
// may have been sent over a longer time. A period that begins with no request waiting to be
// read cannot contain more reads than sends. The estimate is therefore the lowest mean over
// all periods of one to two windows that end now. No period begins before the process
// started, since no requests waited for it then.
func (w *slidingWindow) requestsPerWindow(cfg Config) float64 {
	uptime := w.latest - cfg.slotNumber(cfg.StartedAt)
	n, lowest := 0, math.Inf(1)
	for age := range 1 + max(windowSlots, min(totalSlots-1, uptime)) {
		n += w.slotBefore(age).requests
		if age >= windowSlots {
			// Counting the newest, incomplete slot as a whole one can only lower the mean.
			lowest = min(lowest, float64(n*windowSlots)/float64(age+1))
		}
	}
	return lowest
}

// retries returns how many retries were taken within a window and the lag before it: all of
// them may arrive in the same window as the next one.
func (w *slidingWindow) retries(cfg Config) int {
	n := 0
	for age := range min(totalSlots, windowSlots+1+cfg.slotNumber(cfg.Lag+cfg.slotLength()-1)) {
		n += w.slotBefore(age).retries
	}
	return n
}

// slotBefore returns the slot that is age slots older than the newest.
func (w *slidingWindow) slotBefore(age int64) slot {
	return w.slots[((w.latest-age)%totalSlots+totalSlots)%totalSlots]
}

// slotLength returns the time that a slot covers.
func (c Config) slotLength() clock.Millis { return max(1, c.Window/windowSlots) }

// slotNumber returns the number of the slot that contains t.
func (c Config) slotNumber(t clock.Millis) int64 { return int64(t / c.slotLength()) }
