// Package admission decides whether the engines of a service have room for a request. It
// rejects the least urgent first, by how full the pool is, and keeps no count that entries
// would have to agree on: each entry decides alone from loads that all of them learn. It
// does no I/O: reports and the time are passed in.
package admission

import (
	"math"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
)

// Config sets the pressures at which requests are rejected. Pressure is the load of a pool
// divided by its slots.
type Config struct {
	// MostUrgent and LeastUrgent are the pressures above which requests of the most and the
	// least urgent rank begin to be rejected. Those of ranks between are spaced evenly.
	MostUrgent, LeastUrgent float64
	// Short is the pressure above MostUrgent at which requests without length would begin to
	// be rejected: the shorter a request, the less room is won.
	Short float64
	// Width is the rise in pressure over which the admitted share falls from all to the floor.
	Width float64
	// Returning is the pressure that is added for a caller that comes back: it has missed its
	// goal, which others can still meet.
	Returning float64
	// Floor is the share of a rank's requests that is admitted at any pressure at which they
	// can begin in time. OverShareFloor is that of a workspace above its fair share.
	Floor, OverShareFloor float64
	// MinBack is the shortest time after which a rejected caller is expected back, unless
	// MaxBackShare of its time left is shorter.
	MinBack      clock.Millis
	MaxBackShare float64
}

// DefaultConfig returns the settings of a service.
func DefaultConfig() Config {
	return Config{
		MostUrgent: 1, LeastUrgent: 0.6, Short: 0.15, Width: 0.2, Returning: 0.1,
		Floor: 0.1, OverShareFloor: 0.05, MinBack: 500, MaxBackShare: 1.0 / 3,
	}
}

// Room is what is known of a pool of engines.
type Room struct {
	// Engines is the number of engines that accept requests, Slots how many requests they
	// run at once.
	Engines, Slots int
	// Load is the estimated number of requests at them.
	Load float64
	// Reports is the number of engines with a recent report of their load. MeanAge and MaxAge
	// are the ages of these reports.
	Reports         int
	MeanAge, MaxAge clock.Millis
}

const (
	// minReported is the share of engines that must have reported recently.
	minReported = 0.5
	// minSlots is the number of slots of an engine below which they count as unknown.
	minSlots = 2
)

// Pressure returns the load divided by the slots, or false if too little is known.
func (r Room) Pressure() (float64, bool) {
	if r.Engines == 0 || r.Slots < minSlots*r.Engines || float64(r.Reports) < minReported*float64(r.Engines) {
		return 0, false
	}
	return r.Load / float64(r.Slots), true
}

// Request describes a request that needs room.
type Request struct {
	// ID is unique to the attempt of the caller.
	ID string
	// Route names the kind of request.
	Route string
	// RouteRank is the position of its route's priority among the Ranks of the service; 0 is
	// the most urgent. Rank is that of the priority that engines are given, which is the
	// workspace's if it has one. It decides between requests of one RouteRank.
	RouteRank, Rank, Ranks int
	// OverShare is true if its workspace uses more than its fair share, Returning if the
	// caller was probably rejected before.
	OverShare, Returning bool
	// Left is the time until the request fails, MaxWait how long it may wait for its first
	// output.
	Left, MaxWait clock.Millis
}

// Cause is the reason for a rejection.
type Cause string

const (
	// NoCause means that the request is admitted.
	NoCause Cause = ""
	// Urgency means that more urgent requests have precedence.
	Urgency Cause = "urgency"
	// Wait means that the response could not begin in time.
	Wait Cause = "wait"
)

// Decision is the outcome for one request.
type Decision struct {
	Cause Cause
	// Pressure is zero if it is not known.
	Pressure float64
	// Share is the share of requests of this kind that is admitted.
	Share float64
	// ExpectedWait is how long the request would wait for a slot.
	ExpectedWait clock.Millis
	// Back is when the caller should come back.
	Back clock.Millis
}

// Admitted reports whether the request may be sent.
func (d Decision) Admitted() bool { return d.Cause == NoCause }

// Service is what one entry knows of the overload of a service. It must be locked by the
// caller.
type Service struct {
	cfg Config
	// stay is the time at an engine of all requests, stays that by route.
	stay  stay
	stays map[string]*stay
	// since is when the overload began, while overloaded is true.
	since      clock.Millis
	overloaded bool
}

// New returns a service without overload.
func New(cfg Config) *Service { return &Service{cfg: cfg, stays: map[string]*stay{}} }

// maxRoutes bounds the routes whose stays are learned.
const maxRoutes = 256

// RecordEnd records that a request of a route that was sent to an engine ended after d.
func (s *Service) RecordEnd(route string, d clock.Millis) {
	s.stay.record(d)
	r := s.stays[route]
	if r == nil && len(s.stays) < maxRoutes {
		r = &stay{}
		s.stays[route] = r
	}
	if r != nil {
		r.record(d)
	}
}

// length returns the mean stay of a route as a part of the mean stay of all, at most 1.
func (s *Service) length(route string) float64 {
	r := s.stays[route]
	if r == nil || r.n < minStays || s.stay.mean <= 0 {
		return 1
	}
	return min(1, r.mean/s.stay.mean)
}

// overloadEnd is how far the pressure must fall below the first threshold for an overload to
// end.
const overloadEnd = 0.1

// Observe updates the overload and reports whether it began or ended.
func (s *Service) Observe(r Room, now clock.Millis) bool {
	p, ok := r.Pressure()
	was := s.overloaded
	switch {
	case !ok:
		s.overloaded = false
	case p > s.cfg.LeastUrgent:
		s.overloaded = true
	case p < s.cfg.LeastUrgent-overloadEnd:
		s.overloaded = false
	}
	if s.overloaded && !was {
		s.since = now
	}
	return s.overloaded != was
}

// Overloaded reports whether requests may be rejected for want of room.
func (s *Service) Overloaded() bool { return s.overloaded }

// Decide decides about a request. Too little knowledge admits it.
func (s *Service) Decide(q Request, r Room, now clock.Millis) Decision {
	p, ok := r.Pressure()
	if !ok {
		return Decision{Share: 1}
	}
	d := Decision{Pressure: p, Share: s.share(q, p), ExpectedWait: s.stay.wait(p)}
	draw, backDraw := draws(q.ID)
	switch {
	case d.ExpectedWait > min(q.Left, q.MaxWait):
		d.Cause = Wait
	case draw >= d.Share:
		d.Cause = Urgency
	default:
		return d
	}
	d.Back = s.back(q.Left, backDraw, now)
	return d
}

// share returns the share of requests like q that is admitted.
func (s *Service) share(q Request, pressure float64) float64 {
	c := s.cfg
	long := s.length(q.Route)
	begin, floor := c.MostUrgent+(1-long)*c.Short-long*(c.MostUrgent-c.LeastUrgent)*q.lateness(), c.Floor
	if q.OverShare {
		begin, floor = c.LeastUrgent, c.OverShareFloor
	}
	if q.Returning {
		begin -= c.Returning
	}
	return min(1, max(floor, 1-(1-floor)*(pressure-begin)/c.Width))
}

// lateness returns 0 for the most urgent requests of a service, up to 1 for the least urgent.
func (q Request) lateness() float64 {
	last := q.Ranks*q.Ranks - 1
	if last <= 0 {
		return 0
	}
	return float64(q.RouteRank*q.Ranks+q.Rank) / float64(last)
}

// back returns when a rejected caller should come back. An overload that has lasted for some
// time is expected to last as long again, and at least until other requests have the slots.
func (s *Service) back(left clock.Millis, draw float64, now clock.Millis) clock.Millis {
	lasted := clock.Millis(s.stay.mean)
	if s.overloaded {
		lasted = max(lasted, now-s.since)
	}
	d := min(float64(max(s.cfg.MinBack, lasted)), s.cfg.MaxBackShare*float64(left))
	return max(1, clock.Millis(d*(1+draw)/2))
}

// draws returns two numbers in [0, 1) that follow from the ID of a request.
func draws(id string) (admit, back float64) {
	h := xxh3.HashString(id)
	return float64(h>>32) / (1 << 32), float64(h&math.MaxUint32) / (1 << 32)
}

// stay learns how long a request is at an engine.
type stay struct {
	mean float64
	n    int
}

const (
	// minStays is the number of ended requests before the mean counts, maxStays the number
	// over which it is taken.
	minStays = 16
	maxStays = 128
)

func (s *stay) record(d clock.Millis) {
	s.n = min(s.n+1, maxStays)
	s.mean += (float64(max(0, d)) - s.mean) / float64(s.n)
}

// wait returns how long a request waits until those beyond the slots have ended. By Little's
// law the pool completes its load once in a mean stay.
func (s *stay) wait(pressure float64) clock.Millis {
	if s.n < minStays || pressure <= 1 {
		return 0
	}
	return clock.Millis(s.mean * (1 - 1/pressure))
}
