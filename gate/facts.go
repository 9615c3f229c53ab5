package gate

import (
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/peers"
)

var _ peers.Facts = (*Gate)(nil)

const (
	// dueShare is the part of the bound for revoked keys after which the table
	// must be confirmed: early enough that keys are good for three fifths of
	// the bound after the last source of news is gone.
	dueShare = 0.26
	// dueEarly is the part of that time after which one of the entries should
	// confirm the table for all.
	dueEarly = 0.6
	// dueLagging is the part of it that is left where a confirmation comes with
	// a lag of its own.
	dueLagging = 0.9
	// dueMost bounds it where the bound for keys is long.
	dueMost clock.Millis = 1300
	// loadFresh is how old a load may be to be worth telling.
	loadFresh clock.Millis = 2000
)

// TableDue reports whether the table in force should be confirmed: it has not
// been for a while, or a peer has a newer one. Before it must be, each entry
// does so by chance, so that of all that know each other about one does, and
// the others hear of it. lag is how old a confirmation will be when it comes.
func (g *Gate) TableDue(lag clock.Millis) bool {
	t := g.table.Load()
	if t == nil {
		return false
	}
	due := min(dueMost, clock.Millis(dueShare*float64(g.bounds().Revocation)))
	if lag > 0 {
		due = clock.Millis(dueLagging * float64(due))
	}
	early := lag + clock.Millis(dueEarly*float64(due))
	due += lag
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.newest > t.Version() || !g.published.Within(due, now) {
		return true
	}
	return !g.published.Within(early, now) && random() < 1/float64(g.entries)
}

// SetEntries implements peers.Facts.
func (g *Gate) SetEntries(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entries = max(1, n)
}

// Tell implements peers.Facts.
func (g *Gate) Tell(n int) peers.Known {
	now := g.clk.Now()
	k := peers.Known{}
	t := g.table.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	if t != nil && g.published.Known() {
		k.Table, k.TableAge = t.Version(), g.published.Age(now)
	}
	for _, l := range g.book.Loads(loadFresh, n, now) {
		k.Loads = append(k.Loads, peers.Load{Engine: l.ID, Requests: l.Requests, Age: l.Age})
	}
	return k
}

// Hear implements peers.Facts. What a peer knew of the same version at some
// time is true of ours; of another version it says only that ours is old.
func (g *Gate) Hear(k peers.Known, at clock.Millis) {
	if t := g.table.Load(); t != nil && k.TableAge >= 0 {
		g.mu.Lock()
		switch {
		case k.Table == t.Version():
			g.published.Confirm(at - k.TableAge)
		case k.Table > t.Version():
			g.newest = k.Table
		}
		g.mu.Unlock()
	}
	g.HearLoads(k.Loads, at)
}

// HearLoads implements peers.Facts.
func (g *Gate) HearLoads(loads []peers.Load, at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range loads {
		if e := g.book.Get(l.Engine); e != nil && l.Age >= 0 && l.Requests >= 0 {
			e.Told(engines.Load{Running: l.Requests}, at-l.Age)
		}
	}
}
