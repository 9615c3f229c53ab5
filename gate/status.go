package gate

import (
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/peers"
)

var _ peers.Host = (*Gate)(nil)

const (
	// revocationDuePart is the part of the bound for revoked keys after which the table must
	// be confirmed. Keys then stay valid for three fifths of the bound after the last source
	// of confirmations is lost, which is how long requests with keys are expected to be
	// served.
	revocationDuePart = 0.34
	// evacuationDuePart is the same part of the bound for evacuations, so that one read
	// serves both.
	evacuationDuePart = revocationDuePart
	// changeDuePart is the part of the bound for changes after which the table must be
	// confirmed, so that a change that no watch reported is found in time.
	changeDuePart = 0.8
	// randomDuePart is the part of the due time after which a random entry confirms the table
	// for all, and firstDuePart the part after which the first entry does. The rest is for
	// the report to reach the others.
	randomDuePart = 0.85
	firstDuePart  = 0.35
	// firstOfManyDuePart replaces firstDuePart if there are more than manyEntries. The report
	// then takes several hops, and an entry that it reaches too late makes a call of its own.
	// The first entry therefore confirms earlier, which saves calls of the others.
	firstOfManyDuePart = 0.18
	manyEntries        = 32
	// watchDuePart is the part of the bound for changes in which a watch may deliver a
	// version that a peer reported. A large version takes half a second to transfer, and a
	// read would transfer it twice.
	watchDuePart = 0.3
	// laggingDuePart is the part of the due time that remains if a confirmation is already
	// old when it arrives.
	laggingDuePart = 0.9
	// peerNewerFor is how long the report of a newer table counts: a few rounds of gossip.
	peerNewerFor clock.Millis = 2000
	// recentAnswerAge is the maximum age of a reported response of the store for the store to
	// count as available. If the table is confirmed every 0.65 s, nearly all entries know of
	// a more recent response.
	recentAnswerAge clock.Millis = 2500
	// maxLoadAge is the maximum age of loads that are reported to peers.
	maxLoadAge clock.Millis = 2000
)

// TableConfirmationDue reports whether the table in force should be confirmed, because it
// has not been for some time or because a peer has a newer one. The first entry confirms
// early and its report reaches the others. If it cannot, a random entry does so before all
// must. lag is how old a confirmation will be when it arrives.
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
	if since, ok := g.newer.since(t.Version()); ok && now-since > clock.Millis(watchDuePart*float64(b.Change)) {
		return true
	}
	return g.confirmationDue(older)
}

// StoreContention returns whether many other entries ask the store, too, and whether one of
// them had a response lately. Both are false for an entry that cannot serve yet, since
// reports of others do not help it.
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
	alone := g.fleet.Entries <= 1
	g.fleet = f
	if alone && f.Entries > 1 {
		g.sendBegunOrigins()
	}
	if c := g.contactNow(); c != g.loggedContact {
		g.loggedContact = c
		g.log.Info("contact", "contact", c, "entries", f.Entries, "most_entries", g.entries.most(), "serving", f.Serving, "stopping", f.StoppingBefore+f.StoppingAfter)
	}
}

// LocalStatus implements peers.Host.
func (g *Gate) LocalStatus(loads, suspects int) peers.Status {
	now := g.clk.Now()
	s := peers.Status{Usage: g.fair.Report(now)}
	s.SuspectSum, s.Suspects = g.guard.Summarize(suspects)
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.table.Load()
	if s.Epoch = g.epoch.Number(); s.Epoch > 0 {
		s.EpochAge = g.epoch.Age(now)
	}
	s.Revision = g.storeRevision()
	if t != nil && g.tableFreshness.Known() {
		s.Table, s.TableAge, s.EvacuatedSum = t.Version(), g.tableFreshness.Age(now), checksum(g.evacuated)
	}
	s.SuspectsComplete = g.knowsHistory(now)
	s.ListSum, s.ListAge = g.reportList(now)
	for _, l := range g.registry.RecentLoads(maxLoadAge, loads, now) {
		s.Loads = append(s.Loads, peers.Load{Incarnation: l.Hash(), Requests: l.Requests, Age: l.Age})
	}
	return s
}

// ReceiveStatus implements peers.Host. If the peer has the same version and the same
// evacuations, its confirmations hold for this entry, too. A report of another version
// shows only that this entry's is old, and a report of other evacuations only that one of
// the two entries is behind.
func (g *Gate) ReceiveStatus(from string, s peers.Status, at clock.Millis) {
	if s.SuspectsComplete {
		g.receiveHistory(from)
	}
	g.receiveAges(from, s, at)
	g.ReceiveLoads(s.Loads, at)
	g.ReceiveSuspects(from, s.Suspects)
	g.ReceiveUsage(from, s.Usage, at)
}

// receiveAges records the epoch, the revision and the ages that the peer named from reported.
func (g *Gate) receiveAges(from string, s peers.Status, at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sameEpoch := s.EpochAge >= 0 && g.receiveEpoch(s.Epoch, at-s.EpochAge, at)
	if sameEpoch {
		g.receiveRevision(s.Epoch, s.Revision)
	}
	if sameEpoch && s.ListAge >= 0 {
		g.receiveList(from, s.ListSum, at-s.ListAge, g.clk.Now())
	}
	t := g.table.Load()
	if t == nil || s.TableAge < 0 {
		return
	}
	same := s.EvacuatedSum == checksum(g.evacuated)
	if s.Table > t.Version() {
		g.peerAheadAt = at
	}
	if s.Table > 0 {
		g.storeAnsweredAt = max(g.storeAnsweredAt, at-s.TableAge)
	}
	switch {
	case s.Table == t.Version() && same && sameEpoch:
		g.receiveConfirmation(at - s.TableAge)
	case s.Table == t.Version():
	default:
		g.newer.add(s.Table, t.Version(), at)
	}
	newer := s.Table > t.Version() || (s.Table == t.Version() && !same && s.TableAge < g.tableFreshness.Age(at))
	if newer && s.TableAge <= maxDenialAge {
		g.peerNewerAt = at
	}
}

// retryElsewhere returns when a request that was rejected for the age of the table or the
// evacuations may be retried: at once if another entry lately had newer ones, since a retry
// reaches another entry. Otherwise the store is likely unavailable to all. The caller holds
// mu.
func (g *Gate) retryElsewhere(now clock.Millis) clock.Millis {
	if g.peerNewerAt > 0 && now-g.peerNewerAt <= peerNewerFor {
		return retryAtOnce
	}
	return retryStale
}

// ReceiveLoads implements peers.Host. A load belongs to the incarnation that reported it,
// since a peer may not know of a later one.
func (g *Gate) ReceiveLoads(loads []peers.Load, at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range loads {
		if e := g.registry.ByHash(l.Incarnation); e != nil && l.Age >= 0 && l.Requests >= 0 {
			e.RecordLoad(engines.Load{Running: l.Requests}, at-l.Age)
		}
	}
}
