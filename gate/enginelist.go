package gate

import (
	"math"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/peers/changes"
)

const (
	// drainingDuePart is the fraction of the bound for draining engines after which the list
	// of engines must be confirmed. The rest covers the call, which takes 400 ms if the store
	// is slow, and requests on their way to engines.
	drainingDuePart = 0.6
	// ownReadPeriod is how long an entry relies on reports that the list is unchanged before
	// it reads the list itself. All reports may be wrong.
	ownReadPeriod clock.Millis = 60_000
	// unverifiedMaxAge is how long an entry uses engines that peers reported before it
	// verifies them with the store. A false report may direct prompts to a host that is not
	// an engine.
	unverifiedMaxAge clock.Millis = 20_000
	// changesTimeout is how long an entry with an outdated list waits for the changes from
	// the peer that reported a later one before it asks the store. It covers a request, its
	// response and the time to apply the changes.
	changesTimeout clock.Millis = 300
	// PropagationLag is how long a report takes to reach the last of propagationEntries.
	PropagationLag clock.Millis = 2000
	// propagationEntries is the number of entries for which PropagationLag holds.
	propagationEntries = 100
	// fewEntries is the number of entries up to which each asks the store itself, for the
	// list and whether an unavailable store is available again. So few entries cause few
	// calls, and none of them has to wait for a report.
	fewEntries = 8
	// WatchLag is the maximum delay with which a watch reports a change. A response to a
	// watch may lack the changes of this last period, because the store can be up to a second
	// late while it compacts its history. Reads of an item have no such delay.
	WatchLag clock.Millis = 1000
)

// listState is the state of the list of engines as a whole. If there are many entries, the
// first one asks the store early whether the list is unchanged, and the others rely on its
// report. An entry whose list has another checksum requests the changes from the peer that
// reported the later list, or else from the store.
//
// This saves calls because engines renew their items in the list all the time: a watch of
// the list returns almost at once, so an entry that asks the store itself does so as often
// as its timing allows. If they do not, an entry that shares the list watches it for no
// longer than that, since a watch confirms nothing while it is open.
type listState struct {
	// sum is the checksum of the list as last read from the store or updated with changes
	// from a peer, zero if it is not known yet.
	sum uint32
	// readAt is when the store last confirmed the list to this entry.
	readAt clock.Millis
	// confirmedBy names the source of the latest confirmation: byStore, byPeers or the ID of a
	// peer.
	confirmedBy string
	// unverifiedSince is when peers first reported changes that have not been verified with
	// the store, zero if there are none.
	unverifiedSince clock.Millis
	// behind is true from when a peer reports a later list until this entry reads the list
	// from the store or applies changes from a peer.
	behind bool
	// peerSum is the checksum that the peer reported. The same checksum does not set behind
	// again: if one entry read a list that the other did not, their checksums may never
	// agree.
	peerSum uint32
	// changesRequestedAt is when the changes were last requested from the peer that reported
	// peerSum, zero if they were not.
	changesRequestedAt clock.Millis
	// confirmed is closed, and replaced, when the store confirms the list to this entry.
	confirmed chan struct{}
	// demandedAt is when a confirmation was last demanded.
	demandedAt clock.Millis
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
		g.versionsBelievedSince = at
	}
	g.list.readAt, g.list.unverifiedSince = at, 0
	g.setList(sum, at, byStore)
	close(g.list.confirmed)
	g.list.confirmed = make(chan struct{})
	return first
}

// MarkListReplaced records that the list is read anew as of the given time, and that changes
// before may have been missed.
func (g *Gate) MarkListReplaced(at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.versionsKnownSince = at
}

// ConfirmEnginesByPeer records that, by a report of a peer, the list with checksum sum was
// complete at the given time.
func (g *Gate) ConfirmEnginesByPeer(sum uint32, at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.list.unverifiedSince == 0 {
		g.list.unverifiedSince = max(1, g.clk.Now())
	}
	g.setList(sum, at, byPeers)
}

// Sources of confirmations of the list, other than the ID of a peer.
const (
	byStore = "store"
	byPeers = "peers"
)

// setList records that the list with checksum sum was complete at the given time, according
// to a source. The caller holds mu.
func (g *Gate) setList(sum uint32, at clock.Millis, source string) {
	g.confirmList(at, source)
	g.list.sum = max(1, sum)
	g.list.behind = false
}

// confirmList records that the known list was complete at the given time, according to a
// source. The caller holds mu.
func (g *Gate) confirmList(at clock.Millis, source string) {
	now := g.clk.Now()
	if !g.listFreshness.Known() || now-at < g.listFreshness.Age(now) {
		g.list.confirmedBy = source
	}
	g.listFreshness.Confirm(at)
}

// listAge returns the time since the list was last known to be complete, in seconds, or -1
// if it is not known.
func (g *Gate) listAge() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.listFreshness.Known() {
		return -1
	}
	return inSeconds(g.listFreshness.Age(g.clk.Now()))
}

// listOrigin returns the log attributes that say since when and by whom the list counts as
// complete, and when the store last confirmed it to this entry. Unknown ages are -1. The
// caller holds mu.
func (g *Gate) listOrigin() []any {
	age := clock.Millis(-1)
	now := g.clk.Now()
	if g.listFreshness.Known() {
		age = g.listFreshness.Age(now)
	}
	return []any{"list_age_ms", age, "confirmed_by", g.list.confirmedBy, "read_ms", g.listReadAge(now)}
}

// listReadAge returns the time since the store last confirmed the list to this entry, or -1 if
// it has not. The caller holds mu.
func (g *Gate) listReadAge(now clock.Millis) clock.Millis {
	if !g.listFreshness.Known() {
		return -1
	}
	return now - g.list.readAt
}

// Changes returns the log of recent changes of the list.
func (g *Gate) Changes() *changes.Log { return &g.changes }

// ListShared reports whether peers can confirm that the list is unchanged. There must be
// more than fewEntries entries, their reports must arrive in time, and the store must be
// known to have what it had before its present epoch.
func (g *Gate) ListShared() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listShared(g.clk.Now())
}

// listShared is ListShared for callers that hold mu. If a confirmation is due before a report
// can arrive, sharing saves nothing: all entries would still ask the store, and more often
// than without sharing.
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

// ListReadDue reports whether this entry should ask the store for the list of engines. It
// should if
//   - its own last read is older than ownReadPeriod,
//   - changes that peers reported are unverified for longer than unverifiedMaxAge,
//   - a peer has a later list whose changes are neither pending nor requested within the last
//     changesTimeout, and the last read is at least the due time ago, or
//   - a confirmation of the list is due at this entry.
func (g *Gate) ListReadDue() bool {
	due := drainingDuePart * float64(g.bounds().Draining)
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	since := now - g.list.readAt
	// A peer's later list causes a call only if the last read is at least due ago. Several
	// changes within that time then cost one call, and false reports cost no more calls than
	// there would be without reports.
	behind := g.list.behind && now-g.list.changesRequestedAt >= changesTimeout && !g.changes.HasPending()
	unverified := g.list.unverifiedSince > 0 && now-g.list.unverifiedSince > unverifiedMaxAge
	if since > ownReadPeriod || unverified || (behind && since >= clock.Millis(due)) {
		return true
	}
	return g.confirmationDue(func(duePart float64) bool { return !g.listFreshness.Within(clock.Millis(duePart*due), now) })
}

// confirmationDue reports whether this entry should confirm the table or the list now.
// older reports whether the last confirmation is older than the fraction duePart of the
// time in which one is due. The caller holds mu.
func (g *Gate) confirmationDue(older func(duePart float64) bool) bool {
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
// reported. Only a response confirms the list: a watch that nothing arrives on is the same
// whether there are no changes or the store no longer responds. The caller holds mu.
func (g *Gate) reportList(now clock.Millis) (sum uint32, age clock.Millis) {
	if !g.listShared(now) {
		return 0, 0
	}
	return g.list.sum, g.listFreshness.Age(now)
}

// receiveList records the report of the peer named from that the list had the given checksum
// at the given time. The peer must have read the list in the same epoch of the store. The
// caller holds mu.
func (g *Gate) receiveList(from string, sum uint32, at, now clock.Millis) {
	if sum == 0 || at > now || !g.listShared(now) {
		return
	}
	if sum == g.list.sum {
		g.confirmList(at, from)
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
