package daemon

import (
	"cmp"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/daemon/target"
)

// eventLog is how far the cache events of an engine are known. They are numbered from the
// first of each life of the engine, come late, and numbers may be missing.
type eventLog struct {
	// last is the event with the highest number, numbered 0 if there is none.
	last target.CacheEvent
	// missed is how often in a row the engine did not have it.
	missed int
}

// missedMost is how often an engine may not have an event that it had told before it is
// taken to have started again: one may get lost on its way.
const missedMost = 2

// after returns the number after which events are asked for. The last one that is known
// is among them: an engine that does not have it has lost its memory since, and would tell
// nothing until its numbers go beyond those of its former life.
func (l *eventLog) after() int64 { return max(0, l.last.Seq-1) }

// restarted reports whether the events, which were asked for after that number, are of
// another life than those before. All is forgotten then: they are asked for from the first.
// An engine that lacks the last one may have dropped it only; empty is true if it has lost
// what it kept by its report, too.
func (l *eventLog) restarted(events []target.CacheEvent, empty bool) bool {
	if l.last.Seq == 0 {
		return false
	}
	same, other := false, false
	for _, ev := range events {
		same = same || ev.Seq >= l.last.Seq
		other = other || (ev.Seq == l.last.Seq && (ev.Key != l.last.Key || ev.Kind != l.last.Kind))
	}
	l.missed++
	if same {
		l.missed = 0
	}
	if !other && (!empty || l.missed < missedMost) {
		return false
	}
	*l = eventLog{}
	return true
}

// take returns the events that are new, in the order of their numbers.
func (l *eventLog) take(events []target.CacheEvent) []target.CacheEvent {
	var news []target.CacheEvent
	slices.SortFunc(events, func(a, b target.CacheEvent) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, ev := range events {
		if ev.Seq <= l.last.Seq {
			continue
		}
		if l.last.Seq > 0 && ev.Seq > l.last.Seq+1 {
			metrics.GetOrCreateCounter("weldfall_cache_event_gaps_total").Add(int(ev.Seq - l.last.Seq - 1))
		}
		l.last = ev
		news = append(news, ev)
	}
	return news
}
