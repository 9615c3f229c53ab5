package once

import (
	"encoding/hex"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/route"
)

// Witnesses is how many daemons are asked for a promise.
const Witnesses = 7

// MaxChanges is how many of a key's witnesses may be replaced or restarted
// between two claims without a claim being lost.
const MaxChanges = 2

// Quorum returns how many of n witnesses must promise: the least for which two
// sets still share one after Changes changes, 2*need > n + Changes.
func Quorum(n int) int { return min(n, (n+MaxChanges)/2+1) }

// ToleratedChanges returns how many changes two sets of Need(n) survive.
func ToleratedChanges(n int) int { return min(MaxChanges, max(0, 2*Quorum(n)-n-1)) }

// KeyHash hashes a caller's key within its workspace. It is never zero.
func KeyHash(workspace, key string) uint64 {
	return max(1, xxh3.HashString("once\x00"+workspace+"\x00"+key))
}

// KeyTime returns the wall time in milliseconds that a UUID of version 7 carries
// (RFC 9562), or zero for any other key.
func KeyTime(key string) clock.Millis {
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 || raw[6]>>4 != 7 {
		return 0
	}
	var ms int64
	for _, b := range raw[:6] {
		ms = ms<<8 | int64(b)
	}
	return clock.Millis(ms)
}

// Daemon is a possible witness.
type Daemon struct {
	ID   string
	Addr string
	// Gone is true for a daemon that left within the key's window; it still
	// counts in the ranking as a change.
	Gone bool
}

// Choose returns the witnesses of key and how many of the first ranked are
// gone. Daemons must be in the same order everywhere or in none.
func Choose(key uint64, daemons []Daemon) (witnesses []Daemon, gone int) {
	targets := make([]route.Target, len(daemons))
	absent := 0
	for i, d := range daemons {
		targets[i] = route.NewTarget(d.ID, 1)
		if d.Gone {
			absent++
		}
	}
	// No more can be looked at, and Rank costs the more the more it returns.
	ranked := route.Rank(key, targets, Witnesses+absent)
	for _, i := range ranked {
		if len(witnesses) == Witnesses {
			break
		}
		if daemons[i].Gone {
			gone++
			continue
		}
		witnesses = append(witnesses, daemons[i])
	}
	return witnesses, gone
}

// Outcome is the result of a claim: Promised, Taken or Unknown.
type Outcome interface{ outcome() }

// Promised means that no other attempt has run or will run.
type Promised struct{}

// Taken means that another attempt has the key and may have run.
type Taken struct{ Holder uint64 }

// Unknown means that an earlier attempt cannot be ruled out.
type Unknown struct {
	// Granted and Need count the promises; Changed the witnesses that may
	// have lost theirs.
	Granted, Need, Changed int
}

func (Promised) outcome() {}
func (Taken) outcome()    {}
func (Unknown) outcome()  {}

// Tally counts the answers to one claim. It is not safe for concurrent use.
type Tally struct {
	asked   int
	gone    int
	granted int
	young   int
	// holder is the other attempt that a witness named, zero if none.
	holder uint64
	// refused is true when a witness did not promise for another reason.
	refused bool
}

// NewTally returns a tally for the given number of witnesses, of which gone
// have been replaced within the window.
func NewTally(asked, gone int) *Tally { return &Tally{asked: asked, gone: gone} }

// AddGrant counts the answer of one witness. One that did not answer is not added.
func (t *Tally) AddGrant(g wire.Grant) {
	switch {
	case g.Granted:
		t.granted++
		if g.StartedLate {
			t.young++
		}
	case g.Holder != 0:
		t.holder = g.Holder
	default:
		t.refused = true
	}
}

// Outcome returns what the answers so far prove.
func (t *Tally) Outcome() Outcome {
	need := Quorum(t.asked)
	changed := t.gone + t.young
	switch {
	case t.holder != 0:
		return Taken{t.holder}
	case t.asked > 0 && t.granted >= need && changed <= ToleratedChanges(t.asked):
		return Promised{}
	default:
		return Unknown{t.granted, need, changed}
	}
}
