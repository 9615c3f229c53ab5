package gate

import "github.com/weldfall/weldfall/common/clock"

const (
	// rewriteFor is how long a store that was restored from an older copy may lack what
	// operators and engines had written. They write it again within about two seconds.
	rewriteFor clock.Millis = 2500
	// peerAheadFor is how long the report of a newer table by another entry prevents a
	// restored store from confirming the table in force: a few rounds of gossip. Reports
	// count until peerAheadMaxAge after the beginning of the epoch, since the operators may
	// never write that version again.
	peerAheadFor    clock.Millis = 2000
	peerAheadMaxAge clock.Millis = 10_000
	// ignorePeersFor is how long reports of the store's revision are ignored after the store
	// was found to be behind them.
	ignorePeersFor clock.Millis = 20_000
)

// storeProgress is the revision that the store has reached, by its responses and the
// reports of peers.
type storeProgress struct {
	// revision is the newest revision of the epoch.
	epoch, revision int64
	// ignorePeersUntil is until when reports of peers are ignored.
	ignorePeersUntil clock.Millis
}

// confirm records that, by a response of an epoch, the table and the evacuations in force
// were current at the given time, if that epoch proves it. The caller holds mu.
//
// A store that was restored from an older copy lacks the latest publications at first: its
// table may still have a key that was revoked. Its responses in that time prove nothing, so
// keys expire by the last confirmation before it.
func (g *Gate) confirm(epoch int64, at clock.Millis) {
	if !g.epoch.Confirms(epoch, at) || g.behindOthers(at) {
		return
	}
	g.tableFreshness.Confirm(at)
}

// behindOthers reports whether another entry lately had a newer table than the one in
// force, which the recently restored store does not show. The caller holds mu.
func (g *Gate) behindOthers(at clock.Millis) bool {
	return g.epoch.Restored() && g.epoch.Age(at) < peerAheadMaxAge && g.peerAheadAt > 0 && at-g.peerAheadAt < peerAheadFor
}

// SetStoreEpoch records that a response to a request sent at the given time was of a later
// epoch of the store.
func (g *Gate) SetStoreEpoch(epoch int64, at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch.Observe(epoch, at)
	g.epochMissed = false
}

// StoreMayBeStale reports whether, at the given time, the store may lack what it had before
// its epoch.
func (g *Gate) StoreMayBeStale(at clock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch.MayBeStale(at)
}

// TakeMissedEpoch reports, once, that another entry has seen a later epoch.
func (g *Gate) TakeMissedEpoch() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	missed := g.epochMissed
	g.epochMissed = false
	return missed
}

// receiveEpoch records the epoch that a peer reported and since when the peer knew it. It
// returns whether the epoch is that of this entry. The store is asked for a later epoch at
// most once in peerAheadFor, since the report may be false. The caller holds mu.
func (g *Gate) receiveEpoch(epoch int64, since, now clock.Millis) bool {
	if g.epoch.ObservePeer(epoch, since) && now-g.epochReportedAt > peerAheadFor {
		g.epochMissed, g.epochReportedAt = true, now
	}
	return epoch == g.epoch.Number()
}

// receiveConfirmation records that, by the report of a peer with the same epoch, table and
// evacuations, they were current at the given time. The caller holds mu.
func (g *Gate) receiveConfirmation(at clock.Millis) {
	if !g.epoch.MayBeStale(at) {
		g.tableFreshness.Confirm(at)
	}
}

// ObserveStoreRevision records the revision of a response of the store.
func (g *Gate) ObserveStoreRevision(epoch, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advanceRevision(epoch, revision)
}

// CorrectStoreRevision records that the store was found at an older revision than it was
// reported to have reached.
func (g *Gate) CorrectStoreRevision(epoch, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.progress = storeProgress{epoch: epoch, revision: revision, ignorePeersUntil: g.clk.Now() + ignorePeersFor}
}

// receiveRevision records the revision of an epoch that a peer reported. The caller holds
// mu.
func (g *Gate) receiveRevision(epoch, revision int64) {
	if g.clk.Now() >= g.progress.ignorePeersUntil {
		g.advanceRevision(epoch, revision)
	}
}

// StoreRevision returns the newest revision of the store's current epoch that this or
// another entry has seen, zero if none is known.
func (g *Gate) StoreRevision() (epoch, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch.Number(), g.storeRevision()
}

// advanceRevision records a revision of an epoch that this or another entry has seen. The
// caller holds mu.
func (g *Gate) advanceRevision(epoch, revision int64) {
	switch {
	case epoch != g.epoch.Number():
	case epoch != g.progress.epoch:
		g.progress.epoch, g.progress.revision = epoch, revision
	default:
		g.progress.revision = max(g.progress.revision, revision)
	}
}

// storeRevision is StoreRevision for callers that hold mu.
func (g *Gate) storeRevision() int64 {
	if g.progress.epoch != g.epoch.Number() {
		return 0
	}
	return g.progress.revision
}
