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
func (r *record) judgeEnd(a asked, runs []*standin.Run) {
	if a.fault != "" {
		r.breaks("%s %s by %s: got %s", a.path, a.id, a.by, a.fault)
	}
	if len(runs) == 0 {
		return
	}
	last := slices.MaxFunc(runs, func(x, y *standin.Run) int { return x.ArrivedAt.Compare(y.ArrivedAt) })
	passed := a.signature != ""
	switch {
	case !passed, a.end == framing.Incomplete:
		// What began by chunks cannot end as an answer that nobody knows to be complete.
		chunked := a.by != raw10 && a.stream() && framedBy(runs, framing.Chunked)
		if last.Ended == framing.Closed && !chunked && !a.gaveUp && a.ended.Sub(a.sent) < a.deadline() && !r.disturbedBeyondEngines(a) {
			r.breaks("%s %s by %s: got status %d, %q after %d bytes, want the %d after which the engine ended its connection", a.path, a.id, a.by, a.status, a.end, a.bytes, last.Sent)
		}
	case a.end == framing.Complete:
		if last.Ended != framing.Complete {
			r.breaks("%s %s by %s: got status %d as complete, %d bytes, want it told as the engine ended it: %q after %d bytes", a.path, a.id, a.by, a.status, a.bytes, last.Ended, last.Sent)
		}
	case a.end == framing.Closed:
		r.judgeClosed(a, last, a.stream() && framedBy(runs, framing.UntilClose))
	}
}

// judgeClosed holds an answer that ended with the caller's connection against its engine's.
// The end of a killed process looks no different, HTTP/1.0 knows no chunks, and a stream that
// began without them stays so where another engine takes it up.
func (r *record) judgeClosed(a asked, last *standin.Run, unframed bool) {
	if r.killed(a) {
		if a.status == http.StatusOK && !a.own && !strings.HasPrefix(a.want(), a.body) {
			r.breaks("%s %s by %s: got %.200q of a gate that was killed, want a part of its own", a.path, a.id, a.by, a.body)
		}
		return
	}
	ended := last.Ended == framing.Closed || (last.Ended == framing.Complete && (a.by == raw10 || unframed))
	switch {
	case !ended:
		r.breaks("%s %s by %s: got status %d as ended with its connection, %d bytes, want it told as the engine ended it: %q after %d bytes", a.path, a.id, a.by, a.status, a.bytes, last.Ended, last.Sent)
	case a.status == http.StatusOK && !a.own && (a.stream() || a.body != a.want()[:min(last.Sent, len(a.want()))]):
		r.breaks("%s %s by %s: got %d bytes of an answer that ended with its connection, want the %d of its own", a.path, a.id, a.by, a.bytes, last.Sent)
	}
}

// framedBy reports whether one of the runs answered in a framing.
func framedBy(runs []*standin.Run, f framing.Framing) bool {
	return slices.ContainsFunc(runs, func(run *standin.Run) bool { return run.Framed == f })
}

// killed reports whether the caller's gate was killed while it answered.
func (r *record) killed(a asked) bool {
	return slices.ContainsFunc(slices.Concat(r.troubles, r.kills), func(t trouble) bool {
		return t.kind == Kill && (t.gate == everyGate || t.gate == a.gate) && t.from.Before(a.ended) && t.until.After(a.sent)
	})
}

// disturbedBeyondEngines reports whether anything but other ways of engines to answer, a stop
// of its gate included, could be felt while a request ran.
func (r *record) disturbedBeyondEngines(a asked) bool {
	struck := slices.ContainsFunc(r.troubles, func(t trouble) bool {
		return t.kind != Engine && t.kind != Engines && t.kind != Break && t.felt(a)
	})
	return struck || slices.ContainsFunc(r.stops, func(s stopped) bool { return s.reaches(a) })
}
