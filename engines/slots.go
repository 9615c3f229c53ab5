package engines

import "math"

// The operators' bound for the load of an engine is a multiple of the mean of its service, so
// an engine that gets requests by all the slots that its entry claims may exceed it. Slots
// count up to a limit: the largest that is at most a multiple of their own mean. If requests are
// spread by slots, no engine has more than that multiple of the mean load.

const (
	// countedShare is how much of the way from the mean to the operators' bound the slots of
	// one engine count.
	countedShare = 0.75
	// spreadShare is the same for the spread of requests by load. It is smaller because
	// entries find the same engine least loaded until they hear of each other's requests.
	spreadShare = 0.35
)

// SetLoadBound sets the operators' bound for the load of an engine as a multiple of the mean.
// It counts only if above 1.
func (r *Registry) SetLoadBound(operators float64) { r.loadBound = operators }

// slotsLimit returns the limit for the slots of each given engine. share is the part of the way
// from the mean to the operators' bound.
func (r *Registry) slotsLimit(in []*Engine, share float64) float64 {
	factor := 1 + share
	if r.loadBound > 1 {
		factor = 1 + share*(r.loadBound-1)
	}
	// The mean depends on the limit. This is Newton's method, which comes from above and ends
	// after as many steps as there are sizes above the limit.
	limit := math.Inf(1)
	for {
		sum, over := 0.0, 0.0
		for _, e := range in {
			if s := float64(e.info.Slots); s <= limit {
				sum += s
			} else {
				over++
			}
		}
		next := factor * sum / (float64(len(in)) - factor*over)
		if next >= limit || next <= 0 {
			return limit
		}
		limit = next
	}
}

// slots returns the slots of the engine that count up to limit.
func (e *Engine) slots(limit float64) float64 { return min(float64(e.info.Slots), limit) }

// chooseByLoad chooses the engine with the lowest load per slot, weighed by pace, in the data
// hall that the request goes to. If that engine is full, one that claims more slots than count
// gets the request, up to the bound. Slots count up to spread here, and up to limit where room
// is estimated.
func (c *Choice) chooseByLoad(q Query, usable []*Engine, loads, paced []float64, limit, spread float64) {
	c.Hall = q.leaveHall(usable, loads, limit)
	best, bestScore := -1, 0.0
	start := int(q.Random * float64(len(usable)))
	for k := range usable {
		i := (start + k) % len(usable)
		if !q.admits(c.Hall, usable[i]) {
			continue
		}
		s := paced[i] / usable[i].slots(spread)
		if best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	if e := usable[best]; loads[best]+1 > float64(e.info.Slots) {
		if i := c.largerWithRoom(q, usable, loads, spread); i >= 0 {
			best = i
		}
	}
	c.Engine, c.Basis, c.Load = usable[best], ByLoad, loads[best]
}

// largerWithRoom returns the index of the least loaded engine that claims more slots than
// spread, has a free one and room within the bound, or -1 if there is none.
func (c *Choice) largerWithRoom(q Query, usable []*Engine, loads []float64, spread float64) int {
	best, bound := -1, q.Bound*c.Mean+q.Slack
	for i, e := range usable {
		if slots := float64(e.info.Slots); slots <= spread || loads[i]+1 > min(slots, bound) || !q.admits(c.Hall, e) {
			continue
		}
		if best < 0 || loads[i] < loads[best] {
			best = i
		}
	}
	return best
}
