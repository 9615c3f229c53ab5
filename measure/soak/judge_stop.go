package soak

import (
	"slices"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
)

// plannedStop is a planned stop of a gate.
type plannedStop struct {
	gate int
	// signaledAt is when the stop signal was sent, exitedAt when the process had exited.
	signaledAt, exitedAt time.Time
}

// disturbance is an unplanned fault.
type disturbance struct {
	kind Kind
	// gate is the only gate that it can affect, or everyGate.
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

// Bounds of the guarantee that a planned stop breaks no response. They are specified for a
// grace period of 8 s and scaled to that of the soak.
const (
	// stopReach is how long after a stop a broken response is attributed to it.
	stopReach = standin.Grace + time.Second
	// lateSent is 3 s of the 8 s: requests that were sent no later and still run in the
	// last sixth of the grace period may be broken then.
	lateSent  = standin.Grace * 3 / 8
	lastSixth = standin.Grace * 5 / 6
	// disturbanceReach is how long a disturbance may still have an effect.
	disturbanceReach = 3 * time.Second
)

// judgeStop checks the guarantee that planned stops break no response, for a request that
// reached an engine. Responses that engines broke count as disturbances; requests whose
// caller gave up or whose response took the longest permitted time do not count.
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
	r.addViolation("%s %s was broken by gate %d %v after its stop signal: status %d, %d of %d bytes, sent %v after the signal",
		a.path, a.id, a.gate, a.ended.Sub(at), a.status, a.bytes, len(a.wantBody()), a.sent.Sub(at))
}

// overlaps reports whether the request was sent to the stopped process and ended around its
// stop. The next stop of the gate may follow the exit at once, before the caller detects
// the broken connection.
func (s plannedStop) overlaps(a request) bool {
	return s.gate == a.gate && !a.sent.After(s.exitedAt) && !a.ended.Before(s.signaledAt) && a.ended.Before(s.signaledAt.Add(stopReach))
}

// excuses reports whether the request was sent early and still ran when the grace period
// was nearly over.
func (s plannedStop) excuses(a request) bool {
	return !a.sent.After(s.signaledAt.Add(lateSent)) && !a.ended.Before(s.signaledAt.Add(lastSixth))
}

// disturbed reports whether a disturbance could affect the request, from shortly before it
// was sent until its end.
func (r *record) disturbed(a request) bool {
	return slices.ContainsFunc(r.disturbances, func(t disturbance) bool { return t.affects(a) })
}

// affects reports whether the disturbance could affect the request, from shortly before it
// was sent until its end.
func (t disturbance) affects(a request) bool {
	return (t.gate == everyGate || t.gate == a.gate) && t.from.Before(a.ended) && t.until.After(a.sent.Add(-disturbanceReach))
}
