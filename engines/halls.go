package engines

import "github.com/weldfall/weldfall/engines/locality"

// ownHallCredit is the number of requests by which an engine in the entry's data hall counts
// as less loaded among the homes of a prompt. It only breaks ties: a cached prompt in another
// hall saves more than the way there costs.
const ownHallCredit = 1.0

// hallCredit returns by how many requests an engine counts as less loaded for its hall.
func (q *Query) hallCredit(e *Engine) float64 {
	if q.Locality != nil && e.info.Hall == q.Hall {
		return ownHallCredit
	}
	return 0
}

// leaveHall decides whether a request leaves the entry's data hall. It returns "" if halls
// do not matter to the request: one with a prompt follows its prefix, a further attempt
// and a trial go wherever an engine is left. The slots of an engine count up to limit.
func (q *Query) leaveHall(usable []*Engine, loads []float64, limit float64) locality.Reason {
	if q.Locality == nil || q.Isolated || q.Version != "" || len(q.Keys) > 0 || len(q.Tried) > 0 {
		return ""
	}
	var r locality.Room
	for i, e := range usable {
		slots, least := &r.OtherSlots, &r.OtherLoad
		if e.info.Hall == q.Hall {
			slots, least = &r.OwnSlots, &r.OwnLoad
		}
		n := e.slots(limit)
		if l := loads[i] / n; *slots == 0 || l < *least {
			*least = l
		}
		*slots += int(n)
	}
	return q.Locality.Decide(r, q.Leave)
}

// admits reports whether an engine is in the hall that a request was decided to go to.
func (q *Query) admits(r locality.Reason, e *Engine) bool {
	switch r {
	case "":
		return true
	case locality.Stayed:
		return e.info.Hall == q.Hall
	}
	return e.info.Hall != q.Hall
}
