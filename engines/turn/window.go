package turn

import "github.com/weldfall/weldfall/common/clock"

const (
	// growth is how much the window grows with each request that finds it full. It is
	// counted by request and not by response, so that the windows of entries end up in
	// proportion to what their callers ask for.
	growth = 0.08
	// maxGrowth bounds the growth in a response time.
	maxGrowth = 0.1
	// fastGrowth and maxFastGrowth hold while responses take less than fastPart of the time
	// from which the window shrinks.
	fastGrowth    = 0.5
	maxFastGrowth = 2.0
	fastPart      = 0.5
	// cutRejected is what remains of the window after an engine rejected a request for lack
	// of room. minCut and maxCut bound what remains after a response took too long.
	cutRejected    = 0.7
	minCut, maxCut = 0.7, 0.95
	// slowPart is the part of a route's goal that a response may take.
	slowPart = 0.55
	// forgetAfter is how long a window stays in force without a rejection and without a
	// request that found it full.
	forgetAfter clock.Millis = 5000
	minWindow   float64      = 1
)

// window limits the requests that one entry has at the engines of a service. It is not in
// force, and limits nothing, until an engine has rejected a request for lack of room.
type window struct {
	inForce bool
	// size is at least minWindow while the window is in force.
	size  float64
	cutAt clock.Millis
	// fast is true while responses come far sooner than they need to.
	fast bool
	// grown is how much the window grew since grownSince.
	grown      float64
	grownSince clock.Millis
	// neededAt is when the window was last needed: a rejection, or a request that found
	// it full.
	neededAt clock.Millis
}

// rejected records that an engine rejected a request while running requests were sent, and
// reports whether the window came into force.
func (w *window) rejected(running int, responseTime, now clock.Millis) bool {
	w.neededAt = now
	begun := !w.inForce
	if begun {
		w.begin(running, now)
		w.cutAt = now - responseTime
	}
	w.cut(cutRejected, responseTime, now)
	return begun
}

// begin brings the window into force at its present use.
func (w *window) begin(running int, now clock.Millis) {
	*w = window{inForce: true, size: max(minWindow, float64(running)), cutAt: now, neededAt: now, grownSince: now}
}

// responded records that responses take mean milliseconds with the given goal.
func (w *window) responded(mean float64, goal, now clock.Millis) {
	limit := slowPart * float64(goal)
	w.fast = mean < fastPart*limit
	if w.inForce && mean > limit {
		w.cut(min(maxCut, max(minCut, limit/mean)), clock.Millis(mean), now)
	}
}

// cut shrinks the window, at most once in a response time.
func (w *window) cut(part float64, responseTime, now clock.Millis) {
	if now-w.cutAt < responseTime {
		return
	}
	w.size = max(minWindow, w.size*part)
	w.cutAt = now
}

// full records that a request found the window full.
func (w *window) full(responseTime, now clock.Millis) {
	w.neededAt = now
	if now-w.grownSince >= responseTime {
		w.grown, w.grownSince = 0, now
	}
	more := min(growth, maxGrowth-w.grown)
	if w.fast {
		more = min(fastGrowth, maxFastGrowth-w.grown)
	}
	more = max(0, more)
	w.size += more
	w.grown += more
}

// expire ends the window if it is no longer needed, and reports whether it did.
func (w *window) expire(now clock.Millis) bool {
	if !w.inForce || now-w.neededAt < forgetAfter {
		return false
	}
	*w = window{}
	return true
}
