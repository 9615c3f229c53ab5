// Package once prevents a request from running twice without a shared store. It does no
// I/O; callers pass in messages and times.
//
// Before an entry sends a request that must not be repeated, it claims the request's key
// at Witnesses daemons, those that rank first for the key, and proceeds only if a quorum
// of them promises the key. A witness promises a key to one attempt only. Any two quorums
// share a witness as long as at most MaxChanges witnesses were replaced in between. Where
// that cannot be established, the request is refused with may_have_run. Promises are held
// in memory only. A witness that restarts loses them and counts as replaced.
package once

import (
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link/wire"
)

// MaxClockSkew is the allowed difference between wall clocks.
const MaxClockSkew clock.Millis = 5000

// MaxKeys limits the keys of one witness, of about 100 bytes each. A full witness makes
// no more promises until keys expire.
const MaxKeys = 1_000_000

// Witness holds the promises of one daemon. It is not safe for concurrent use.
type Witness struct {
	// started and startedWall are when this process began to record promises.
	started, startedWall clock.Millis
	records              map[uint64]record
	// expiry holds the keys of each window in the order of their promises, so that each
	// list is sorted by time.
	expiry map[clock.Millis][]expiringKey
	max    int
}

type record struct {
	attempt uint64
	until   clock.Millis
}

type expiringKey struct {
	key   uint64
	until clock.Millis
}

// NewWitness returns a witness without promises that was started at now.
func NewWitness(now, wall clock.Millis, maxKeys int) *Witness {
	return &Witness{
		started: now, startedWall: wall, max: maxKeys,
		records: map[uint64]record{}, expiry: map[clock.Millis][]expiringKey{},
	}
}

// Len returns the number of keys held.
func (w *Witness) Len() int { return len(w.records) }

// Claim promises the key to the attempt, unless another attempt has it, the key has
// expired or the witness is full.
func (w *Witness) Claim(c wire.Claim, now, wall clock.Millis) wire.Grant {
	w.expire(now)
	startedLate := w.startedLate(c, now)
	if r, ok := w.records[c.Key]; ok {
		return wire.Grant{Granted: r.attempt == c.Attempt, Holder: r.attempt, StartedLate: startedLate}
	}
	if c.Window <= 0 || Expired(c.CreatedAt, c.Window, wall) || len(w.records) >= w.max {
		return wire.Grant{StartedLate: startedLate}
	}
	until := now + c.Window + 2*MaxClockSkew
	w.records[c.Key] = record{c.Attempt, until}
	w.expiry[c.Window] = append(w.expiry[c.Window], expiringKey{c.Key, until})
	return wire.Grant{Granted: true, StartedLate: startedLate}
}

// startedLate reports whether an earlier process of this daemon may have promised the
// key.
func (w *Witness) startedLate(c wire.Claim, now clock.Millis) bool {
	if c.CreatedAt > 0 {
		return c.CreatedAt < w.startedWall+MaxClockSkew
	}
	return now-w.started < c.Window+2*MaxClockSkew
}

// Release withdraws the promise to an attempt that has not run and will not run.
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

// Expired reports whether a key created at the wall time createdAt may belong to a promise
// that has expired. It is false for keys without a time (zero).
func Expired(createdAt, window, wall clock.Millis) bool {
	return createdAt > 0 && wall > createdAt+window-MaxClockSkew
}
