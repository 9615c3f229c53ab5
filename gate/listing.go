package gate

import (
	"math"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/peers/changes"
)

const (
	// drainingDuePart is the part of the bound for leaving engines after which the list of
	// engines must be confirmed: the rest is for the call, which a slow store answers
	// after 400 ms, and for what requests are on their way.
	drainingDuePart = 0.6
	// ownReadPeriod is how long an entry takes the word of others that the list is unchanged,
	// before it looks for itself: all others may be wrong.
	ownReadPeriod clock.Millis = 60_000
	// unverifiedMaxAge is how long an entry goes by what others told of engines before it asks the
	// store whether that is so: a lie may have prompts sent to an engine that is none.
	unverifiedMaxAge clock.Millis = 20_000
	// changesTimeout is how long an entry that is behind leaves the store alone for what the one
	// that told of a later list may tell of its changes: a question, an answer and the time
	// to take it.
	changesTimeout clock.Millis = 300
	// PropagationLag is how long word of an entry takes to the last of lagEntries.
	PropagationLag clock.Millis = 2000
	// propagationEntries is the number of entries for which PropagationLag holds.
	propagationEntries = 100
	// fewEntries is up to how many entries each ask the store, for the list and while it
	// refuses: that costs few calls, and each hears of a change or a return at once.
	fewEntries = 8
	// WatchLag is how much of the past a watch may not have heard of, also when it answers:
	// the store is known to tell changes up to a second late while it drops history. Reads
	// of an item have no such lag.
	WatchLag clock.Millis = 1000
)

// listState is what is known of the list of engines as a whole. Many entries do not each
// ask whether it is as it was: the first does so early, the others hear of it, and where the
// sums over what the list says differ, ask the one that told for what came to it, or else the
// store. Engines write their entries again and again, so that a watch ends at once and an
// entry that asks for itself asks as often as it may. Played with 103 entries for 54 s in which
// an engine came or left each second, 1,265 such calls remained of 1,743 while others told only
// that a list is unchanged; simulated without such changes, 5 a second do of 50.
type listState struct {
	// sum stands for what the list says, as this entry last read it at askedAt.
	sum    uint32
	readAt clock.Millis
	// unverifiedSince is when others first told of changes that the store was not asked about yet,
	// zero if none did.
	unverifiedSince clock.Millis
	// watched is true while a watch waits that tells of changes at once.
	watched bool
	// behind is true from when another told of a later list until that is known or the
	// store is asked, and other is the sum that it told. Two entries may never agree,
	// where one read a list that the other did not: the same sum is asked about once.
	behind  bool
	peerSum uint32
	// changesRequestedAt is when the changes were last wanted of the one that told, zero if they
	// were not yet.
	changesRequestedAt clock.Millis
}

// ConfirmEngines records that the list of engines, for which sum stands, was complete at
// the given time.
func (g *Gate) ConfirmEngines(sum uint32, at clock.Millis) {
	if g.confirmEngines(sum, at) {
		g.beginUnknownHistory()
	}
}

// confirmEngines is ConfirmEngines, and reports whether it was the first time.
func (g *Gate) confirmEngines(sum uint32, at clock.Millis) (first bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if first = !g.listFreshness.Known(); first {
		g.book.Settle(at)
	}
	g.list.readAt, g.list.unverifiedSince = at, 0
	g.setList(sum, at)
	return first
}

// ConfirmEnginesByPeer records that by another's word the list, for which sum stands, was complete at
// the given time.
func (g *Gate) ConfirmEnginesByPeer(sum uint32, at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.list.unverifiedSince == 0 {
		g.list.unverifiedSince = max(1, g.clk.Now())
	}
	g.setList(sum, at)
}

// setList takes the list, for which sum stands, to have been complete at the given time.
// The caller holds mu.
func (g *Gate) setList(sum uint32, at clock.Millis) {
	g.listFreshness.Confirm(at)
	g.list.sum = max(1, sum)
	g.list.behind = false
}

// Changes returns what came to the list lately.
func (g *Gate) Changes() *changes.Log { return &g.changes }

// SetEngineWatchActive records whether a watch waits for changes of the list.
func (g *Gate) SetEngineWatchActive(waits bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.list.watched = waits
}

// ListShared reports whether others' word tells whether the list is unchanged: there are
// some of them, their word comes in time, and the store is not in doubt.
func (g *Gate) ListShared() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listShared(g.clk.Now())
}

// listShared is ListShared. Where the list is due before word of another can be there, all
// would ask nevertheless, and more often. The caller holds mu.
func (g *Gate) listShared(now clock.Millis) bool {
	n := g.fleet.Entries
	inTime := drainingDuePart*float64(g.bounds().Draining) >= float64(propagationLag(n))
	return inTime && n > fewEntries && g.listFreshness.Known() && !g.epoch.Doubts(now)
}

// propagationLag returns how long word of an entry takes to the last of n. Each step of its way
// divides the entries that it has yet to reach, so the steps grow as the logarithm.
func propagationLag(n int) clock.Millis {
	return clock.Millis(float64(PropagationLag) * min(1, math.Log(float64(n))/math.Log(propagationEntries)))
}

// ListReadDue reports whether the store should be asked for the list of engines, if none asks
// it: nobody has for a while, or another entry knows a later one.
func (g *Gate) ListReadDue() bool {
	due := drainingDuePart * float64(g.bounds().Draining)
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	since := now - g.list.readAt
	// What changes together costs one call, and a peer that lies no more than there would
	// be without it.
	behind := g.list.behind && now-g.list.changesRequestedAt >= changesTimeout && !g.changes.HasPending()
	unproved := g.list.unverifiedSince > 0 && now-g.list.unverifiedSince > unverifiedMaxAge
	if since > ownReadPeriod || unproved || (behind && since >= clock.Millis(due)) {
		return true
	}
	return g.confirmationDue(func(part float64) bool { return !g.listFreshness.Within(clock.Millis(part*due), now) })
}

// confirmationDue reports whether this entry should confirm something that was confirmed a part of the
// time ago in which it must be. The caller holds mu.
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

// reportList returns the sum over the list and its age, or zero if there is nothing to tell.
// The caller holds mu.
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

// receiveList takes word of a peer that speaks of the same epoch that the list was as sum
// says at the given time. The caller holds mu.
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

// WantedChanges implements peers.Host: the changes are wanted of the one that told of a later list.
func (g *Gate) WantedChanges(sum uint32) (changes.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clk.Now()
	if !g.list.behind || sum != g.list.peerSum || g.changes.HasPending() || !g.listShared(now) {
		return changes.Position{}, false
	}
	place, ok := g.changes.Position()
	if ok {
		g.list.changesRequestedAt = now
	}
	return place, ok
}

// ChangesSince implements peers.Host.
func (g *Gate) ChangesSince(p changes.Position) (changes.Delta, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum, age := g.reportList(g.clk.Now())
	came, to, ok := g.changes.Since(p)
	if sum == 0 || !ok {
		return changes.Delta{}, false
	}
	return changes.Delta{From: p, To: to, Sum: sum, Age: age, Changes: came}, true
}

// ReceiveChanges implements peers.Host. Who follows the list judges what it says.
func (g *Gate) ReceiveChanges(from string, w changes.Delta, at clock.Millis) {
	if w.Age >= 0 {
		g.changes.SetPending(changes.PeerDelta{Delta: w, Peer: from, ValidAt: at - w.Age})
	}
}
