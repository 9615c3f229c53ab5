package gate

import "github.com/weldfall/weldfall/common/clock"

const (
	// rewriteFor is how long a store that came back from an older copy may lack what
	// operators and engines had written: they write it again within some two seconds.
	rewriteFor clock.Millis = 2500
	// peerAheadFor is how long word of an entry with a newer table holds off a proof of ours
	// by a store that came back: a few rounds of asking. It does so for no longer than
	// aheadMost after the beginning of the epoch, since the operators may never write
	// that version again.
	peerAheadFor    clock.Millis = 2000
	peerAheadMaxAge clock.Millis = 10_000
	// ignorePeersFor is how long others' word of the store's revision is passed over after
	// the store was found to be behind it.
	ignorePeersFor clock.Millis = 20_000
)

// storeProgress is how far the store has come by its answers and by the word of others.
type storeProgress struct {
	// revision is the newest of the epoch.
	epoch, revision int64
	// ignorePeersUntil is until when others' word is passed over.
	ignorePeersUntil clock.Millis
}

// confirm records that by an answer of an epoch the table and the evacuations in force
// were true at the given time, if that epoch shows it. The caller holds mu.
//
// A store that came back from an older copy lacks at first what was published last: a key
// may be in the table that it shows which was revoked. What it said when it was asked in
// that time proves nothing, so that keys are good for as long as the last proof before
// it makes them.
func (g *Gate) confirm(epoch int64, at clock.Millis) {
	if !g.epoch.Proves(epoch, at) || g.behindOthers(at) {
		return
	}
	g.tableFreshness.Confirm(at)
}

// behindOthers reports whether another entry lately had a newer table than ours which the
// store, soon after it came back, does not show. The caller holds mu.
func (g *Gate) behindOthers(at clock.Millis) bool {
	return g.epoch.Later() && g.epoch.Age(at) < peerAheadMaxAge && g.peerAheadAt > 0 && at-g.peerAheadAt < peerAheadFor
}

// SetStoreEpoch records that an answer to what was asked at the given time was of a later
// epoch of the store.
func (g *Gate) SetStoreEpoch(epoch int64, at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch.See(epoch, at)
	g.epochMissed = false
}

// StoreMayBeStale reports whether the store may lack at the given time what it had said
// before its epoch.
func (g *Gate) StoreMayBeStale(at clock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch.Doubts(at)
}

// TakeMissedEpoch reports, once, that another entry has met a later epoch.
func (g *Gate) TakeMissedEpoch() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	missed := g.epochMissed
	g.epochMissed = false
	return missed
}

// receiveEpoch takes the epoch that a peer knew, and since when. It reports whether the peer
// speaks of the same as this entry. Of a later one the store is asked, once in aheadFor,
// since the peer may lie. The caller holds mu.
func (g *Gate) receiveEpoch(epoch int64, since, now clock.Millis) bool {
	if g.epoch.Told(epoch, since) && now-g.epochReportedAt > peerAheadFor {
		g.epochMissed, g.epochReportedAt = true, now
	}
	return epoch == g.epoch.Number()
}

// receiveProof takes word of a peer that speaks of the same epoch, table and evacuations as
// this entry, that they were proved to be true at the given time. The caller holds mu.
func (g *Gate) receiveProof(at clock.Millis) {
	if !g.epoch.Doubts(at) {
		g.tableFreshness.Confirm(at)
	}
}

// ObserveStoreRevision records that an answer of the store was of a revision of an epoch.
func (g *Gate) ObserveStoreRevision(epoch, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advanceRevision(epoch, revision)
}

// CorrectStoreRevision records that the store was found at a revision that is older than it was
// said to have reached.
func (g *Gate) CorrectStoreRevision(epoch, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.progress = storeProgress{epoch: epoch, revision: revision, ignorePeersUntil: g.clk.Now() + ignorePeersFor}
}

// receiveRevision takes the revision of an epoch that a peer knew. The caller holds mu.
func (g *Gate) receiveRevision(epoch, revision int64) {
	if g.clk.Now() >= g.progress.ignorePeersUntil {
		g.advanceRevision(epoch, revision)
	}
}

// StoreRevision returns the newest revision of the current epoch of the store that this or
// another entry has met, zero if none is known.
func (g *Gate) StoreRevision() (epoch, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch.Number(), g.storeRevision()
}

// advanceRevision records a revision of an epoch that this or another entry has met. The caller
// holds mu.
func (g *Gate) advanceRevision(epoch, revision int64) {
	switch {
	case epoch != g.epoch.Number():
	case epoch != g.progress.epoch:
		g.progress.epoch, g.progress.revision = epoch, revision
	default:
		g.progress.revision = max(g.progress.revision, revision)
	}
}

// storeRevision is StoreRevision for a caller that holds mu.
func (g *Gate) storeRevision() int64 {
	if g.progress.epoch != g.epoch.Number() {
		return 0
	}
	return g.progress.revision
}
