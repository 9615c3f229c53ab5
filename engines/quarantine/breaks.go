package quarantine

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// brokenFor is how long an attempt that broke off is remembered for what shows that
	// its engine ended: the entry of an engine lapses after some missed heartbeats.
	brokenRetention clock.Millis = 8000
	// brokenMost bounds the attempts that are remembered, of some 150 bytes each.
	maxBroken = 256
)

// breaks has the attempts that broke off at lives of engines of which nothing shows yet
// that they ended. A break alone says nothing: connections are reset by engines that live,
// by links and by idle timeouts.
type brokenAttempts struct {
	// latest are at most brokenMost, the earliest first.
	attempts []brokenAttempt
	// shapes counts them by their shape.
	fingerprints map[uint32]int
}

type brokenAttempt struct {
	Attempt
	at clock.Millis
}

func newBrokenAttempts() brokenAttempts { return brokenAttempts{fingerprints: map[uint32]int{}} }

// add remembers an attempt that broke off.
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

// drop forgets what a function picks, and returns it.
func (b *brokenAttempts) remove(pick func(brokenAttempt) bool) []brokenAttempt {
	var out []brokenAttempt
	b.attempts = slices.DeleteFunc(b.attempts, func(o brokenAttempt) bool {
		if !pick(o) {
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

// take forgets the attempts of a life that ended, and returns those that its end may have
// broken off: it breaks off all that run there at once, so earlier ones had another cause.
// Silence is found out later the longer a request waits for a sign.
func (b *brokenAttempts) takeCrashed(life uint32, now clock.Millis) []brokenAttempt {
	b.expire(now)
	of := b.remove(func(o brokenAttempt) bool { return o.Incarnation == life })
	last := clock.Millis(0)
	for _, o := range of {
		if !o.Silent {
			last = o.at
		}
	}
	return slices.DeleteFunc(of, func(o brokenAttempt) bool { return !o.Silent && last-o.at > crashWindow })
}

// alive forgets the attempts of a life that was heard now on a connection which is older
// than their break, and returns them. For a moment what the engine had sent before may
// still be read.
func (b *brokenAttempts) removeAlive(life uint32, since, now clock.Millis) []brokenAttempt {
	return b.remove(func(o brokenAttempt) bool {
		return o.Incarnation == life && since+ageTolerance < o.at && now > o.at+lateReadGrace
	})
}
