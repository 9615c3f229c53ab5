package once

import (
	"encoding/hex"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/route"
)

// Witnesses is how many daemons a key is claimed at.
const Witnesses = 7

// MaxChanges is how many of a key's witnesses may be replaced or restarted between two
// claims without a promise being lost.
const MaxChanges = 2

// Quorum returns how many of n witnesses must promise a key. It is the smallest number
// for which two sets of witnesses still share one after MaxChanges changes: 2*quorum > n
// + MaxChanges.
func Quorum(n int) int { return min(n, (n+MaxChanges)/2+1) }

// ToleratedChanges returns how many changes two quorums of n witnesses survive.
func ToleratedChanges(n int) int { return min(MaxChanges, max(0, 2*Quorum(n)-n-1)) }

// KeyHash hashes a caller's key within its workspace. It is never zero.
func KeyHash(workspace, key string) uint64 {
	return max(1, xxh3.HashString("once\x00"+workspace+"\x00"+key))
}

// KeyTime returns the wall time in a UUID of version 7 (RFC 9562), or zero for any other
// key.
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

// Daemon is a candidate witness.
type Daemon struct {
	ID   string
	Addr string
	// Gone is true for a daemon that left within the key's window. It still takes part in
	// the ranking, as a change.
	Gone bool
}

// Choose returns the witnesses of key and how many better ranked daemons are gone. All
// processes must pass daemons in the same order, or each in a random one.
func Choose(key uint64, daemons []Daemon) (witnesses []Daemon, gone int) {
	targets := make([]route.Target, len(daemons))
	absent := 0
	for i, d := range daemons {
		targets[i] = route.NewTarget(d.ID, 1)
		if d.Gone {
			absent++
		}
	}
	// No more daemons can be needed, and the cost of Rank grows with the number it
	// returns.
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

// Taken means that another attempt holds the key and may have run.
type Taken struct{ Holder uint64 }

// Unknown means that an earlier attempt cannot be ruled out.
type Unknown struct {
	// Granted and Need count the promises. Changed counts the witnesses that may have
	// lost theirs.
	Granted, Need, Changed int
}

func (Promised) outcome() {}
func (Taken) outcome()    {}
func (Unknown) outcome()  {}

// Tally counts the responses to one claim. It is not safe for concurrent use.
type Tally struct {
	witnesses   int
	gone        int
	granted     int
	startedLate int
	// holder is another attempt that a witness reported as the holder, zero if none.
	holder uint64
	// refused is true when a witness refused for another reason.
	refused bool
}

// NewTally returns a tally for the given number of witnesses, of which gone were replaced
// within the window.
func NewTally(witnesses, gone int) *Tally { return &Tally{witnesses: witnesses, gone: gone} }

// AddGrant counts the response of one witness. A witness that does not respond is not
// counted.
func (t *Tally) AddGrant(g wire.Grant) {
	switch {
	case g.Granted:
		t.granted++
		if g.StartedLate {
			t.startedLate++
		}
	case g.Holder != 0:
		t.holder = g.Holder
	default:
		t.refused = true
	}
}

// Outcome returns what the responses so far prove.
func (t *Tally) Outcome() Outcome {
	need := Quorum(t.witnesses)
	changed := t.gone + t.startedLate
	switch {
	case t.holder != 0:
		return Taken{t.holder}
	case t.witnesses > 0 && t.granted >= need && changed <= ToleratedChanges(t.witnesses):
		return Promised{}
	default:
		return Unknown{t.granted, need, changed}
	}
}
