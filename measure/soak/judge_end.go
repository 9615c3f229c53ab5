package soak

import (
	"net/http"
	"slices"
	"strings"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/platform/standin"
)

// judgeEnd holds how an answer ended for its caller against how its engines ended it. The
// last of the runs is the one whose answer may have come to its end.
func (r *record) judgeCompleteness(a request, runs []*standin.Run) {
	if a.fault != "" {
		r.addViolation("%s %s by %s: got %s", a.path, a.id, a.proto, a.fault)
	}
	if len(runs) == 0 {
		return
	}
	last := slices.MaxFunc(runs, func(x, y *standin.Run) int { return x.ArrivedAt.Compare(y.ArrivedAt) })
	passed := a.signature != ""
	switch {
	case !passed, a.ending == framing.Incomplete:
		// What began by chunks cannot end as an answer that nobody knows to be complete.
		chunked := a.proto != raw10 && a.stream() && framedBy(runs, framing.Chunked)
		if last.Ended == framing.Closed && !chunked && !a.gaveUp && a.ended.Sub(a.sent) < a.deadline() && !r.disturbedBesidesEngines(a) {
			r.addViolation("%s %s by %s: got status %d, %q after %d bytes, want the %d after which the engine ended its connection", a.path, a.id, a.proto, a.status, a.ending, a.bytes, last.Sent)
		}
	case a.ending == framing.Complete:
		if last.Ended != framing.Complete {
			r.addViolation("%s %s by %s: got status %d as complete, %d bytes, want it told as the engine ended it: %q after %d bytes", a.path, a.id, a.proto, a.status, a.bytes, last.Ended, last.Sent)
		}
	case a.ending == framing.Closed:
		r.judgeClosed(a, last, a.stream() && framedBy(runs, framing.UntilClose))
	}
}

// judgeClosed holds an answer that ended with the caller's connection against its engine's.
// The end of a killed process looks no different, HTTP/1.0 knows no chunks, and a stream that
// began without them stays so where another engine takes it up.
func (r *record) judgeClosed(a request, last *standin.Run, unframed bool) {
	if r.killed(a) {
		if a.status == http.StatusOK && !a.bodyMatches && !strings.HasPrefix(a.wantBody(), a.body) {
			r.addViolation("%s %s by %s: got %.200q of a gate that was killed, want a part of its own", a.path, a.id, a.proto, a.body)
		}
		return
	}
	ended := last.Ended == framing.Closed || (last.Ended == framing.Complete && (a.proto == raw10 || unframed))
	switch {
	case !ended:
		r.addViolation("%s %s by %s: got status %d as ended with its connection, %d bytes, want it told as the engine ended it: %q after %d bytes", a.path, a.id, a.proto, a.status, a.bytes, last.Ended, last.Sent)
	case a.status == http.StatusOK && !a.bodyMatches && (a.stream() || a.body != a.wantBody()[:min(last.Sent, len(a.wantBody()))]):
		r.addViolation("%s %s by %s: got %d bytes of an answer that ended with its connection, want the %d of its own", a.path, a.id, a.proto, a.bytes, last.Sent)
	}
}

// framedBy reports whether one of the runs answered in a framing.
func framedBy(runs []*standin.Run, f framing.Framing) bool {
	return slices.ContainsFunc(runs, func(run *standin.Run) bool { return run.Framed == f })
}

// killed reports whether the caller's gate was killed while it answered.
func (r *record) killed(a request) bool {
	return slices.ContainsFunc(slices.Concat(r.disturbances, r.lateKills), func(t disturbance) bool {
		return t.kind == Kill && (t.gate == everyGate || t.gate == a.gate) && t.from.Before(a.ended) && t.until.After(a.sent)
	})
}

// disturbedBeyondEngines reports whether anything but other ways of engines to answer, a stop
// of its gate included, could be felt while a request ran.
func (r *record) disturbedBesidesEngines(a request) bool {
	disturbed := slices.ContainsFunc(r.disturbances, func(t disturbance) bool {
		return t.kind != EngineFault && t.kind != AllEnginesFault && t.kind != BreakResponses && t.affects(a)
	})
	return disturbed || slices.ContainsFunc(r.stops, func(s plannedStop) bool { return s.overlaps(a) })
}
