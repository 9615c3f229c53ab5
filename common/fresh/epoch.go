package fresh

import "github.com/weldfall/weldfall/common/clock"

// Epoch is which copy of itself a source speaks from. One that comes back from an older
// copy begins a new epoch: it lacks what it had said last, until that is written again,
// and what orders its words begins anew. The zero value is a source that tells no epochs.
type Epoch struct {
	// n never goes back; zero means that none was told.
	n int64
	// since is when the epoch was first heard of, here or elsewhere.
	since clock.Millis
	// settle is how long after its beginning a source may lack what was written before.
	settle clock.Millis
}

// firstEpoch is that of a source that never came back from a copy.
const firstEpoch = 1

// NewEpoch returns the epoch of a source of which nothing is known, and which has all that
// was written again so long after the beginning of another.
func NewEpoch(settle clock.Millis) Epoch { return Epoch{settle: settle} }

// Number returns the number of the epoch, zero if none is known.
func (e *Epoch) Number() int64 { return e.n }

// Observe records that an answer to what was asked at a time was of an epoch, and reports
// whether that is a later one.
func (e *Epoch) Observe(n int64, at clock.Millis) bool {
	if n <= e.n {
		return false
	}
	e.n, e.since = n, at
	return true
}

// ObservePeer records that another has known an epoch since a time. Only the source says that
// there is a later one; ObservePeer reports whether it should be asked.
func (e *Epoch) ObservePeer(n int64, since clock.Millis) bool {
	if n == e.n {
		e.since = min(e.since, since)
	}
	return n > e.n
}

// Restored reports whether the source has come back from an older copy, now or at some time.
func (e *Epoch) Restored() bool { return e.n > firstEpoch }

// Age returns how long ago the epoch was first heard of.
func (e *Epoch) Age(now clock.Millis) clock.Millis { return now - e.since }

// MayBeStale reports whether what the source said when it was asked at a time may be older
// than what it had said before. One that is first met in a later epoch may just have come
// back.
func (e *Epoch) MayBeStale(at clock.Millis) bool {
	return e.Restored() && at >= e.since && at < e.since+e.settle
}

// Confirms reports whether an answer of an epoch, to what was asked at a time, shows what
// is true.
func (e *Epoch) Confirms(n int64, at clock.Millis) bool {
	return n == e.n && (!e.Restored() || at >= e.since+e.settle)
}
