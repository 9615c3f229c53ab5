package gate

import (
	"context"

	"github.com/weldfall/weldfall/common/clock"
)

// ListSource reads the list of engines.
type ListSource interface {
	// ConfirmList makes the source ask the store at once whether the list is unchanged, by a
	// call that it sends after the given time. It returns false if the store does not respond
	// at present.
	ConfirmList(after clock.Millis) bool
}

const (
	// listDemandTimeout is how long a request waits at most until the store confirms the list.
	// A slow store responds after 240 ms.
	listDemandTimeout clock.Millis = 400
	// minListDemandPause is the least time between two demands of an entry, and
	// listDemandPausePerEntry extends it, so that all entries together demand at most 500
	// confirmations a second, a quarter of the calls that the store allows.
	minListDemandPause      clock.Millis = 20
	listDemandPausePerEntry clock.Millis = 2
)

// listDemandPart is the part of its time left that a request waits at most until the store
// confirms the list.
const listDemandPart = 0.25

// SetListSource sets what reads the list of engines.
func (g *Gate) SetListSource(s ListSource) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listSource = s
}

// awaitListConfirmation waits until the store has confirmed the list to this entry as of later
// than the given time, or until that takes too long for the call. One confirmation serves all
// calls that wait for it.
func (g *Gate) awaitListConfirmation(ctx context.Context, c *call, after clock.Millis) {
	left := clock.Millis(listDemandPart * float64(c.timeLeft(g.clk.Now())))
	ctx, cancel := context.WithTimeout(ctx, min(listDemandTimeout, left).Duration())
	defer cancel()
	for {
		d := g.demandList(after)
		if d.confirmed || d.failed || !clock.Await(ctx, d.next, d.again) {
			return
		}
	}
}

// demand is the state of a demand that the store confirms the list.
type demand struct {
	// confirmed is true if it has, and failed if it does not respond.
	confirmed, failed bool
	// Otherwise next is closed at the next confirmation, and the state may change after the
	// time again.
	next  <-chan struct{}
	again clock.Millis
}

// demandList demands that the store confirms the list as of a time after the given one, unless
// it has, another demand since then is under way or one was made too recently.
func (g *Gate) demandList(after clock.Millis) demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clk.Now()
	wait := g.list.demandedAt + g.listDemandPause() - now
	switch {
	case g.listSource == nil:
		return demand{failed: true}
	case g.list.readAt > after:
		return demand{confirmed: true}
	case g.list.demandedAt > after:
		return demand{next: g.list.confirmed, again: listDemandTimeout}
	case g.list.demandedAt > 0 && wait > 0:
		return demand{next: g.list.confirmed, again: wait}
	}
	if !g.listSource.ConfirmList(now) {
		return demand{failed: true}
	}
	g.list.demandedAt = now
	return demand{next: g.list.confirmed, again: listDemandTimeout}
}

// listDemandPause returns the least time between two demands. The caller holds mu.
func (g *Gate) listDemandPause() clock.Millis {
	return max(minListDemandPause, listDemandPausePerEntry*clock.Millis(g.fleet.Entries))
}
