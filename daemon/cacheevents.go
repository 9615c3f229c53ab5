package daemon

import (
	"cmp"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/daemon/target"
)

// eventCursor is the position in an engine's cache events. Each incarnation of the engine
// numbers them from the start. They arrive late, and numbers may be missing.
type eventCursor struct {
	// last is the event with the highest number. Its number is 0 if there is none.
	last target.CacheEvent
	// misses is the number of consecutive polls in which the engine lacked that event.
	misses int
}

// maxMisses is the number of misses after which an engine that also lost its cache is taken
// as restarted. A single event may be lost.
const maxMisses = 2

// after returns the number after which to request events. The response includes the last
// known event. An engine that lacks it has lost its cache, and would otherwise return no
// events until its numbers exceed those of its previous incarnation.
func (c *eventCursor) after() int64 { return max(0, c.last.Seq-1) }

// restarted reports whether the events that follow after belong to another incarnation of
// the engine, and resets the cursor if so. An engine that lacks the last event may just have
// dropped it. cacheLost is true if its report shows that it has lost its cache, too.
func (c *eventCursor) restarted(events []target.CacheEvent, cacheLost bool) bool {
	if c.last.Seq == 0 {
		return false
	}
	hasLast, differs := false, false
	for _, ev := range events {
		hasLast = hasLast || ev.Seq >= c.last.Seq
		differs = differs || (ev.Seq == c.last.Seq && (ev.Key != c.last.Key || ev.Kind != c.last.Kind))
	}
	c.misses++
	if hasLast {
		c.misses = 0
	}
	if !differs && (!cacheLost || c.misses < maxMisses) {
		return false
	}
	*c = eventCursor{}
	return true
}

// advance moves the cursor past the events and returns the new ones in numerical order.
func (c *eventCursor) advance(events []target.CacheEvent) []target.CacheEvent {
	var fresh []target.CacheEvent
	slices.SortFunc(events, func(a, b target.CacheEvent) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, ev := range events {
		if ev.Seq <= c.last.Seq {
			continue
		}
		if c.last.Seq > 0 && ev.Seq > c.last.Seq+1 {
			metrics.GetOrCreateCounter("weldfall_cache_event_gaps_total").Add(int(ev.Seq - c.last.Seq - 1))
		}
		c.last = ev
		fresh = append(fresh, ev)
	}
	return fresh
}
