package fleet

import (
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link/wire"
)

// newestRevisions holds the newest revision of each topic that a peer had. A peer that has less
// proves nothing: it may have started at the same time as this process, or know no more.
type newestRevisions map[wire.Topic]heardRevision

// heardRevision is a revision and when a peer last had it or a newer one.
type heardRevision struct {
	rev int64
	at  clock.Millis
}

// newestRevisionTTL is how long a revision counts that no peer has any more. Those that had it
// have ended, and what they knew is lost until the platform responds.
const newestRevisionTTL clock.Millis = 15_000

// record adds the revisions of a peer.
func (r newestRevisions) record(revs map[wire.Topic]int64, now clock.Millis) {
	for t, rev := range revs {
		if rev >= r.of(t, now) {
			r[t] = heardRevision{rev, now}
		}
	}
}

// of returns the newest revision of a topic that peers lately had, zero if none is known.
func (r newestRevisions) of(t wire.Topic, now clock.Millis) int64 {
	if h := r[t]; now-h.at <= newestRevisionTTL {
		return h.rev
	}
	return 0
}
