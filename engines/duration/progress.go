package duration

import "github.com/weldfall/weldfall/common/clock"

// Progress records the pace of one stream while it is in progress. It is not safe for
// concurrent use.
type Progress struct {
	estimator *Estimator
	req       Request
	startedAt clock.Millis
	// events is the number of events so far. The first was at firstAt and the latest at
	// lastAt; pause is the longest time between two.
	events          int
	firstAt, lastAt clock.Millis
	pause           clock.Millis
	// runStart is the number of events at the start of the current run, at runStartAt. Both
	// are zero before the first event.
	runStart   int
	runStartAt clock.Millis
}

// Begin returns the progress of a stream whose request arrived at startedAt.
func (e *Estimator) Begin(req Request, startedAt clock.Millis) *Progress {
	return &Progress{estimator: e, req: req, startedAt: startedAt}
}

// Restart records that the request was complete only now: the time that its body took is not
// that of the engine.
func (p *Progress) Restart(now clock.Millis) { p.startedAt = now }

// Record records that the stream has had so many events by now. It returns true for the first
// ones.
func (p *Progress) Record(events int, now clock.Millis) (first bool) {
	if events <= p.events {
		return false
	}
	first = p.events == 0
	if !first {
		p.pause = max(p.pause, now-p.lastAt)
	}
	p.events, p.lastAt = events, now
	switch {
	case first:
		p.firstAt = now
		p.estimator.RecordFirstEvent(p.req.Route.Name, now-p.startedAt)
	case events-p.runStart < RunEvents:
		return false
	default:
		p.estimator.RecordRun(p.req.Route.Name, p.req.Service, RunEvents*(now-p.runStartAt)/clock.Millis(events-p.runStart))
	}
	p.runStart, p.runStartAt = events, now
	return first
}

// RecordRest records the duration of the events after the last run of a complete stream.
func (p *Progress) RecordRest() {
	if n := p.events - p.runStart; p.runStart > 0 && n > 0 {
		p.estimator.RecordTail(p.req.Route.Name, p.req.Service, n, p.lastAt-p.runStartAt)
	}
}

// RecordComplete records the duration of a complete stream, which ended now. The pauses of a
// stream that several engines sent are not silences of one; such a stream must not be recorded.
func (p *Progress) RecordComplete(now clock.Millis) {
	p.estimator.RecordStream(Stream{
		Route: p.req.Route.Name, Service: p.req.Service, Events: p.events, Total: now - p.startedAt, First: p.firstAt - p.startedAt,
		Pause: p.pause, End: now - p.lastAt, Silence: p.req.Silence, Now: now,
	})
}
