package soak

import (
	"slices"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
)

// stopped is a planned stop of a gate.
type stopped struct {
	gate int
	// at is when it was told, gone when its process had ended.
	at, gone time.Time
}

// trouble is what was not planned.
type trouble struct {
	kind Kind
	// gate is the number of the only gate that it could reach, or everyGate.
	gate        int
	from, until time.Time
}

const everyGate = -1

func (r *record) stopped(s stopped) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, s)
}

func (r *record) trouble(t trouble) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.troubles = append(r.troubles, t)
}

func (r *record) killedLate(t trouble) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kills = append(r.kills, t)
}

// Bounds of the promise that a planned stop cuts nothing, as the users have
// them for a grace of 8 s, in parts of the soak's grace.
const (
	// stopReach is how long after a stop a cut is laid to it.
	stopReach = standin.Grace + time.Second
	// lateSent is 3 s of 8: what was sent no later and runs on in the last sixth
	// of the grace may be cut then.
	lateSent  = standin.Grace * 3 / 8
	lastSixth = standin.Grace * 5 / 6
	// troubleReach is how long a trouble may still be felt.
	troubleReach = 3 * time.Second
)

// judgeStop holds a request that reached an engine against the promise that
// planned stops cut no answer. Engines that broke off are troubles; a caller
// that gave up, and an answer that took as long as it may, are not counted.
func (r *record) judgeStop(a asked) {
	if a.whole || a.gaveUp || a.ended.Sub(a.sent) >= a.deadline() {
		return
	}
	i := slices.IndexFunc(r.stops, func(s stopped) bool { return s.reaches(a) })
	if i < 0 {
		return
	}
	if r.stops[i].allows(a) || r.troubled(a) {
		r.excused++
		return
	}
	at := r.stops[i].at
	r.breaks("%s %s was cut by gate %d %v after it was told to stop: status %d, %d bytes of %d, sent %v after the stop",
		a.path, a.id, a.gate, a.ended.Sub(at), a.status, a.bytes, len(a.want()), a.sent.Sub(at))
}

// reaches reports whether the request was sent to the process that was stopped
// and ended around its stop. The next stop of the gate may follow its end at
// once, before the caller has seen the cut.
func (s stopped) reaches(a asked) bool {
	return s.gate == a.gate && !a.sent.After(s.gone) && !a.ended.Before(s.at) && a.ended.Before(s.at.Add(stopReach))
}

// allows reports whether the request came early and was still running when the
// grace was nearly over.
func (s stopped) allows(a asked) bool {
	return !a.sent.After(s.at.Add(lateSent)) && !a.ended.Before(s.at.Add(lastSixth))
}

// troubled reports whether a trouble could be felt from before the request
// until its end.
func (r *record) troubled(a asked) bool {
	return slices.ContainsFunc(r.troubles, func(t trouble) bool { return t.felt(a) })
}

// felt reports whether the trouble could be felt from before the request until its end.
func (t trouble) felt(a asked) bool {
	return (t.gate == everyGate || t.gate == a.gate) && t.from.Before(a.ended) && t.until.After(a.sent.Add(-troubleReach))
}
