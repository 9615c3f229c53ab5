// Package turn decides when one entry may send a request to a service whose engines report
// no load: at once, after a short wait, or not at all. It knows only the entry's own requests
// and what they came to. It does no I/O: events and the time are passed in. A Queue must be
// locked by the caller.
package turn

import (
	"cmp"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// maxQueue bounds the requests that wait.
	maxQueue = 256
	// marginPart is the part of a route's goal that is kept for a response slower than usual.
	marginPart = 0.1
	// returningWait is the part of the time left that a request of a caller that was refused
	// before may wait.
	returningWait = 0.25
	// maxBackPart is the part of the time left that callers wait at most before they return.
	maxBackPart = 1.0 / 3
	// responseWeight is the weight of a new response in the mean response time.
	responseWeight = 0.15
	// minReturns and manyReturns are the number and the part of the requests of the last
	// second whose callers had been refused before, from which the service counts as full.
	minReturns  = 3
	manyReturns = 0.1
	// holdBack is the number of response times for which a returning request leaves free
	// places to others after one of them was refused.
	holdBack = 4
	// minBack is the shortest time after which a caller is asked to return.
	minBack clock.Millis = 20
)

// Request describes a request that asks for its turn.
type Request struct {
	// Priority is 0 for the most urgent.
	Priority int
	// OverShare is true if the workspace uses more than its fair share. The request goes
	// behind the others of its priority.
	OverShare bool
	// Returning is true if the caller was refused before.
	Returning bool
	// Elapsed is the time since the request arrived.
	Elapsed clock.Millis
	// Goal is the time in which the response should be complete.
	Goal clock.Millis
	// Left is the time until the request fails.
	Left clock.Millis
	// CallerLeft is the time until the caller gives up, zero if it is unknown.
	CallerLeft clock.Millis
	// Random spreads the returns of callers; from 0 up to, but not including, 1.
	Random float64
}

// Ticket is a request that was admitted or waits.
type Ticket struct {
	req Request
	// LeaveAt is when the request must be refused if it still waits.
	leaveAt   clock.Millis
	startedAt clock.Millis
	state     state
}

type state string

const (
	waiting state = "waiting"
	running state = "running"
	ended   state = "ended"
)

// LeaveAt returns when a request that waits must give up.
func (t *Ticket) LeaveAt() clock.Millis { return t.leaveAt }

// Admitted reports whether the request may be sent.
func (t *Ticket) Admitted() bool { return t.state == running }

// Refusal says why a request was refused and when its caller should return.
type Refusal struct {
	// Back is the time after which the caller should return.
	Back clock.Millis
	// Queued is the number of requests that wait, Window the size of the window, Pace the
	// responses a second, Wait the expected wait.
	Queued int
	Window float64
	Pace   float64
	Wait   clock.Millis
}

// Queue holds the requests of one entry to one service.
type Queue struct {
	window window
	// inFlight holds the requests that were admitted, in this order.
	inFlight []*Ticket
	// queue holds the requests that wait, the next one first.
	queue []*Ticket
	// responses and refusals count events of the last second.
	responses, refusals pace
	// arrivals and returns count requests and those whose caller had been refused before.
	arrivals, returns pace
	// responseTime is the mean time of a response in milliseconds, zero before the first.
	responseTime float64
	// firstRefusedAt is when a request that had not been refused before last was.
	firstRefusedAt clock.Millis
}

// NewQueue returns a queue whose window is not in force.
func NewQueue() *Queue { return &Queue{} }

// InForce reports whether the window limits requests.
func (q *Queue) InForce() bool { return q.window.inForce }

// Window returns the size of the window, zero if it is not in force.
func (q *Queue) Window() float64 { return q.window.size }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.queue) }

// Running returns the number of requests that were admitted and have not ended.
func (q *Queue) Running() int { return len(q.inFlight) }

// Arrive returns the ticket of a request, which is admitted or waits, or nil and a refusal.
func (q *Queue) Arrive(r Request, now clock.Millis) (*Ticket, Refusal) {
	t := &Ticket{req: r, state: waiting}
	q.arrivals.record(now)
	if r.Returning {
		q.returns.record(now)
	}
	if !q.window.inForce || len(q.queue) == 0 && q.hasRoom(now) && q.mayStart(t, now) {
		q.start(t, now)
		return t, Refusal{}
	}
	q.window.full(clock.Millis(q.responseTime), now)
	if (len(q.queue) == 0 || !r.Returning && q.queue[0].req.Returning) && q.hasRoom(now) && q.mayStart(t, now) {
		q.start(t, now)
		return t, Refusal{}
	}
	patience := q.patience(r)
	ahead, _ := slices.BinarySearchFunc(q.queue, t, compareBehind)
	wait := q.clearTime(ahead+1, now)
	if wait > patience || len(q.queue) >= maxQueue {
		return nil, q.refuse(r, wait, now)
	}
	t.leaveAt = now + patience
	q.queue = slices.Insert(q.queue, ahead, t)
	return t, Refusal{}
}

// patience returns how long a request may wait and still be of use. One that comes first
// must end within its goal: it is refused soon rather than served late, since its caller may
// return once. One that has returned is late anyhow.
func (q *Queue) patience(r Request) clock.Millis {
	if r.Returning {
		return max(0, min(clock.Millis(returningWait*float64(r.Left)), r.Left-2*clock.Millis(q.responseTime)))
	}
	left := min(r.Left, r.Goal-r.Elapsed-clock.Millis(marginPart*float64(r.Goal)))
	return max(0, left-clock.Millis(q.responseTime))
}

// compareBehind orders requests that wait and puts a new one behind its equals. A caller that
// was refused before goes behind the others of its priority: its response is late in any case,
// and one that goes ahead makes another late, which then returns too.
func compareBehind(a, b *Ticket) int {
	return cmp.Or(cmp.Compare(a.req.Priority, b.req.Priority), compareBool(a.req.OverShare, b.req.OverShare),
		compareBool(a.req.Returning, b.req.Returning), -1)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// clearTime returns the time in which n requests are admitted at the present pace.
func (q *Queue) clearTime(n int, now clock.Millis) clock.Millis {
	// The pace of a second in which the window was not full says less than the window.
	pace := max(q.responses.perMilli(now), q.window.size/max(1, q.responseTime))
	return clock.Millis(float64(n) / max(pace, 1e-3))
}

// refuse returns a refusal. The caller should return when those that wait and those that were
// refused in the last second, who return too, have been served.
func (q *Queue) refuse(r Request, wait, now clock.Millis) Refusal {
	q.refusals.record(now)
	if !r.Returning {
		q.firstRefusedAt = now
	}
	clear := float64(q.clearTime(len(q.queue)+q.refusals.count(now), now))
	limit := maxBackPart * float64(max(r.Left, r.CallerLeft))
	// Where the limit counts, the spread lies below it, else all would return at the limit.
	back := min(clear*(0.5+r.Random), limit*(0.5+0.5*r.Random))
	return Refusal{
		Back:   max(minBack, clock.Millis(back)),
		Queued: len(q.queue), Window: q.window.size, Pace: 1000 * q.responses.perMilli(now), Wait: wait,
	}
}

// Refuse returns the refusal of a request that was rejected by engines, or whose wait ended.
func (q *Queue) Refuse(r Request, now clock.Millis) Refusal {
	return q.refuse(r, q.clearTime(len(q.queue)+1, now), now)
}

// hasRoom reports whether another request may be sent. Requests that run for longer than
// their goal do not count: their engine is silent, and they would hold the window of a
// small entry until they end.
func (q *Queue) hasRoom(now clock.Millis) bool {
	n := 0
	for _, t := range q.inFlight {
		if now-t.startedAt <= t.req.Goal {
			n++
		}
	}
	return float64(n)+1 <= q.window.size
}

// mayStart reports whether a request may take a free place. A returning one leaves it while
// others were refused a moment ago.
func (q *Queue) mayStart(t *Ticket, now clock.Millis) bool {
	return !t.req.Returning || float64(now-q.firstRefusedAt) > holdBack*q.responseTime
}

// Scarce reports whether a request was refused in the last second.
func (q *Queue) Scarce(now clock.Millis) bool {
	return q.window.inForce && q.refusals.count(now) > 0
}

func (q *Queue) start(t *Ticket, now clock.Millis) {
	t.state, t.startedAt = running, now
	q.inFlight = append(q.inFlight, t)
}

// End records that a request is over, whether it waited or was admitted, and returns those
// that are admitted now. Only the first call for a ticket counts.
func (q *Queue) End(t *Ticket, now clock.Millis) []*Ticket {
	switch t.state {
	case waiting:
		q.queue = slices.DeleteFunc(q.queue, func(o *Ticket) bool { return o == t })
	case running:
		q.inFlight = slices.DeleteFunc(q.inFlight, func(o *Ticket) bool { return o == t })
	case ended:
		return nil
	}
	t.state = ended
	return q.admit(now)
}

// returnsMany reports whether many callers of the last second had been refused before.
func (q *Queue) returnsMany(now clock.Millis) bool {
	n := q.returns.count(now)
	return n >= minReturns && float64(n) >= manyReturns*float64(q.arrivals.count(now))
}

// Admit returns those that are admitted now. Requests that leave places to others are admitted
// by time, and others by the end of a request too.
func (q *Queue) Admit(now clock.Millis) []*Ticket { return q.admit(now) }

// admit admits the first of those that wait while there is room.
func (q *Queue) admit(now clock.Millis) []*Ticket {
	var out []*Ticket
	for len(q.queue) > 0 && (!q.window.inForce || q.hasRoom(now) && q.mayStart(q.queue[0], now)) {
		t := q.queue[0]
		q.queue = slices.Delete(q.queue, 0, 1)
		q.start(t, now)
		out = append(out, t)
	}
	return out
}

// Rejected records that an engine rejected a request for lack of room, and reports whether
// the window came into force.
func (q *Queue) Rejected(now clock.Millis) bool {
	return q.window.rejected(len(q.inFlight), clock.Millis(q.responseTime), now)
}

// Responded records that an engine responded to a request with the given goal.
//
// It reports whether the window came into force: a slow response while many callers were
// refused by other entries shows that the engines have no room, too. Otherwise an entry that
// has met no rejection would take the room that the others leave.
func (q *Queue) Responded(took, goal, now clock.Millis) bool {
	if q.responseTime == 0 {
		q.responseTime = float64(took)
	}
	q.responseTime += responseWeight * (float64(took) - q.responseTime)
	q.responses.record(now)
	q.window.responded(q.responseTime, goal, now)
	if !q.window.inForce && float64(took) > slowPart*float64(goal) && q.returnsMany(now) {
		q.window.begin(len(q.inFlight), now)
		return true
	}
	return false
}

// Expire ends a window that has not been needed for a while. It reports whether it did, and
// returns those that are admitted now.
func (q *Queue) Expire(now clock.Millis) (bool, []*Ticket) {
	if !q.window.expire(now) {
		return false, nil
	}
	return true, q.admit(now)
}
