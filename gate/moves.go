package gate

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/table"
	"github.com/weldfall/weldfall/verdict"
)

// routeMoves remembers which routes of resumable streams led to other services before. The zero
// value is empty. It is safe for concurrent use.
type routeMoves struct {
	mu      sync.Mutex
	byRoute map[routeID]routeMove
}

// routeID identifies a route in successive versions of the table.
type routeID struct{ host, prefix string }

func idOf(r *table.Route) routeID { return routeID{r.Host, r.Prefix} }

// routeMove is the latest change of the services of a route.
type routeMove struct {
	at clock.Millis
	// timeout is the longest timeout of the streams that began before.
	timeout clock.Millis
}

// update records the routes of a version that lead the requests of the one before to other
// services.
func (m *routeMoves) update(old, t *table.Table, now clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	moves := map[routeID]routeMove{}
	// A request follows another route if its own was removed, or if one with a longer prefix
	// was added.
	for before := range old.ResumableStreams() {
		if after, ok := t.Route(before.Host, before.Prefix); ok {
			m.record(moves, before, after, now)
		}
	}
	for after := range t.ResumableStreams() {
		if before, ok := old.Route(after.Host, after.Prefix); ok {
			m.record(moves, before, after, now)
		}
	}
	m.byRoute = moves
}

// record adds to moves that requests of the route before follow the route after, which inherits
// earlier moves. The caller holds mu.
func (m *routeMoves) record(moves map[routeID]routeMove, before, after *table.Route, now clock.Millis) {
	move, ok := m.byRoute[idOf(before)]
	if before.Kind == table.Stream && before.Resumable && !sameServices(before, after) {
		move, ok = routeMove{at: now, timeout: max(move.timeout, cmp.Or(before.Timeout, maxRequestTime))}, true
	}
	if id := idOf(after); ok && move.at >= moves[id].at {
		moves[id] = routeMove{at: move.at, timeout: max(move.timeout, moves[id].timeout)}
	}
}

// of returns the latest move of a route, or false if it has not moved.
func (m *routeMoves) of(r *table.Route) (routeMove, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	move, ok := m.byRoute[idOf(r)]
	return move, ok
}

// sameServices reports whether two routes divide requests among the same services alike.
func sameServices(a, b *table.Route) bool {
	if len(a.Shares) == 1 && len(b.Shares) == 1 {
		return a.Shares[0].Service == b.Shares[0].Service
	}
	return slices.Equal(a.Shares, b.Shares)
}

// routeMoved means that the route of a resumed stream led to other services when it may have
// begun.
const routeMoved doubt = "route_moved"

var errOtherService = errors.New("another service began it than its route leads to at this entry")

var errRouteMoved = errors.New("no entry knows which software version began it, and its route led to another service when it may have begun")

// checkMoved rejects a resumed stream that no record tells of if another service may have begun
// it. That its present service has had a single version says nothing of such a stream.
func (g *Gate) checkMoved(_ context.Context, c *call) *verdict.Error {
	if (c.versionBasis != bySoleVersion && c.versionBasis != byEntries) || !g.movedLately(c, g.clk.Now()) {
		return nil
	}
	c.version, c.versionBasis, c.doubt = "", "", routeMoved
	countNotContinued(verdict.UnknownOrigin, routeMoved)
	return verdict.New(verdict.NotRun, verdict.UnknownOrigin, "the stream cannot be resumed: %w", errRouteMoved).WithRetryAfter(retryOrigin)
}

// movedLately reports whether streams that may still be resumed can have begun at other services
// of a call's route. Entries that are late by the bound for changes begin streams by the version
// before.
func (g *Gate) movedLately(c *call, now clock.Millis) bool {
	move, ok := g.moves.of(c.route)
	if !ok {
		return false
	}
	g.mu.Lock()
	window := g.resumeWindowOf(c, now)
	g.mu.Unlock()
	return now-move.at <= g.bounds().Change+max(2*move.timeout+resumeMargin, window)
}
