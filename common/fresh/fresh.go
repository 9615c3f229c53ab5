// Package fresh tracks up to when something that was read is known to be
// current. The content of a response is known to be current when the request was
// sent, and no later, as the response may be delayed anywhere on its way. The
// package reads no clock: callers pass the time.
package fresh

import "github.com/weldfall/weldfall/common/clock"

// Tracker tracks the age of something that was read from its source.
type Tracker struct {
	// confirmedAt is the latest time at which the content is known to have been
	// current. It never decreases.
	confirmedAt clock.Millis
	known       bool
}

// Confirm records that the content was current at the given time.
func (t *Tracker) Confirm(at clock.Millis) {
	if !t.known || at > t.confirmedAt {
		t.confirmedAt = at
	}
	t.known = true
}

// Known reports whether anything was read.
func (t *Tracker) Known() bool { return t.known }

// Age returns how long ago the content was last known to be current.
func (t *Tracker) Age(now clock.Millis) clock.Millis { return now - t.confirmedAt }

// Within reports whether the content is known and its age at most limit.
func (t *Tracker) Within(limit, now clock.Millis) bool { return t.known && t.Age(now) <= limit }
