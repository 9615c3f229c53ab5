package soak

import (
	"bytes"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
)

// closeSlack is how long after the last byte of a request the gate may close the connection
// without a response: the request may have crossed the close.
const closeSlack = 200 * time.Millisecond

// callerRuns returns the requests of callers that an engine received: all but health checks.
func callerRuns(e *standin.Engine) []*standin.Run {
	return slices.DeleteFunc(e.Runs(), func(run *standin.Run) bool { return run.URI == standin.HealthPath })
}

// judgeWhole checks, where all engines are sound, that a request which a gate read got its
// complete response or was rejected. Requests that a disturbance of the gate could affect, that
// took the longest permitted time, or that a planned stop may break, do not count.
func (r *record) judgeWhole(a request, reached bool) {
	if a.status == http.StatusOK && a.complete || a.complete && statusMeansNotRun(a.status) || a.ended.Sub(a.sent) >= a.deadline() {
		return
	}
	if a.status == 0 && !reached && (a.closing || a.written.IsZero() || a.ended.Sub(a.written) <= closeSlack) {
		return
	}
	stop := slices.IndexFunc(r.stops, func(s plannedStop) bool { return s.overlaps(a) })
	if r.disturbed(a) || stop >= 0 && r.stops[stop].excuses(a) {
		r.excused++
		return
	}
	around := "without a stop"
	if stop >= 0 {
		at := r.stops[stop].signaledAt
		around = "sent " + a.sent.Sub(at).String() + " after the stop signal, ended " + a.ended.Sub(at).String() + " after it"
	}
	r.addViolation("%s %s by %s at gate %d: got status %d, %d of %d bytes after %v, %s, reached an engine: %v, want its response or a rejection",
		a.path, a.id, a.proto, a.gate, a.status, a.bytes, len(a.wantBody()), a.ended.Sub(a.sent), around, reached)
}

// faultLines are in the log lines of a gate that strikes an engine, holds a request back, or
// sends an engine nothing.
var faultLines = []string{"msg=struck ", "msg=held_back ", "trust=suspected "}

// judgeHeldBack checks that gates neither strike sound engines nor hold them or requests back.
func (r *record) judgeHeldBack(gates []*gate) {
	if !r.sound {
		return
	}
	for _, g := range gates {
		log, err := os.ReadFile(g.logs.Name())
		if err != nil {
			r.addViolation("gate %d: cannot read its log: %v", g.number, err)
			continue
		}
		for line := range bytes.Lines(log) {
			if slices.ContainsFunc(faultLines, func(text string) bool { return bytes.Contains(line, []byte(text)) }) {
				r.addViolation("gate %d beside sound engines: %s", g.number, bytes.TrimSpace(line))
			}
		}
	}
}
