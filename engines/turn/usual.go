package turn

import "github.com/weldfall/weldfall/common/clock"

const (
	// maxRoutes bounds the routes whose callers' time limit is learned.
	maxRoutes = 256
	// returnedPart is the part of the usual time limit below which a caller counts as one
	// that was refused before.
	returnedPart = 0.85
	// forgetPart is how much of the difference a shorter limit takes off the usual one.
	forgetPart = 1.0 / 256
)

// Limits learns the usual time limit of the callers of each route. A caller that returns after
// a refusal has spent part of it.
type Limits struct{ usual map[string]float64 }

// Record records the time limit of a request and reports whether its caller seems to have been
// refused before. It does not before it knows the route.
func (l *Limits) Record(route string, limit clock.Millis) bool {
	usual, ok := l.usual[route]
	if limit <= 0 || !ok && len(l.usual) >= maxRoutes {
		return false
	}
	if l.usual == nil {
		l.usual = map[string]float64{}
	}
	got := float64(limit)
	if got >= usual {
		l.usual[route] = got
		return false
	}
	l.usual[route] = usual - (usual-got)*forgetPart
	return got < returnedPart*usual
}
