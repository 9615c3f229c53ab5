package gate

import (
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/peers"
)

var _ peers.Host = (*Gate)(nil)

const (
	// dueOfRevocation is the part of the bound for revoked keys after which the
	// table must be confirmed: keys are then good for three fifths of the bound
	// after the last source of news is gone, which is as long as requests with
	// keys are expected to be served.
	dueOfRevocation = 0.34
	// dueOfEvacuation is the same part of the bound for evacuations, so that one
	// read serves both.
	dueOfEvacuation = dueOfRevocation
	// dueOfChange is the part of the bound for changes after which it must be
	// confirmed, so that a change of which no watch told is found in time.
	dueOfChange = 0.8
	// dueEarly is the part of that time after which one of the entries by chance
	// confirms the table for all, and dueFirst the part after which the first of
	// them does; the rest is for word to reach the others.
	dueEarly = 0.85
	dueFirst = 0.35
	// dueFirstOfMany is that of the first of more entries than manyEntries, to which its
	// word takes several steps: with a confirmation each 0.65 s the word of one of 103 is
	// older than 1.46 s a tenth of the time, and an older one costs a call of its own.
	// With this, and neighbours a fifth of the way to the first, 103 entries confirm
	// 800 times in 58 s where it was 1,350.
	dueFirstOfMany = 0.18
	manyEntries    = 32
	// dueNews is the part of the bound for changes for which a watch may take to
	// bring the version of which a peer told: a large one is on its way for half
	// a second, and asking for it as well would bring it twice.
	dueNews = 0.3
	// dueLagging is the part of it that is left where a confirmation comes with
	// a lag of its own.
	dueLagging = 0.9
	// fitFor is how long word of an entry with a newer table is good for: a few
	// rounds of asking.
	fitFor clock.Millis = 2000
	// answeredLately is how old word of another entry's answer of the store may be for the
	// store to be there: with one confirmation each 0.65 s nearly all know a younger one.
	answeredLately clock.Millis = 2500
	// loadFresh is how old a load may be to be worth telling.
	loadFresh clock.Millis = 2000
)

// TableDue reports whether the table in force should be confirmed: it has not
// been for a while, or a peer has a newer one. The first of the entries does so
// early and the others hear of it; where it cannot, one of them does by chance
// before all must. lag is how old a confirmation will be when it comes.
func (g *Gate) TableDue(lag clock.Millis) bool {
	t := g.table.Load()
	if t == nil {
		return false
	}
	b := g.bounds()
	due := min(dueOfRevocation*float64(b.Revocation), dueOfChange*float64(b.Change))
	if b.Evacuation > 0 {
		due = min(due, dueOfEvacuation*float64(b.Evacuation))
	}
	if lag > 0 {
		due *= dueLagging
	}
	now := g.clk.Now()
	older := func(part float64) bool { return !g.published.Within(lag+clock.Millis(part*due), now) }
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.newest > t.Version() && now-g.newestAt > clock.Millis(dueNews*float64(b.Change)) {
		return true
	}
	return g.due(older)
}

// StoreAsked tells whether many entries are known that ask the store, too, and whether one
// of them had an answer lately. Nobody's word helps an entry that cannot serve yet.
func (g *Gate) StoreAsked() (many, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	many = g.fleet.Entries > fewEntries && g.table.Load() != nil && g.listed.Known()
	return many, many && g.answeredAt > 0 && g.clk.Now()-g.answeredAt <= answeredLately
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
	if t != nil && g.published.Known() {
		k.Table, k.TableAge, k.EvacuatedSum = t.Version(), g.published.Age(now), sumOf(g.evacuated)
	}
	k.SuspectsComplete = g.remembers(now)
	k.ListSum, k.ListAge = g.tellList(now)
	for _, l := range g.book.Loads(loadFresh, loads, now) {
		k.Loads = append(k.Loads, peers.Load{Incarnation: l.Mark(), Requests: l.Requests, Age: l.Age})
	}
	return k
}

// ReceiveStatus implements peers.Host. What a peer knew of the same version and the same
// evacuations at some time is true of ours; of another version it says only that
// ours is old, and of other evacuations only that one of us has yet to learn.
func (g *Gate) ReceiveStatus(from string, k peers.Status, at clock.Millis) {
	if k.SuspectsComplete {
		g.hearMemory(from)
	}
	g.hearAges(k, at)
	g.ReceiveLoads(k.Loads, at)
	g.ReceiveSuspects(from, k.Suspects)
}

func (g *Gate) hearAges(k peers.Status, at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sameEpoch := k.EpochAge >= 0 && g.hearEpoch(k.Epoch, at-k.EpochAge, at)
	if sameEpoch {
		g.hearRevision(k.Epoch, k.Revision)
	}
	if sameEpoch && k.ListAge >= 0 {
		g.hearList(k.ListSum, at-k.ListAge, g.clk.Now())
	}
	t := g.table.Load()
	if t == nil || k.TableAge < 0 {
		return
	}
	same := k.EvacuatedSum == sumOf(g.evacuated)
	if k.Table > t.Version() {
		g.aheadAt = at
	}
	if k.Table > 0 {
		g.answeredAt = max(g.answeredAt, at-k.TableAge)
	}
	switch {
	case k.Table == t.Version() && same && sameEpoch:
		g.hearProof(at - k.TableAge)
	case k.Table == t.Version():
	case k.Table > max(g.newest, t.Version()):
		g.newest, g.newestAt = k.Table, at
	}
	newer := k.Table > t.Version() || (k.Table == t.Version() && !same && k.TableAge < g.published.Age(at))
	if newer && k.TableAge <= denialAge {
		g.fitAt = at
	}
}

// retryElsewhere is when a request may come back that was refused for the age of
// the table or the evacuations: at once if another entry lately knew newer ones,
// since callers come back to another. Otherwise the store is likely away for
// all. The caller holds mu.
func (g *Gate) retryElsewhere(now clock.Millis) clock.Millis {
	if g.fitAt > 0 && now-g.fitAt <= fitFor {
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
