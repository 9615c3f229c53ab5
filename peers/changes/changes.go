// Package changes keeps what came to a list that many follow, for those that know the list
// as it was a little earlier: few ask its source, and the others learn from these. It is
// pure: callers hand in what came and when.
package changes

import (
	"slices"
	"sync"

	"github.com/weldfall/weldfall/common/clock"
)

// MaxChanges bounds the changes that are kept and told at once, of some 300 bytes each: a release
// that replaces five engines a second makes 15 a second, and word of it is 2 s old at most.
const MaxChanges = 64

// Position is a point in the history of a list.
type Position struct {
	// Epoch is that of the source, and Revision means something in it only.
	Epoch    int64 `json:"e,omitempty"`
	Revision int64 `json:"r"`
}

// Change is the latest word on one item.
type Change struct {
	Key string `json:"k"`
	// Value is the item as the source has it, none if it is gone.
	Value    []byte `json:"v,omitempty"`
	Revision int64  `json:"r"`
	Removed  bool   `json:"x,omitempty"`
}

// Delta is what one process tells another of a list.
type Delta struct {
	// From is how the other knew the list, and To how it is with the changes.
	From Position `json:"f"`
	To   Position `json:"t"`
	// Sum stands for the whole list with the changes, and Age is how long ago it was last
	// known to be so.
	Sum     uint32       `json:"s"`
	Age     clock.Millis `json:"a"`
	Changes []Change     `json:"c"`
}

// PeerDelta is a word of another process.
type PeerDelta struct {
	Delta
	// Peer is the address of the one that told it, and At when it was true.
	Peer    string
	ValidAt clock.Millis
}

// Log has the latest changes of a list, and what another process told of it. The zero value
// has nothing. It is safe for concurrent use.
type Log struct {
	mu sync.Mutex
	// from is the place after which all changes are kept, and to the latest; both are
	// nowhere until begun.
	begun    bool
	from, to Position
	// changes has one for each key, by the order in which they came.
	changes []Change
	// told is the word that waits to be taken, nil if none does.
	told *PeerDelta
}

// Reset says that the list is known as it was at a place, however it came to that.
func (l *Log) Reset(at Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun, l.from, l.to, l.changes = true, at, at, nil
}

// Invalidate says that what is known of the list is not so: nothing is told of it until it begins
// again.
func (l *Log) Invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun = false
}

// Append says what came to the list until a revision of the same epoch.
func (l *Log) Append(revision int64, changes []Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes {
		l.changes = slices.DeleteFunc(l.changes, func(o Change) bool { return o.Key == c.Key })
		l.changes = append(l.changes, c)
	}
	l.to.Revision = max(l.to.Revision, revision)
	if over := len(l.changes) - MaxChanges; over > 0 {
		// The order in which they came need not be that of their revisions.
		for _, c := range l.changes[:over] {
			l.from.Revision = max(l.from.Revision, c.Revision)
		}
		l.changes = slices.Clone(l.changes[over:])
	}
}

// Position returns how the list is known, or false if it is not.
func (l *Log) Position() (Position, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.to, l.begun
}

// Since returns what came after a place, and up to where, or false if that is not known or
// nothing did.
func (l *Log) Since(p Position) (changes []Change, to Position, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.begun || p.Epoch != l.to.Epoch || p.Revision < l.from.Revision || p.Revision >= l.to.Revision {
		return nil, Position{}, false
	}
	for _, c := range l.changes {
		if c.Revision > p.Revision {
			changes = append(changes, c)
		}
	}
	return changes, l.to, len(changes) > 0
}

// SetPending leaves a word of another process to be taken. The one before it, if it still waits,
// is dropped.
func (l *Log) SetPending(t PeerDelta) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = &t
}

// HasPending reports whether a word waits to be taken.
func (l *Log) HasPending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.told != nil
}

// TakePending returns the word that waits, or false if none does.
func (l *Log) TakePending() (PeerDelta, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told == nil {
		return PeerDelta{}, false
	}
	t := *l.told
	l.told = nil
	return t, true
}
