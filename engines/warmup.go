package engines

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

// Warmup is the operators' settings for engines that are warming up: for a while after
// they start or come back they are slow, and overloaded by more than a few requests a
// second.
type Warmup struct {
	// Duration is how long an engine of the service warms up, zero if it does not.
	Duration clock.Millis
	// MaxRequests returns how many requests this entry may send to an engine within
	// warmupWindow.
	MaxRequests func(engine string) int
}

const (
	// warmupWindow is the time over which requests to an engine that is warming up are
	// counted: a second, and a tenth for different delays in transit.
	warmupWindow clock.Millis = 1100
)

// warmupState is what is known of an engine's warm-up.
type warmupState struct {
	// listedUntil is the end of the warm-up by the listing.
	listedUntil clock.Millis
	// reachedAt is when the engine last became reachable again, zero if it always was.
	// It may be warming up since then, which the listing shows late or never.
	reachedAt clock.Millis
	// sent holds the times of the latest requests in order; trim removes those older
	// than warmupWindow.
	sent []clock.Millis
}

// warmingUp reports whether an engine may be warming up. An engine that joined, became
// reachable again or whose data hall was reopened is assumed to for the whole duration.
func (e *Engine) warmingUp(c Warmup, now clock.Millis) bool {
	if c.Duration <= 0 {
		return false
	}
	since := max(e.listedAt, e.reopenedAt, e.warmup.reachedAt)
	return now < e.warmup.listedUntil || (since > 0 && now-since < c.Duration)
}

// atWarmupLimit reports whether this entry has sent an engine all the requests that it
// may get from here while it warms up.
func (e *Engine) atWarmupLimit(c Warmup, now clock.Millis) bool {
	if !e.warmingUp(c, now) {
		return false
	}
	e.warmup.trim(now)
	return len(e.warmup.sent) >= c.MaxRequests(e.info.ID)
}

func (w *warmupState) trim(now clock.Millis) {
	n, _ := slices.BinarySearch(w.sent, now-warmupWindow+1)
	w.sent = slices.Delete(w.sent, 0, n)
}

// record counts a request that is about to be sent.
func (w *warmupState) record(now clock.Millis) {
	w.trim(now)
	w.sent = append(w.sent, now)
}
