package quarantine

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// brokenRetention is how long a broken attempt waits for evidence that its engine
	// crashed: the engine's registration expires only after several missed heartbeats.
	brokenRetention clock.Millis = 8000
	// maxBroken limits the attempts that are kept, at about 150 bytes each.
	maxBroken = 256
)

// brokenAttempts holds attempts that broke at engine incarnations without evidence of a
// crash so far. A broken attempt alone proves nothing: connections are also reset by running
// engines, by network links and by idle timeouts.
type brokenAttempts struct {
	// attempts has at most maxBroken elements, the oldest first.
	attempts []brokenAttempt
	// fingerprints counts the attempts by fingerprint.
	fingerprints map[uint32]int
}

type brokenAttempt struct {
	Attempt
	at clock.Millis
}

// tried returns the digests of which the attempt was a trial.
func (a Attempt) tried() []Digest {
	var out []Digest
	if a.Trial {
		out = append(out, a.Digest)
	}
	for _, p := range a.Parts {
		if p.Trial {
			out = append(out, p.Digest)
		}
	}
	return out
}

func newBrokenAttempts() brokenAttempts { return brokenAttempts{fingerprints: map[uint32]int{}} }

// add records a broken attempt, evicting the oldest ones if there are too many.
func (b *brokenAttempts) add(a Attempt, now clock.Millis) {
	b.expire(now)
	if len(b.attempts) == maxBroken {
		oldest := b.attempts[0].at
		b.remove(func(o brokenAttempt) bool { return o.at == oldest })
	}
	b.attempts = append(b.attempts, brokenAttempt{a, now})
	b.fingerprints[a.Fingerprint]++
}

func (b *brokenAttempts) expire(now clock.Millis) {
	b.remove(func(o brokenAttempt) bool { return now-o.at > brokenRetention })
}

// remove removes and returns the attempts that match.
func (b *brokenAttempts) remove(match func(brokenAttempt) bool) []brokenAttempt {
	var out []brokenAttempt
	b.attempts = slices.DeleteFunc(b.attempts, func(o brokenAttempt) bool {
		if !match(o) {
			return false
		}
		out = append(out, o)
		if b.fingerprints[o.Fingerprint]--; b.fingerprints[o.Fingerprint] == 0 {
			delete(b.fingerprints, o.Fingerprint)
		}
		return true
	})
	return out
}

// takeCrashed removes the attempts at a crashed incarnation and returns those that the crash
// may have broken. A crash breaks all connections of the engine at once, so attempts that
// broke well before the last one had another cause. Silent attempts are always returned,
// since they are only detected by timeouts of different lengths.
func (b *brokenAttempts) takeCrashed(incarnation uint32, now clock.Millis) []brokenAttempt {
	b.expire(now)
	removed := b.remove(func(o brokenAttempt) bool { return o.Incarnation == incarnation })
	last := clock.Millis(0)
	for _, o := range removed {
		if !o.Silent {
			last = o.at
		}
	}
	return slices.DeleteFunc(removed, func(o brokenAttempt) bool { return !o.Silent && last-o.at > crashWindow })
}

// removeAlive removes and returns the attempts at an incarnation from which data was received
// now, on a connection that was opened before they broke. Data that the engine sent earlier
// may still be read for a moment, which is no evidence.
func (b *brokenAttempts) removeAlive(incarnation uint32, openedAt, now clock.Millis) []brokenAttempt {
	return b.remove(func(o brokenAttempt) bool {
		return o.Incarnation == incarnation && openedAt+ageTolerance < o.at && now > o.at+lateReadGrace
	})
}
