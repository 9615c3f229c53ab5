package engines

import "github.com/weldfall/weldfall/common/clock"

// SetEvacuatedHalls records the data halls whose engines take nothing new: those that are
// named and no others. Requests that run there go on, and what such an engine
// keeps can be fetched.
func (b *Registry) SetEvacuatedHalls(halls []string, now clock.Millis) {
	before := b.evacuated
	b.evacuated = map[string]clock.Millis{}
	for _, h := range halls {
		since, ok := before[h]
		if !ok {
			since = now
		}
		b.evacuated[h] = since
	}
	for _, e := range b.byID {
		if _, was := before[e.info.Hall]; was && !b.isEvacuated(e) {
			e.reopenedAt = now
		}
	}
}

// isEvacuated reports whether an engine takes nothing new for its data hall.
func (b *Registry) isEvacuated(e *Engine) bool {
	if len(b.evacuated) == 0 {
		return false
	}
	_, ok := b.evacuated[e.info.Hall]
	return ok
}

// CountEvacuated returns how many listed engines of a service are in data halls
// under evacuation, and how many are listed.
func (b *Registry) CountEvacuated(service string) (n, all int) {
	p := b.byService[service]
	if p == nil {
		return 0, 0
	}
	for _, e := range p.engines {
		if b.isEvacuated(e) {
			n++
		}
	}
	return n, len(p.engines)
}

// CountInHall returns how many engines are listed in a data hall.
func (b *Registry) CountInHall(hall string) int {
	n := 0
	for _, e := range b.byID {
		if e.info.Hall == hall {
			n++
		}
	}
	return n
}
