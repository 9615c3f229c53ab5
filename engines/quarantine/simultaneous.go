package quarantine

import (
	"maps"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// lossWindow is the time within which the engines of a loss end, as an entry notices it.
	lossWindow clock.Millis = 100
	// lossSize is the number of engines that end in a loss at least. One request or part that
	// crashes so many in so short a time was at most of them.
	lossSize = 8
	// reportDelay is how late a crash may be reported. It is then taken for a later one.
	reportDelay clock.Millis = 3000
	// maxLosses limits the losses that are kept.
	maxLosses = 8
)

// crashTime is the time at which an engine incarnation crashed.
type crashTime struct {
	incarnation uint32
	at          clock.Millis
}

// loss is a moment in which many engines ended.
type loss struct {
	id           uint32
	from, until  clock.Millis
	incarnations map[uint32]bool
}

// includes reports whether a crash is one of the loss, which may have been reported late.
func (o *loss) includes(incarnation uint32, at clock.Millis) bool {
	return o.incarnations[incarnation] && at >= o.from-sameCrashTolerance && at <= o.until+reportDelay
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

// noteCrash adds an engine crash to recent, unless it is there already. reported is true for a
// report of a peer, which may be late. It returns when the crash happened, for one of a loss.
func (l *List) noteCrash(incarnation uint32, at clock.Millis, reported bool) clock.Millis {
	tolerance := sameCrashTolerance
	if reported && l.maybeLost(at) {
		tolerance = reportDelay
	}
	i := slices.IndexFunc(l.recent, func(o crashTime) bool {
		return o.incarnation == incarnation && at >= o.at-sameCrashTolerance && at-o.at <= tolerance
	})
	if i < 0 {
		l.recent = append(l.recent, crashTime{incarnation: incarnation, at: at})
		l.recent = l.recent[max(0, len(l.recent)-maxRecentCrashes):]
		l.noteLoss(incarnation, at)
		return at
	}
	if reported && l.lossOf(incarnation, at) != 0 {
		return min(at, l.recent[i].at)
	}
	return at
}

// noteLoss records the loss that a crash belongs to, if many engines ended at its time.
func (l *List) noteLoss(incarnation uint32, at clock.Millis) {
	if i := slices.IndexFunc(l.losses, func(o *loss) bool { return at >= o.from-sameCrashTolerance && at <= o.from+lossWindow }); i >= 0 {
		o := l.losses[i]
		o.incarnations[incarnation] = true
		o.until = max(o.until, at)
		l.markLost(o, incarnation)
		return
	}
	for _, first := range l.recent {
		if first.at > at || at-first.at > lossWindow {
			continue
		}
		o := &loss{from: first.at, until: first.at, incarnations: map[uint32]bool{}}
		for _, c := range l.recent {
			if c.at >= first.at && c.at-first.at <= lossWindow {
				o.incarnations[c.incarnation] = true
				o.until = max(o.until, c.at)
			}
		}
		if len(o.incarnations) < lossSize {
			continue
		}
		o.id = l.newID()
		l.losses = append(l.losses, o)
		l.losses = l.losses[max(0, len(l.losses)-maxLosses):]
		for _, i := range slices.Sorted(maps.Keys(o.incarnations)) {
			l.markLost(o, i)
		}
		return
	}
}

// markLost marks the crashes of an incarnation that belong to a loss.
func (l *List) markLost(o *loss, incarnation uint32) {
	for _, r := range l.recordsOf(incarnation) {
		for i, c := range r.crashes {
			if o.includes(c.incarnation, c.at) {
				r.crashes[i].loss = o.id
			}
		}
		r.suspected = false
		l.put(r)
	}
}

// lossOf returns the ID of the loss that a crash belongs to, zero if there is none.
func (l *List) lossOf(incarnation uint32, at clock.Millis) uint32 {
	for _, o := range l.losses {
		if o.includes(incarnation, at) {
			return o.id
		}
	}
	return 0
}

// maybeLost reports whether a crash that a peer reported may belong to a loss, though this entry
// did not know of the engine.
func (l *List) maybeLost(at clock.Millis) bool {
	return slices.ContainsFunc(l.losses, func(o *loss) bool { return at >= o.from && at <= o.until+reportDelay })
}
