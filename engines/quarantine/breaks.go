package quarantine

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// brokenFor is how long an attempt that broke off is remembered for what shows that
	// its engine ended: the entry of an engine lapses after some missed heartbeats.
	brokenFor clock.Millis = 8000
	// brokenMost bounds the attempts that are remembered, of some 150 bytes each.
	brokenMost = 256
)

// breaks has the attempts that broke off at lives of engines of which nothing shows yet
// that they ended. A break alone says nothing: connections are reset by engines that live,
// by links and by idle timeouts.
type breaks struct {
	// latest are at most brokenMost, the earliest first.
	latest []broken
	// shapes counts them by their shape.
	shapes map[uint32]int
}

type broken struct {
	Attempt
	at clock.Millis
}

func newBreaks() breaks { return breaks{shapes: map[uint32]int{}} }

// add remembers an attempt that broke off.
func (b *breaks) add(a Attempt, now clock.Millis) {
	b.expire(now)
	if len(b.latest) == brokenMost {
		oldest := b.latest[0].at
		b.drop(func(o broken) bool { return o.at == oldest })
	}
	b.latest = append(b.latest, broken{a, now})
	b.shapes[a.Fingerprint]++
}

func (b *breaks) expire(now clock.Millis) {
	b.drop(func(o broken) bool { return now-o.at > brokenFor })
}

// drop forgets what a function picks, and returns it.
func (b *breaks) drop(pick func(broken) bool) []broken {
	var out []broken
	b.latest = slices.DeleteFunc(b.latest, func(o broken) bool {
		if !pick(o) {
			return false
		}
		out = append(out, o)
		if b.shapes[o.Fingerprint]--; b.shapes[o.Fingerprint] == 0 {
			delete(b.shapes, o.Fingerprint)
		}
		return true
	})
	return out
}

// take forgets the attempts of a life that ended, and returns those that its end may have
// broken off: it breaks off all that run there at once, so earlier ones had another cause.
// Silence is found out later the longer a request waits for a sign.
func (b *breaks) take(life uint32, now clock.Millis) []broken {
	b.expire(now)
	of := b.drop(func(o broken) bool { return o.Incarnation == life })
	last := clock.Millis(0)
	for _, o := range of {
		if !o.Silent {
			last = o.at
		}
	}
	return slices.DeleteFunc(of, func(o broken) bool { return !o.Silent && last-o.at > together })
}

// alive forgets the attempts of a life that was heard now on a connection which is older
// than their break, and returns them. For a moment what the engine had sent before may
// still be read.
func (b *breaks) alive(life uint32, since, now clock.Millis) []broken {
	return b.drop(func(o broken) bool { return o.Incarnation == life && since+drift < o.at && now > o.at+aliveAfter })
}
