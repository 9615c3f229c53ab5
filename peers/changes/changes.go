// Package changes keeps the latest changes of a list that many processes watch, so that a
// process with a slightly older copy can get them from a peer. Few processes then have to
// read the source. The package does no I/O; callers pass in changes and times.
package changes

import (
	"slices"
	"sync"

	"github.com/weldfall/weldfall/common/clock"
)

// MaxChanges limits the changes that are kept and sent at once, of some 300 bytes each. A
// release that replaces five engines a second makes 15 changes a second, and a peer's
// copy is at most 2 s behind.
const MaxChanges = 64

// Position is a point in the history of a list.
type Position struct {
	// Epoch is the epoch of the source. Revisions of different epochs cannot be compared.
	Epoch    int64 `json:"e,omitempty"`
	Revision int64 `json:"r"`
}

// Change is the latest change of one item.
type Change struct {
	Key string `json:"k"`
	// Value is the item as the source has it, nil if it was removed.
	Value    []byte `json:"v,omitempty"`
	Revision int64  `json:"r"`
	Removed  bool   `json:"x,omitempty"`
}

// Delta is the message that brings a peer's copy of a list from one position to another.
type Delta struct {
	// From is the position of the receiver's copy, To that of the copy with Changes
	// applied.
	From Position `json:"f"`
	To   Position `json:"t"`
	// Sum is the checksum of the whole list at To. Age is the time since the list was
	// last confirmed to have that checksum.
	Sum     uint32       `json:"s"`
	Age     clock.Millis `json:"a"`
	Changes []Change     `json:"c"`
}

// PeerDelta is a delta received from a peer.
type PeerDelta struct {
	Delta
	// Peer is the address of the sender. ValidAt is when the list was last confirmed to
	// be as at To.
	Peer    string
	ValidAt clock.Millis
}

// Log holds the latest changes of a list and one delta from a peer that waits to be
// applied. The zero value is empty and has no position. It is safe for concurrent use.
type Log struct {
	mu sync.Mutex
	// from is the position after which all changes are kept, and to the latest position.
	// Neither means anything unless valid is true.
	valid    bool
	from, to Position
	// changes has at most one change for each key, in order of arrival.
	changes []Change
	// pending is the delta that waits to be applied, or nil.
	pending *PeerDelta
}

// Reset sets the position of the list and drops the changes before it.
func (l *Log) Reset(at Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.valid, l.from, l.to, l.changes = true, at, at, nil
}

// Invalidate marks the list as not matching its source. Position and Since report false
// until the next Reset.
func (l *Log) Invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.valid = false
}

// Append adds the changes up to a revision of the current epoch.
func (l *Log) Append(revision int64, changes []Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes {
		l.changes = slices.DeleteFunc(l.changes, func(o Change) bool { return o.Key == c.Key })
		l.changes = append(l.changes, c)
	}
	l.to.Revision = max(l.to.Revision, revision)
	if over := len(l.changes) - MaxChanges; over > 0 {
		// Changes need not arrive in the order of their revisions.
		for _, c := range l.changes[:over] {
			l.from.Revision = max(l.from.Revision, c.Revision)
		}
		l.changes = slices.Clone(l.changes[over:])
	}
}

// Position returns the latest position, or false if the list is not valid.
func (l *Log) Position() (Position, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.to, l.valid
}

// Since returns the changes after p and the position they lead to. It returns false if
// there are none or if p is outside the kept history.
func (l *Log) Since(p Position) (changes []Change, to Position, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.valid || p.Epoch != l.to.Epoch || p.Revision < l.from.Revision || p.Revision >= l.to.Revision {
		return nil, Position{}, false
	}
	for _, c := range l.changes {
		if c.Revision > p.Revision {
			changes = append(changes, c)
		}
	}
	return changes, l.to, len(changes) > 0
}

// SetPending stores a delta to be applied, in place of one that is still pending.
func (l *Log) SetPending(t PeerDelta) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = &t
}

func (l *Log) HasPending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending != nil
}

// TakePending removes and returns the pending delta, or false if there is none.
func (l *Log) TakePending() (PeerDelta, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		return PeerDelta{}, false
	}
	t := *l.pending
	l.pending = nil
	return t, true
}
