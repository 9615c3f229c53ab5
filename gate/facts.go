package gate

import (
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/peers"
)

var _ peers.Host = (*Gate)(nil)

const (
	// revocationDuePart is the part of the bound for revoked keys after which the
	// table must be confirmed: keys are then good for three fifths of the bound
	// after the last source of news is gone, which is as long as requests with
	// keys are expected to be served.
	revocationDuePart = 0.34
	// evacuationDuePart is the same part of the bound for evacuations, so that one
	// read serves both.
	evacuationDuePart = revocationDuePart
	// changeDuePart is the part of the bound for changes after which it must be
	// confirmed, so that a change of which no watch told is found in time.
	changeDuePart = 0.8
	// randomDuePart is the part of that time after which one of the entries by chance
	// confirms the table for all, and dueFirst the part after which the first of
	// them does; the rest is for word to reach the others.
	randomDuePart = 0.85
	firstDuePart  = 0.35
	// firstOfManyDuePart is that of the first of more entries than manyEntries, to which its
	// word takes several steps: with a confirmation each 0.65 s the word of one of 103 is
	// older than 1.46 s a tenth of the time, and an older one costs a call of its own.
	// With this, and neighbours a fifth of the way to the first, 103 entries confirm
	// 800 times in 58 s where it was 1,350.
	firstOfManyDuePart = 0.18
	manyEntries        = 32
	// watchDuePart is the part of the bound for changes for which a watch may take to
	// bring the version of which a peer told: a large one is on its way for half
	// a second, and asking for it as well would bring it twice.
	watchDuePart = 0.3
	// laggingDuePart is the part of it that is left where a confirmation comes with
	// a lag of its own.
	laggingDuePart = 0.9
	// peerNewerFor is how long word of an entry with a newer table is good for: a few
	// rounds of asking.
	peerNewerFor clock.Millis = 2000
	// recentAnswerAge is how old word of another entry's answer of the store may be for the
	// store to be there: with one confirmation each 0.65 s nearly all know a younger one.
	recentAnswerAge clock.Millis = 2500
	// maxLoadAge is how old a load may be to be worth telling.
	maxLoadAge clock.Millis = 2000
)

// TableConfirmationDue reports whether the table in force should be confirmed: it has not
// been for a while, or a peer has a newer one. The first of the entries does so
// early and the others hear of it; where it cannot, one of them does by chance
// before all must. lag is how old a confirmation will be when it comes.
func (g *Gate) TableConfirmationDue(lag clock.Millis) bool {
	t := g.table.Load()
	if t == nil {
		return false
	}
	b := g.bounds()
	due := min(revocationDuePart*float64(b.Revocation), changeDuePart*float64(b.Change))
	if b.Evacuation > 0 {
		due = min(due, evacuationDuePart*float64(b.Evacuation))
	}
	if lag > 0 {
		due *= laggingDuePart
	}
	now := g.clk.Now()
	older := func(part float64) bool { return !g.tableFreshness.Within(lag+clock.Millis(part*due), now) }
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.newestVersion > t.Version() && now-g.newestVersionAt > clock.Millis(watchDuePart*float64(b.Change)) {
		return true
	}
	return g.confirmationDue(older)
}

// StoreContention tells whether many entries are known that ask the store, too, and whether one
// of them had an answer lately. Nobody's word helps an entry that cannot serve yet.
func (g *Gate) StoreContention() (many, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	many = g.fleet.Entries > fewEntries && g.table.Load() != nil && g.listFreshness.Known()
	return many, many && g.storeAnsweredAt > 0 && g.clk.Now()-g.storeAnsweredAt <= recentAnswerAge
}

// SetFleet implements peers.Host.
func (g *Gate) SetFleet(f peers.Fleet) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet = f
}

// LocalStatus implements peers.Host.
func (g *Gate) LocalStatus(loads, suspects int) peers.Status {
	now := g.clk.Now()
	k := peers.Status{}
	k.SuspectSum, k.Suspects = g.guard.Summarize(suspects)
	t := g.table.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	if k.Epoch = g.epoch.Number(); k.Epoch > 0 {
		k.EpochAge = g.epoch.Age(now)
	}
	k.Revision = g.storeRevision()
	if t != nil && g.tableFreshness.Known() {
		k.Table, k.TableAge, k.EvacuatedSum = t.Version(), g.tableFreshness.Age(now), checksum(g.evacuated)
	}
	k.SuspectsComplete = g.knowsHistory(now)
	k.ListSum, k.ListAge = g.reportList(now)
	for _, l := range g.book.Loads(maxLoadAge, loads, now) {
		k.Loads = append(k.Loads, peers.Load{Incarnation: l.Mark(), Requests: l.Requests, Age: l.Age})
	}
	return k
}

// ReceiveStatus implements peers.Host. What a peer knew of the same version and the same
// evacuations at some time is true of ours; of another version it says only that
// ours is old, and of other evacuations only that one of us has yet to learn.
func (g *Gate) ReceiveStatus(from string, k peers.Status, at clock.Millis) {
	if k.SuspectsComplete {
		g.receiveHistory(from)
	}
	g.receiveAges(k, at)
	g.ReceiveLoads(k.Loads, at)
	g.ReceiveSuspects(from, k.Suspects)
}

func (g *Gate) receiveAges(k peers.Status, at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sameEpoch := k.EpochAge >= 0 && g.receiveEpoch(k.Epoch, at-k.EpochAge, at)
	if sameEpoch {
		g.receiveRevision(k.Epoch, k.Revision)
	}
	if sameEpoch && k.ListAge >= 0 {
		g.receiveList(k.ListSum, at-k.ListAge, g.clk.Now())
	}
	t := g.table.Load()
	if t == nil || k.TableAge < 0 {
		return
	}
	same := k.EvacuatedSum == checksum(g.evacuated)
	if k.Table > t.Version() {
		g.peerAheadAt = at
	}
	if k.Table > 0 {
		g.storeAnsweredAt = max(g.storeAnsweredAt, at-k.TableAge)
	}
	switch {
	case k.Table == t.Version() && same && sameEpoch:
		g.receiveProof(at - k.TableAge)
	case k.Table == t.Version():
	case k.Table > max(g.newestVersion, t.Version()):
		g.newestVersion, g.newestVersionAt = k.Table, at
	}
	newer := k.Table > t.Version() || (k.Table == t.Version() && !same && k.TableAge < g.tableFreshness.Age(at))
	if newer && k.TableAge <= maxDenialAge {
		g.peerNewerAt = at
	}
}

// retryElsewhere is when a request may come back that was refused for the age of
// the table or the evacuations: at once if another entry lately knew newer ones,
// since callers come back to another. Otherwise the store is likely away for
// all. The caller holds mu.
func (g *Gate) retryElsewhere(now clock.Millis) clock.Millis {
	if g.peerNewerAt > 0 && now-g.peerNewerAt <= peerNewerFor {
		return retryAtOnce
	}
	return retryStale
}

// ReceiveLoads implements peers.Host. A load is of the life of an engine that told it:
// a peer may not know yet that a later one began.
func (g *Gate) ReceiveLoads(loads []peers.Load, at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range loads {
		if e := g.book.Marked(l.Incarnation); e != nil && l.Age >= 0 && l.Requests >= 0 {
			e.Told(engines.Load{Running: l.Requests}, at-l.Age)
		}
	}
}
