package soak

import (
	"net/http"
	"slices"
	"strings"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/platform/standin"
)

// judgeCompleteness checks how the response ended for the caller against how its engines
// ended it. The last run is the one whose response may have ended completely.
func (r *record) judgeCompleteness(a request, runs []*standin.Run) {
	if a.fault != "" {
		r.addViolation("%s %s by %s: got %s", a.path, a.id, a.proto, a.fault)
	}
	if len(runs) == 0 {
		return
	}
	// An engine that a request left before it sent anything may have received it after the one
	// that responded.
	responded := slices.DeleteFunc(slices.Clone(runs), func(r *standin.Run) bool { return r.Ended == "" && r.Sent == 0 })
	if len(responded) == 0 {
		responded = runs
	}
	last := slices.MaxFunc(responded, func(x, y *standin.Run) int { return x.ArrivedAt.Compare(y.ArrivedAt) })
	passed := a.signature != ""
	switch {
	case !passed, a.ending == framing.Incomplete:
		// A chunked response cannot end as one of unknown completeness.
		chunked := a.proto != raw10 && a.stream() && framedBy(runs, framing.Chunked)
		if last.Ended == framing.Closed && !chunked && !a.gaveUp && a.ended.Sub(a.sent) < a.deadline() && !r.disturbedBesidesEngines(a) {
			r.addViolation("%s %s by %s: got status %d, %q after %d bytes, want the %d bytes after which the engine closed its connection", a.path, a.id, a.proto, a.status, a.ending, a.bytes, last.Sent)
		}
	case a.ending == framing.Complete:
		if last.Ended != framing.Complete {
			r.addViolation("%s %s by %s: got status %d, complete after %d bytes, want the ending of the engine: %q after %d bytes", a.path, a.id, a.proto, a.status, a.bytes, last.Ended, last.Sent)
		}
	case a.ending == framing.Closed:
		r.judgeClosed(a, last, a.stream() && framedBy(runs, framing.UntilClose))
	}
}

// judgeClosed checks a response that ended with the caller's connection against that of its
// engine. A killed process may close its connections in the same way, but not under a part of a stream,
// HTTP/1.0 has no chunks, and a stream that began without chunks continues without them at another engine.
func (r *record) judgeClosed(a request, last *standin.Run, unframed bool) {
	if r.gateKilled(a) && (a.bodyMatches || !a.stream()) {
		if a.status == http.StatusOK && !a.bodyMatches && !strings.HasPrefix(a.wantBody(), a.body) {
			r.addViolation("%s %s by %s: got %.200q from a killed gate, want a prefix of its own response", a.path, a.id, a.proto, a.body)
		}
		return
	}
	ended := last.Ended == framing.Closed || (last.Ended == framing.Complete && (a.proto == raw10 || unframed))
	switch {
	case !ended:
		r.addViolation("%s %s by %s: got status %d, closed with the connection after %d bytes, want the ending of the engine: %q after %d bytes", a.path, a.id, a.proto, a.status, a.bytes, last.Ended, last.Sent)
	case a.status == http.StatusOK && !a.bodyMatches && (a.stream() || a.body != a.wantBody()[:min(last.Sent, len(a.wantBody()))]):
		r.addViolation("%s %s by %s: got %d bytes of a response that ended with its connection, want the %d bytes that the engine sent", a.path, a.id, a.proto, a.bytes, last.Sent)
	}
}

// framedBy reports whether the response of one of the runs had the framing.
func framedBy(runs []*standin.Run, f framing.Framing) bool {
	return slices.ContainsFunc(runs, func(run *standin.Run) bool { return run.Framed == f })
}

// gateKilled reports whether the gate of a request was killed while it served the request.
func (r *record) gateKilled(a request) bool {
	return slices.ContainsFunc(slices.Concat(r.disturbances, r.lateKills), func(t disturbance) bool {
		return t.kind == Kill && (t.gate == everyGate || t.gate == a.gate) && t.from.Before(a.ended) && t.until.After(a.sent)
	})
}

// disturbedBesidesEngines reports whether a disturbance other than misbehaving engines, or
// a stop of the gate, could affect the request.
func (r *record) disturbedBesidesEngines(a request) bool {
	disturbed := slices.ContainsFunc(r.disturbances, func(t disturbance) bool {
		return t.kind != EngineFault && t.kind != AllEnginesFault && t.kind != BreakResponses && t.affects(a)
	})
	return disturbed || slices.ContainsFunc(r.stops, func(s plannedStop) bool { return s.overlaps(a) })
}
