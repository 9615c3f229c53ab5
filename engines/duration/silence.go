package duration

import "github.com/weldfall/weldfall/common/clock"

const (
	// silencePart is the part of the silence of a sound engine from which on a pause is taken
	// for one.
	silencePart = 3
	// silencePauses is the number of times the mean pause of its stream that a silence lasts
	// at least. Slow engines have long pauses without being silent.
	silencePauses = 4
	// maxLongSilence limits what a long silence adds, as a multiple of a sound engine's. Callers
	// that stop reading look like silent engines.
	maxLongSilence = 2
	// longSilenceRetention is how long the estimates have room for a long silence.
	longSilenceRetention clock.Millis = 30_000
)

// Stream describes a complete stream.
type Stream struct {
	Route, Service string
	Events         int
	// Total is the time from the request to the end, First to the first event.
	Total, First clock.Millis
	// Pause is the longest pause between events, End the time from the last event to the end.
	Pause, End clock.Millis
	// Silence is how long a sound engine may be silent.
	Silence clock.Millis
	// Now is when the stream ended.
	Now clock.Millis
}

// RecordStream records a complete stream. A silence of its engine is not part of the pace or
// of the time of the response: it is not expected in the next ones.
func (e *Estimator) RecordStream(s Stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.routeStats(s.Route)
	if r == nil {
		return
	}
	between := s.silenceBetweenEvents()
	if between > 0 {
		for _, p := range e.paceStats(s.Route, s.Service) {
			p.subtract(between)
		}
	}
	r.recordSilentTime(between, s.Events-1)
	later := max(between, s.ifSilence(s.End))
	first := s.ifSilence(s.First)
	if first > 0 {
		first = s.ifSilence(first - r.firstEvents.quantile(boundQuantile))
	}
	r.recordLongSilence(max(first, later), s)
	// A first event may also be late because of a long prompt.
	r.responses.add(s.Total - max(later, min(first, r.silenceAllowed(s.Silence, s.Now))))
}

// ifSilence returns the duration of a pause if it is long enough for a silence, else 0.
func (s Stream) ifSilence(d clock.Millis) clock.Millis {
	if s.Silence == 0 || d < s.Silence/silencePart {
		return 0
	}
	return d
}

// silenceBetweenEvents returns how much longer the longest pause between events is than the
// mean of the others if the engine was silent then, else 0.
func (s Stream) silenceBetweenEvents() clock.Millis {
	others := s.Events - 2
	if others < 1 {
		return s.ifSilence(s.Pause)
	}
	mean := (s.Total - s.First - s.End - s.Pause) / clock.Millis(others)
	if s.Pause < silencePauses*mean {
		return 0
	}
	return s.ifSilence(s.Pause - mean)
}

// recordLongSilence records a silence that is longer than a sound engine's.
func (r *routeStats) recordLongSilence(d clock.Millis, s Stream) {
	if d = min(d, maxLongSilence*s.Silence); d > s.Silence && d >= r.silenceAllowed(s.Silence, s.Now) {
		r.longSilence, r.longSilenceAt = d, s.Now
	}
}

// recordSilentTime records the time that was taken out of the pace of a stream with a number
// of pauses.
func (r *routeStats) recordSilentTime(d clock.Millis, gaps int) {
	const keep = 1 - 1.0/maxSamples
	r.silentTime = keep*r.silentTime + float64(d)
	r.gaps = keep*r.gaps + float64(gaps)
}

// expectedSilence returns for how long the engine of a stream of so many events is silent, if
// it is so as often as in the latest streams.
func (r *routeStats) expectedSilence(events int) clock.Millis {
	if r.gaps == 0 {
		return 0
	}
	return scale(r.silentTime/r.gaps, clock.Millis(events))
}

// silenceAllowed returns how long an engine may be silent: as long as a sound one, or as long
// as was seen lately.
func (r *routeStats) silenceAllowed(sound, now clock.Millis) clock.Millis {
	if sound > 0 && r.longSilence > sound && now-r.longSilenceAt <= longSilenceRetention {
		return r.longSilence
	}
	return sound
}

// subtract removes a silence from the latest measurement that may contain it.
func (p *paceStats) subtract(silence clock.Millis) {
	if p.tailTime >= silence {
		p.tailTime -= silence
		return
	}
	p.runs.subtract(silence)
}
