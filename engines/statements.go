package engines

import (
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/statement"
)

// RecordStatement records what a response of an incarnation said of it. The incarnation need
// not be listed.
func (r *Registry) RecordStatement(n Incarnation, in statement.Said, now clock.Millis) statement.Change {
	s, change := r.statements.Record(n, in, now)
	if e := r.Find(n); e != nil {
		e.said = s
	}
	return change
}

// keepDraining records the draining of an engine for as long as its incarnation is known, so
// that its entry may be removed and come back.
func (r *Registry) keepDraining(e *Engine) {
	e.said = r.statements.RecordDraining(e.info.Incarnation())
}

// Closed reports whether an incarnation said that it wants no requests now.
func (r *Registry) Closed(n Incarnation, now clock.Millis) bool {
	return r.statements.Of(n).Closed(now)
}

// CountClosed returns how many engines of a service said that they want no requests now.
func (r *Registry) CountClosed(service string, now clock.Millis) int {
	p := r.byService[service]
	if p == nil {
		return 0
	}
	n := 0
	for _, e := range p.engines {
		if e.said.Closed(now) {
			n++
		}
	}
	return n
}

// Resting returns how many engines of a service get no requests only because they rest, and
// when the first of these rests ends, zero if there is none. version is the software version
// that the engines must have, "" for any.
func (r *Registry) Resting(service, version string, now clock.Millis) (n int, until clock.Millis) {
	p := r.byService[service]
	if p == nil {
		return 0, 0
	}
	for _, e := range p.engines {
		if !e.said.Resting(now) || e.said.Leaving() || e.info.Draining || !e.hasVersion(version) || r.isEvacuated(e) {
			continue
		}
		if n++; n == 1 || e.said.RestUntil() < until {
			until = e.said.RestUntil()
		}
	}
	return n, until
}

// Said returns what an incarnation said of itself, nil if that is nothing.
func (r *Registry) Said(n Incarnation) *statement.State { return r.statements.Of(n) }
