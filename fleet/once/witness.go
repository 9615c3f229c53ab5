// Package once keeps requests from running twice without a shared store. It
// is pure: messages and the time are handed in.
//
// Before an entry sends a request that may not be repeated, it claims the
// request's key at Witnesses daemons, those ranked first for the key, and goes
// on only with the promises of enough of them. A witness promises a key to
// one attempt alone. Any two sets of enough witnesses share one while no more
// than Changes of them were replaced in between; where that is not known, the
// request is refused with may_have_run. Promises are in memory only and are
// lost with the process, which counts as a change.
package once

import (
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link/wire"
)

// MaxClockSkew is the allowance for the difference of wall clocks, in milliseconds.
const MaxClockSkew clock.Millis = 5000

// MaxKeys bounds the keys that one witness remembers, about 100 bytes each;
// a witness that is full makes no further promises until keys expire.
const MaxKeys = 1_000_000

// Witness holds the promises of one daemon. It is not safe for concurrent use.
type Witness struct {
	// started is when this process began to remember.
	started, startedWall clock.Millis
	records              map[uint64]record
	// expiry holds the keys in the order of their promises, per window, so
	// that each list is sorted by time.
	expiry map[clock.Millis][]dated
	max    int
}

type record struct {
	attempt uint64
	until   clock.Millis
}

type dated struct {
	key   uint64
	until clock.Millis
}

// NewWitness returns a witness that knows nothing from before now.
func NewWitness(now, wall clock.Millis, maxKeys int) *Witness {
	return &Witness{
		started: now, startedWall: wall, max: maxKeys,
		records: map[uint64]record{}, expiry: map[clock.Millis][]dated{},
	}
}

// Len returns the number of keys remembered.
func (w *Witness) Len() int { return len(w.records) }

// Claim promises the key to the attempt unless another has it.
func (w *Witness) Claim(c wire.Claim, now, wall clock.Millis) wire.Grant {
	w.expire(now)
	young := w.young(c, now)
	if r, ok := w.records[c.Key]; ok {
		return wire.Grant{Granted: r.attempt == c.Attempt, Holder: r.attempt, StartedLate: young}
	}
	if c.Window <= 0 || Expired(c.CreatedAt, c.Window, wall) || len(w.records) >= w.max {
		return wire.Grant{StartedLate: young}
	}
	until := now + c.Window + 2*MaxClockSkew
	w.records[c.Key] = record{c.Attempt, until}
	w.expiry[c.Window] = append(w.expiry[c.Window], dated{c.Key, until})
	return wire.Grant{Granted: true, StartedLate: young}
}

// young reports whether an earlier promise on the key could have been lost
// with an earlier process.
func (w *Witness) young(c wire.Claim, now clock.Millis) bool {
	if c.CreatedAt > 0 {
		return c.CreatedAt < w.startedWall+MaxClockSkew
	}
	return now-w.started < c.Window+2*MaxClockSkew
}

// Release takes back the promise to an attempt that has not run and will not.
func (w *Witness) Release(key, attempt uint64) {
	if r, ok := w.records[key]; ok && r.attempt == attempt {
		delete(w.records, key)
	}
}

func (w *Witness) expire(now clock.Millis) {
	for window, list := range w.expiry {
		n := 0
		for n < len(list) && list[n].until <= now {
			if r, ok := w.records[list[n].key]; ok && r.until == list[n].until {
				delete(w.records, list[n].key)
			}
			n++
		}
		if n == len(list) {
			delete(w.expiry, window)
		} else {
			w.expiry[window] = list[n:]
		}
	}
}

// Expired reports whether a key born at the wall time born is too old to be
// told from one whose promises have expired. Untimed keys (zero) never are.
func Expired(born, window, wall clock.Millis) bool {
	return born > 0 && wall > born+window-MaxClockSkew
}
