// Package fresh tells up to when something that was read is known to be
// true. What a read brought is known to be true at the moment at which the
// read was sent, and at no later one: an answer may wait anywhere on its way.
// It is pure: the time is handed in.
package fresh

import "github.com/weldfall/weldfall/common/clock"

// Tracker is the age of something that was read from its source.
type Tracker struct {
	// trueAt is the latest time at which the belief is known to have been
	// true; it never goes back.
	trueAt clock.Millis
	known  bool
}

// Confirm records that the belief was true at the given time.
func (b *Tracker) Confirm(at clock.Millis) {
	if !b.known || at > b.trueAt {
		b.trueAt = at
	}
	b.known = true
}

// Known reports whether anything was ever read.
func (b *Tracker) Known() bool { return b.known }

// Age returns how long ago the belief was last known to be true.
func (b *Tracker) Age(now clock.Millis) clock.Millis { return now - b.trueAt }

// Within reports whether the belief is known and at most limit old.
func (b *Tracker) Within(limit, now clock.Millis) bool { return b.known && b.Age(now) <= limit }
