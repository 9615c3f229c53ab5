package fresh

import "github.com/weldfall/weldfall/common/clock"

// Epoch tracks the epoch of a source. A source that is restored from an older copy starts a
// new epoch: it lacks its latest writes until they are written again, and its revisions
// start anew. The zero value is for a source that reports no epochs.
type Epoch struct {
	// n never decreases; zero means that no epoch was reported.
	n int64
	// since is when the epoch was first observed, by this process or another.
	since clock.Millis
	// settle is how long after the start of an epoch the source may lack earlier writes.
	settle clock.Millis
}

// firstEpoch is the epoch of a source that was never restored.
const firstEpoch = 1

// NewEpoch returns the epoch of an unknown source. Its lost writes are written again within
// settle after the start of a new epoch.
func NewEpoch(settle clock.Millis) Epoch { return Epoch{settle: settle} }

// Number returns the number of the epoch, zero if not known.
func (e *Epoch) Number() int64 { return e.n }

// Observe records that the response to a request sent at the given time was from epoch n,
// and reports whether n is a new epoch.
func (e *Epoch) Observe(n int64, at clock.Millis) bool {
	if n <= e.n {
		return false
	}
	e.n, e.since = n, at
	return true
}

// ObservePeer records that a peer has known epoch n since the given time. It never starts a
// new epoch, as only the source can report one. It reports whether the peer knows a later
// epoch, so that the source should be asked.
func (e *Epoch) ObservePeer(n int64, since clock.Millis) bool {
	if n == e.n {
		e.since = min(e.since, since)
	}
	return n > e.n
}

// Restored reports whether the source was ever restored from an older copy.
func (e *Epoch) Restored() bool { return e.n > firstEpoch }

// Age returns how long ago the epoch was first observed.
func (e *Epoch) Age(now clock.Millis) clock.Millis { return now - e.since }

// MayBeStale reports whether the response to a request sent at the given time may be older
// than earlier responses. This includes a source that is first observed in a later epoch, as
// it may just have been restored.
func (e *Epoch) MayBeStale(at clock.Millis) bool {
	return e.Restored() && at >= e.since && at < e.since+e.settle
}

// Confirms reports whether a response from epoch n, to a request sent at the given time,
// confirms its content as current.
func (e *Epoch) Confirms(n int64, at clock.Millis) bool {
	return n == e.n && (!e.Restored() || at >= e.since+e.settle)
}
