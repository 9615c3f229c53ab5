package gate

import (
	"math"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/peers/changes"
)

const (
	// drainingDuePart is the part of the bound for draining engines after which the list of
	// engines must be confirmed. The rest is for the call, which takes 400 ms at a slow
	// store, and for requests on their way to engines.
	drainingDuePart = 0.6
	// ownReadPeriod is how long an entry relies on reports that the list is unchanged before
	// it reads the list itself. All reports may be wrong.
	ownReadPeriod clock.Millis = 60_000
	// unverifiedMaxAge is how long an entry uses engines that peers reported before it
	// verifies them with the store. A false report may send prompts to an address that is no
	// engine.
	unverifiedMaxAge clock.Millis = 20_000
	// changesTimeout is how long an entry that is behind waits, before it asks the store, for
	// changes from the peer that reported a later list: a request, a response and the time to
	// apply it.
	changesTimeout clock.Millis = 300
	// PropagationLag is how long a report takes to reach the last of propagationEntries.
	PropagationLag clock.Millis = 2000
	// propagationEntries is the number of entries for which PropagationLag holds.
	propagationEntries = 100
	// fewEntries is the number of entries up to which each asks the store itself, for the
	// list and while the store is unavailable. This costs few calls, and each entry learns of
	// a change or a return at once.
	fewEntries = 8
	// WatchLag is how late a watch may report a change, also when it returns: the store can
	// report changes up to a second late while it compacts its history. Reads of an item have
	// no such lag.
	WatchLag clock.Millis = 1000
)

// listState is what is known of the list of engines as a whole. If there are many entries,
// not each of them asks whether the list is unchanged: the first entry does so early and
// the others receive its report. If the checksums of their lists differ, an entry asks the
// peer that reported the other list for the changes, or else the store. Engines write their
// entries again and again, so a watch returns at once, and an entry that asks the store
// itself does so as often as allowed.
//
// In a test with 103 entries over 54 s, in which an engine joined or left each second,
// 1,265 such calls remained of 1,743 while peers reported only that the list is unchanged.
// In a simulation without such changes, 5 calls a second remained of 50.
type listState struct {
	// sum is the checksum of the list that this entry last read, at readAt.
	sum    uint32
	readAt clock.Millis
	// unverifiedSince is when peers first reported changes that have not been verified with
	// the store, zero if there are none.
	unverifiedSince clock.Millis
	// watched is true while a watch is open, which reports changes at once.
	watched bool
	// behind is true from when a peer reports a later list until that list is known or the
	// store was asked. peerSum is the checksum that the peer reported. A checksum is asked
	// for only once, because two entries never agree if one of them read a list that the
	// other did not.
	behind  bool
	peerSum uint32
	// changesRequestedAt is when the changes were last requested from the peer that reported
	// them, zero if they were not yet.
	changesRequestedAt clock.Millis
}

// ConfirmEngines records that the list of engines with checksum sum was complete at the
// given time.
func (g *Gate) ConfirmEngines(sum uint32, at clock.Millis) {
	if g.confirmEngines(sum, at) {
		g.beginUnknownHistory()
	}
}

// confirmEngines is ConfirmEngines and returns whether it was the first time.
func (g *Gate) confirmEngines(sum uint32, at clock.Millis) (first bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if first = !g.listFreshness.Known(); first {
		g.registry.MarkSynced(at)
	}
	g.list.readAt, g.list.unverifiedSince = at, 0
	g.setList(sum, at)
	return first
}

// ConfirmEnginesByPeer records that, by a report of a peer, the list with checksum sum was
// complete at the given time.
func (g *Gate) ConfirmEnginesByPeer(sum uint32, at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.list.unverifiedSince == 0 {
		g.list.unverifiedSince = max(1, g.clk.Now())
	}
	g.setList(sum, at)
}

// setList records that the list with checksum sum was complete at the given time. The
// caller holds mu.
func (g *Gate) setList(sum uint32, at clock.Millis) {
	g.listFreshness.Confirm(at)
	g.list.sum = max(1, sum)
	g.list.behind = false
}

// Changes returns the log of recent changes of the list.
func (g *Gate) Changes() *changes.Log { return &g.changes }

// SetEngineWatchActive records whether a watch of the list is open.
func (g *Gate) SetEngineWatchActive(active bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.list.watched = active
}

// ListShared reports whether peers can confirm that the list is unchanged: there are enough
// of them, their reports arrive in time, and the store is not stale.
func (g *Gate) ListShared() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listShared(g.clk.Now())
}

// listShared is ListShared for callers that hold mu. If the list is due before a report can
// arrive, all entries would ask the store anyway, and more often.
func (g *Gate) listShared(now clock.Millis) bool {
	n := g.fleet.Entries
	inTime := drainingDuePart*float64(g.bounds().Draining) >= float64(propagationLag(n))
	return inTime && n > fewEntries && g.listFreshness.Known() && !g.epoch.MayBeStale(now)
}

// propagationLag returns how long a report takes to reach the last of n entries. Each hop
// divides the number of entries that are left, so the number of hops grows with the
// logarithm of n.
func propagationLag(n int) clock.Millis {
	return clock.Millis(float64(PropagationLag) * min(1, math.Log(float64(n))/math.Log(propagationEntries)))
}

// ListReadDue reports whether this entry should read the list of engines from the store: no
// entry has confirmed it for some time, or another entry has a later list.
func (g *Gate) ListReadDue() bool {
	due := drainingDuePart * float64(g.bounds().Draining)
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	since := now - g.list.readAt
	// Changes at about the same time cost one call, and false reports cost no more calls
	// than there would be without reports.
	behind := g.list.behind && now-g.list.changesRequestedAt >= changesTimeout && !g.changes.HasPending()
	unverified := g.list.unverifiedSince > 0 && now-g.list.unverifiedSince > unverifiedMaxAge
	if since > ownReadPeriod || unverified || (behind && since >= clock.Millis(due)) {
		return true
	}
	return g.confirmationDue(func(part float64) bool { return !g.listFreshness.Within(clock.Millis(part*due), now) })
}

// confirmationDue reports whether this entry should confirm the table or the list now.
// older reports whether the last confirmation is older than a part of the time in which one
// is due. The caller holds mu.
func (g *Gate) confirmationDue(older func(part float64) bool) bool {
	switch {
	case older(1):
		return true
	case g.fleet.First && g.fleet.Entries > manyEntries:
		return older(firstOfManyDuePart)
	case g.fleet.First:
		return older(firstDuePart)
	}
	return older(randomDuePart) && random() < 1/float64(max(1, g.fleet.Entries))
}

// reportList returns the checksum of the list and its age, or zero if it must not be
// reported. The caller holds mu.
func (g *Gate) reportList(now clock.Millis) (sum uint32, age clock.Millis) {
	if !g.listShared(now) {
		return 0, 0
	}
	age = g.listFreshness.Age(now)
	if g.list.watched {
		age = min(age, WatchLag)
	}
	return g.list.sum, age
}

// receiveList records the report of a peer of the same epoch that the list had the given
// checksum at the given time. The caller holds mu.
func (g *Gate) receiveList(sum uint32, at, now clock.Millis) {
	if sum == 0 || at > now || !g.listShared(now) {
		return
	}
	if sum == g.list.sum {
		g.listFreshness.Confirm(at)
		return
	}
	if at > now-g.listFreshness.Age(now) && sum != g.list.peerSum {
		g.list.behind, g.list.peerSum, g.list.changesRequestedAt = true, sum, 0
	}
}

// WantedChanges implements peers.Host. Changes are requested only from the peer that
// reported the later list.
func (g *Gate) WantedChanges(sum uint32) (changes.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clk.Now()
	if !g.list.behind || sum != g.list.peerSum || g.changes.HasPending() || !g.listShared(now) {
		return changes.Position{}, false
	}
	pos, ok := g.changes.Position()
	if ok {
		g.list.changesRequestedAt = now
	}
	return pos, ok
}

// ChangesSince implements peers.Host.
func (g *Gate) ChangesSince(p changes.Position) (changes.Delta, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum, age := g.reportList(g.clk.Now())
	list, to, ok := g.changes.Since(p)
	if sum == 0 || !ok {
		return changes.Delta{}, false
	}
	return changes.Delta{From: p, To: to, Sum: sum, Age: age, Changes: list}, true
}

// ReceiveChanges implements peers.Host. The delta is validated when it is applied.
func (g *Gate) ReceiveChanges(from string, w changes.Delta, at clock.Millis) {
	if w.Age >= 0 {
		g.changes.SetPending(changes.PeerDelta{Delta: w, Peer: from, ValidAt: at - w.Age})
	}
}
