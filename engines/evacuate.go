package engines

import "github.com/weldfall/weldfall/common/clock"

// SetEvacuatedHalls replaces the set of data halls whose engines get no new requests.
// Requests that run there go on, and prefixes cached there can still be fetched.
func (r *Registry) SetEvacuatedHalls(halls []string, now clock.Millis) {
	before := r.evacuated
	r.evacuated = map[string]clock.Millis{}
	for _, h := range halls {
		since, ok := before[h]
		if !ok {
			since = now
		}
		r.evacuated[h] = since
	}
	for _, e := range r.byID {
		if _, was := before[e.info.Hall]; was && !r.isEvacuated(e) {
			e.reopenedAt = now
		}
	}
}

// isEvacuated reports whether the data hall of an engine is under evacuation.
func (r *Registry) isEvacuated(e *Engine) bool {
	if len(r.evacuated) == 0 {
		return false
	}
	_, ok := r.evacuated[e.info.Hall]
	return ok
}

// CountEvacuated returns how many listed engines of a service are in data halls under
// evacuation, and how many are listed in all.
func (r *Registry) CountEvacuated(service string) (n, all int) {
	p := r.byService[service]
	if p == nil {
		return 0, 0
	}
	for _, e := range p.engines {
		if r.isEvacuated(e) {
			n++
		}
	}
	return n, len(p.engines)
}

// CountInHall returns how many engines are listed in a data hall.
func (r *Registry) CountInHall(hall string) int {
	n := 0
	for _, e := range r.byID {
		if e.info.Hall == hall {
			n++
		}
	}
	return n
}
