package gate

import (
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/table"
)

// Durations are the durations of answers by route.
type Durations struct{ d *durations }

// NewDurations returns durations that have seen nothing.
func NewDurations() Durations { return Durations{newDurations()} }

// Note records an answer.
func (d Durations) Note(route string, took clock.Millis) { d.d.note(route, took) }

// Longest returns the longest of the latest answers.
func (d Durations) Longest(route *table.Route) clock.Millis {
	took, _ := d.d.longest(route)
	return took
}
