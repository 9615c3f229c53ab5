package soak

import (
	"slices"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
)

// stopped is a planned stop of a gate.
type plannedStop struct {
	gate int
	// at is when it was told, gone when its process had ended.
	signaledAt, exitedAt time.Time
}

// trouble is what was not planned.
type disturbance struct {
	kind Kind
	// gate is the number of the only gate that it could reach, or everyGate.
	gate        int
	from, until time.Time
}

const everyGate = -1

func (r *record) addStop(s plannedStop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, s)
}

func (r *record) addDisturbance(t disturbance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbances = append(r.disturbances, t)
}

func (r *record) addLateKill(t disturbance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateKills = append(r.lateKills, t)
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
	disturbanceReach = 3 * time.Second
)

// judgeStop holds a request that reached an engine against the promise that
// planned stops cut no answer. Engines that broke off are troubles; a caller
// that gave up, and an answer that took as long as it may, are not counted.
func (r *record) judgeStop(a request) {
	if a.complete || a.gaveUp || a.ended.Sub(a.sent) >= a.deadline() {
		return
	}
	i := slices.IndexFunc(r.stops, func(s plannedStop) bool { return s.overlaps(a) })
	if i < 0 {
		return
	}
	if r.stops[i].excuses(a) || r.disturbed(a) {
		r.excused++
		return
	}
	at := r.stops[i].signaledAt
	r.addViolation("%s %s was cut by gate %d %v after it was told to stop: status %d, %d bytes of %d, sent %v after the stop",
		a.path, a.id, a.gate, a.ended.Sub(at), a.status, a.bytes, len(a.wantBody()), a.sent.Sub(at))
}

// reaches reports whether the request was sent to the process that was stopped
// and ended around its stop. The next stop of the gate may follow its end at
// once, before the caller has seen the cut.
func (s plannedStop) overlaps(a request) bool {
	return s.gate == a.gate && !a.sent.After(s.exitedAt) && !a.ended.Before(s.signaledAt) && a.ended.Before(s.signaledAt.Add(stopReach))
}

// allows reports whether the request came early and was still running when the
// grace was nearly over.
func (s plannedStop) excuses(a request) bool {
	return !a.sent.After(s.signaledAt.Add(lateSent)) && !a.ended.Before(s.signaledAt.Add(lastSixth))
}

// troubled reports whether a trouble could be felt from before the request
// until its end.
func (r *record) disturbed(a request) bool {
	return slices.ContainsFunc(r.disturbances, func(t disturbance) bool { return t.affects(a) })
}

// felt reports whether the trouble could be felt from before the request until its end.
func (t disturbance) affects(a request) bool {
	return (t.gate == everyGate || t.gate == a.gate) && t.from.Before(a.ended) && t.until.After(a.sent.Add(-disturbanceReach))
}
