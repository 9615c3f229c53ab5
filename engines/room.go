package engines

import (
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/admission"
)

const (
	// roomReportAge is the maximum age of a report that counts as recent.
	roomReportAge clock.Millis = 1000
	// maxFill bounds the load of one engine, as a multiple of its slots, so that a wrong
	// report counts little.
	maxFill = 2.0
)

// Room returns the room of a pool, or false if it cannot be told. It uses the estimates of
// Choose, but bounds each report, and a silence only excludes engines that have not reported
// to another entry meanwhile: under overload requests wait in silence.
func (r *Registry) Room(service string, maxSilence, now clock.Millis) (admission.Room, bool) {
	p := r.byService[service]
	if p == nil {
		return admission.Room{}, false
	}
	usable := r.scratch.live[:0]
	n := 0
	for _, e := range p.engines {
		if !e.AcceptsRequests(now) || r.isEvacuated(e) {
			continue
		}
		n++
		dark := e.silence(now) > maxSilence && (!e.hasReport || now-e.reportedAt > roomReportAge)
		if !e.missing && !e.health.avoided(now) && !dark {
			usable = append(usable, e)
		}
	}
	r.scratch.live = usable
	if len(usable) == 0 || float64(len(usable)) < (1-maxSuspects)*float64(n) {
		return admission.Room{}, false
	}
	out := admission.Room{Engines: len(usable)}
	limit := r.slotsLimit(usable, countedShare)
	others, ages := 0.0, clock.Millis(0)
	for _, e := range usable {
		out.Slots += int(e.slots(limit))
		if age := now - e.reportedAt; e.hasReport && age <= roomReportAge {
			out.Reports++
			out.MaxAge = max(out.MaxAge, age)
			ages += age
			others += e.boundedOthers(limit)
		}
	}
	mean := 0.0
	if out.Reports > 0 {
		mean = others / float64(out.Reports)
		out.MeanAge = ages / clock.Millis(out.Reports)
	}
	for _, e := range usable {
		out.Load += float64(e.inflight) + mean + (e.boundedOthers(limit)-mean)*e.reportWeight(now)
	}
	return out, true
}

// boundedOthers returns the reported number of other entries' requests within maxFill, where
// slots count up to limit.
func (e *Engine) boundedOthers(limit float64) float64 {
	return min(e.otherRequests, maxFill*e.slots(limit))
}
