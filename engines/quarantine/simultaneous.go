package quarantine

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

// crashTime is the time at which an engine incarnation crashed.
type crashTime struct {
	incarnation uint32
	at          clock.Millis
}

// otherCrashes returns how many other engines crashed at the same time.
func (l *List) otherCrashes(c crash) int {
	n := 0
	for _, o := range l.recent {
		if diff := o.at - c.at; o.incarnation != c.incarnation && max(diff, -diff) <= crashWindow {
			n++
		}
	}
	return n
}

// noteCrash adds an engine crash to recent, unless it is there already.
func (l *List) noteCrash(incarnation uint32, at clock.Millis) {
	if slices.ContainsFunc(l.recent, func(o crashTime) bool {
		return o.incarnation == incarnation && max(o.at-at, at-o.at) <= sameCrashTolerance
	}) {
		return
	}
	l.recent = append(l.recent, crashTime{incarnation: incarnation, at: at})
	l.recent = l.recent[max(0, len(l.recent)-maxRecentCrashes):]
}
