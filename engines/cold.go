package engines

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

// Warmup is what the operators say of engines that are cold: slow for a while
// after they start or come back, and over at more than a few requests a second.
type Warmup struct {
	// Duration is how long an engine of the service stays cold; zero if none does.
	Duration clock.Millis
	// MaxRequests returns how many requests this entry may send to a cold engine in
	// coldWindow.
	MaxRequests func(engine string) int
}

const (
	// coldWindow is the time over which requests to a cold engine are counted: a
	// second, and a tenth for what crosses on the way.
	coldWindow clock.Millis = 1100
)

// warmth is what is known of an engine's warmth.
type warmth struct {
	// toldUntil is until when the list says that the engine is cold.
	toldUntil clock.Millis
	// reachedAt is when the engine took a connection again, zero if it never went
	// away: it may have come back cold, which the list tells late or never.
	reachedAt clock.Millis
	// sent has the times of the latest requests, the oldest first, none older than
	// coldWindow when it was last looked at.
	sent []clock.Millis
}

// cold reports whether an engine is cold or may be: one that joined, was taken
// back from an evacuation or was reached again is taken to be until it must have
// warmed up.
func (e *Engine) cold(c Warmup, now clock.Millis) bool {
	if c.Duration <= 0 {
		return false
	}
	since := max(e.listedAt, e.reopenedAt, e.warmup.reachedAt)
	return now < e.warmup.toldUntil || (since > 0 && now-since < c.Duration)
}

// full reports whether this entry has sent a cold engine its share.
func (e *Engine) full(c Warmup, now clock.Millis) bool {
	if !e.cold(c, now) {
		return false
	}
	e.warmup.trim(now)
	return len(e.warmup.sent) >= c.MaxRequests(e.info.ID)
}

func (w *warmth) trim(now clock.Millis) {
	n, _ := slices.BinarySearch(w.sent, now-coldWindow+1)
	w.sent = slices.Delete(w.sent, 0, n)
}

// note counts a request that is about to be sent.
func (w *warmth) note(now clock.Millis) {
	w.trim(now)
	w.sent = append(w.sent, now)
}
