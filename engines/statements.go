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

// Closed reports whether an incarnation said that it wants no requests now.
func (r *Registry) Closed(n Incarnation) bool { return r.statements.Of(n).Leaving() }

// Said returns what an incarnation said of itself, nil if that is nothing.
func (r *Registry) Said(n Incarnation) *statement.State { return r.statements.Of(n) }
