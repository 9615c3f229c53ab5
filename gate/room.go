package gate

import (
	"context"
	"fmt"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/admission"
	"github.com/weldfall/weldfall/verdict"
)

const (
	// roomPeriod is how long a computed room is used, which bounds the work of large fleets.
	roomPeriod clock.Millis = 10
	// maxReturnedShare is the share of the route's timeout up to which a caller's deadline
	// shows that it was rejected before: callers come back after a sixth to a third of the
	// time that they have left.
	maxReturnedShare = 5.0 / 6
)

// serviceRoom is the room of a service with its metrics.
type serviceRoom struct {
	*admission.Service
	label    string
	pressure *metrics.Histogram
	// room was computed at roomAt; known is true if there was one.
	room   admission.Room
	known  bool
	roomAt clock.Millis
}

// checkRoom rejects a request if the engines of its service have no room for it.
func (g *Gate) checkRoom(_ context.Context, c *call) *verdict.Error {
	ranks := c.table.Priorities(c.service)
	if len(ranks) < 2 {
		c.overShare = g.overShare(c)
		return nil
	}
	now := g.clk.Now()
	g.mu.Lock()
	s, changed := g.updateRoom(c, now)
	room, overloaded := s.room, s.Overloaded()
	g.mu.Unlock()
	if changed {
		g.logRoom(c.service, overloaded, room)
	}
	if c.pressure, _ = room.Pressure(); c.pressure > 0 {
		s.pressure.Update(c.pressure)
	}
	c.overShare = g.overShare(c)
	rank, routeRank := 0, 0
	if !c.resumed.resumes() {
		rank, routeRank = rankOf(ranks, priority(c)), rankOf(ranks, c.route.Priority)
	}
	q := admission.Request{
		ID: c.id, Route: c.route.Name, Rank: rank, RouteRank: routeRank, Ranks: len(ranks), OverShare: c.overShare, Returning: isReturning(c),
		Left: c.timeLeft(now), MaxWait: maxSilence(c.route),
	}
	g.mu.Lock()
	d := s.Decide(q, room, now)
	g.mu.Unlock()
	if d.Admitted() {
		return nil
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_no_room_total{service=%q,priority="%d",over_share="%t"}`, s.label, priority(c), c.overShare)).Inc()
	g.logNoRoom(c, q, d, room)
	return verdict.New(verdict.NotRun, verdict.NoRoom, "the engines of %s have %.0f requests for %d slots, too many for one more of priority %d", c.service, room.Load, room.Slots, priority(c)).WithRetryAfter(d.Back)
}

// isReturning reports whether the caller of a request was probably rejected before: some of
// the time that the route allows is used up.
func isReturning(c *call) bool {
	return c.callerTimeout > 0 && c.route.Timeout > 0 && float64(c.callerTimeout) <= maxReturnedShare*float64(c.route.Timeout)
}

// rankOf returns the position of a priority among those of a service, most urgent first.
func rankOf(priorities []int, p int) int {
	i, _ := slices.BinarySearch(priorities, p)
	return min(i, len(priorities)-1)
}

// updateRoom returns the room of a call's service as of now, and whether its overload began
// or ended. The caller holds mu.
func (g *Gate) updateRoom(c *call, now clock.Millis) (*serviceRoom, bool) {
	s := g.serviceRoom(c.service)
	if s.known && now-s.roomAt < roomPeriod {
		return s, false
	}
	s.room, s.known = g.registry.Room(c.service, maxSilence(c.route), now)
	s.roomAt = now
	return s, s.Observe(s.room, now)
}

// serviceRoom returns the room of a service. The caller holds mu.
func (g *Gate) serviceRoom(service string) *serviceRoom {
	if s := g.rooms[service]; s != nil {
		return s
	}
	label := serviceLabel(service, len(g.rooms))
	s := &serviceRoom{
		Service: admission.New(admission.DefaultConfig()), label: label,
		pressure: metrics.GetOrCreateHistogram(fmt.Sprintf("weldfall_pressure{service=%q}", label)),
	}
	g.rooms[service] = s
	return s
}

// recordStay records how long a call was at its latest engine.
func (g *Gate) recordStay(c *call, now clock.Millis) {
	if c.pressure == 0 || c.ran == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serviceRoom(c.service).RecordEnd(c.route.Name, now-c.sentAt)
}

func (g *Gate) logRoom(service string, overloaded bool, r admission.Room) {
	state := "ends"
	if overloaded {
		state = "begins"
	}
	pressure, _ := r.Pressure()
	g.log.Info("room", "service", service, "state", state, "pressure", hundredths(pressure), "slots", r.Slots, "engines", r.Engines, "reports", r.Reports, "report_age_ms", r.MeanAge)
}

func (g *Gate) logNoRoom(c *call, q admission.Request, d admission.Decision, r admission.Room) {
	g.log.Info("no_room", "request", c.id, "service", c.service, "route", c.route.Name, "workspace", c.workspaceName(), "priority", priority(c), "rank", q.Rank, "route_rank", q.RouteRank,
		"cause", d.Cause, "pressure", hundredths(d.Pressure), "share", hundredths(d.Share), "engines", r.Engines, "reports", r.Reports, "report_age_ms", r.MeanAge, "oldest_ms", r.MaxAge,
		"over_share", c.overShare, "returning", q.Returning, "expected_wait_ms", d.ExpectedWait, "back_ms", d.Back)
}
