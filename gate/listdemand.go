package gate

import (
	"context"

	"github.com/weldfall/weldfall/common/clock"
)

// ListSource reads the list of engines.
type ListSource interface {
	// ConfirmList makes the source ask the store at once whether the list is unchanged,
	// unless it has done so after the given time.
	ConfirmList(after clock.Millis)
}

const (
	// listDemandTimeout is how long a request waits at most until the store confirms the list.
	// A slow store responds after 240 ms.
	listDemandTimeout clock.Millis = 400
	// minListDemandPause is the least time between two demands of an entry, and
	// listDemandPausePerEntry extends it, so that all entries together demand at most 500
	// confirmations a second, a quarter of the calls that the store allows.
	minListDemandPause      clock.Millis = 10
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

// awaitListConfirmation waits until the store has confirmed the list to this entry as of a time
// after a request arrived. It returns false if that takes too long. One confirmation serves all
// requests that wait for it.
func (g *Gate) awaitListConfirmation(ctx context.Context, c *call) bool {
	if c.originSearch.Skipped {
		return false
	}
	left := clock.Millis(listDemandPart * float64(c.timeLeft(g.clk.Now())))
	ctx, cancel := context.WithTimeout(ctx, min(listDemandTimeout, left).Duration())
	defer cancel()
	for {
		again, confirmed, ok := g.demandList(c.start)
		if ok {
			return true
		}
		if !await(ctx, confirmed, again) {
			return false
		}
	}
}

// await waits until ch is closed or for d. It returns false if ctx is done before.
func await(ctx context.Context, ch <-chan struct{}, d clock.Millis) bool {
	waiting, cancel := context.WithTimeout(ctx, d.Duration())
	defer cancel()
	select {
	case <-ch:
	case <-waiting.Done():
	}
	return ctx.Err() == nil
}

// demandList reports whether the store has confirmed the list as of a time after the given one.
// If not, it demands that, unless another demand since then is under way or a demand was made
// too recently, and returns a channel that is closed at the next confirmation and the time after
// which to call again.
func (g *Gate) demandList(after clock.Millis) (again clock.Millis, confirmed <-chan struct{}, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listSource == nil {
		return listDemandTimeout, nil, false
	}
	if g.list.readAt > after {
		return 0, nil, true
	}
	now := g.clk.Now()
	switch wait := g.list.demandedAt + g.listDemandPause() - now; {
	case g.list.demandedAt > after:
		return listDemandTimeout, g.list.confirmed, false
	case g.list.demandedAt > 0 && wait > 0:
		return wait, g.list.confirmed, false
	}
	g.list.demandedAt = now
	g.listSource.ConfirmList(now)
	return listDemandTimeout, g.list.confirmed, false
}

// listDemandPause returns the least time between two demands. The caller holds mu.
func (g *Gate) listDemandPause() clock.Millis {
	return max(minListDemandPause, listDemandPausePerEntry*clock.Millis(g.fleet.Entries))
}
