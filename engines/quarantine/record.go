package quarantine

import (
	"cmp"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// together is the time within which engines that end are taken to end in one go: a
	// rack or a service does, and the entries hear of it within some dozen milliseconds.
	crashWindow clock.Millis = 200
	// manyAtOnce is from how many engines on an end in one go counts twice: a caller who
	// sends a request many times at once ends as many.
	largeGroup = 3
	// oneLife is the time within which the ends of one life that entries tell of are the
	// same: a life ends once, but where the list of engines is late the next one goes by
	// its mark, and may end as soon as it has started.
	sameCrashTolerance clock.Millis = 100
	// endsMost bounds the ends that are remembered of a request: those of two strikes and
	// of all trials.
	maxCrashes = 8
	// sentTogether is the time within which copies of a request are taken to be sent at
	// once.
	sendWindow clock.Millis = 100
	// drift is by how much the time of what another entry tells may be off: the way
	// between data halls and the rounding of ages.
	ageTolerance clock.Millis = 10
	// aliveAfter is how long after its end word of an engine may still be read that it
	// sent before.
	lateReadGrace clock.Millis = 1000
)

// end is the end of an engine while it had a request.
type crash struct {
	// id tells it from others; entries that saw the same end have their own.
	id uint32
	// life is the mark of the life of the engine.
	incarnation uint32
	at          clock.Millis
	// trial is true if it ran the request alone, to find out.
	trial bool
	// confirmed is true if this entry found out by itself that the engine ended.
	confirmed bool
	// dark is true if all that shows it is that the engine went dark. It is then of the
	// time at which the request was sent there.
	unresponsive bool
}

// well is a run that ended well. An id of its own tells it from others, since the
// time of one that is passed on is known less exactly each time.
type success struct {
	// id is zero if no run is known.
	id uint32
	at clock.Millis
}

// trial is a run by which it is found out whether a request ends its engine.
type trial struct {
	// id is zero if there is none.
	id uint32
	// life is the mark of the engine that runs it, zero until one is chosen.
	incarnation uint32
	// until is when it is over at the latest.
	deadline clock.Millis
	// own is true if this entry began it.
	own bool
}

func (t trial) isRunning(now clock.Millis) bool { return t.id != 0 && now < t.deadline }

// record is what is known of one request.
type record struct {
	digest      Digest
	fingerprint uint32
	// ends are the latest, the earliest first, all later than the latest run that ended
	// well, and at most manyAtOnce of those in one go. Trials are kept before others.
	crashes []crash
	success success
	// trial is the latest one.
	trial trial
	// correctedAt is when another entry last told what a later run had taken back.
	correctedAt clock.Millis
	// lives are those of the engines by which the record is indexed.
	incarnations []uint32
	// usedAt is when the request last came, or something new was heard of it.
	usedAt clock.Millis
}

// strikes is how often engines ended under the request since it last ran well: those in
// one go count once, or twice if they are many.
func (r *record) strikes() int {
	n := 0
	for _, group := range groups(r.crashes) {
		n++
		if len(group) >= largeGroup {
			n++
		}
	}
	return n
}

// isConfirmed reports whether this entry found out any of the ends by itself.
func (r *record) isConfirmed() bool {
	return slices.ContainsFunc(r.crashes, func(e crash) bool { return e.confirmed })
}

// groups returns the ends that were in one go, from ends of which the earliest is first.
func groups(ends []crash) [][]crash {
	var out [][]crash
	from := 0
	for i := range ends {
		if ends[i].at-ends[from].at > ends[i].groupWindow() {
			out = append(out, ends[from:i])
			from = i
		}
	}
	if from < len(ends) {
		out = append(out, ends[from:])
	}
	return out
}

// window is the time within which an end is taken to be in one go with an earlier one. Of
// engines that went dark the times say only when copies were sent.
func (e crash) groupWindow() clock.Millis {
	if e.unresponsive {
		return sendWindow
	}
	return crashWindow
}

// lastEnd is when the latest of the ends was; there is one.
func (r *record) lastCrashAt() clock.Millis { return r.crashes[len(r.crashes)-1].at }

// add records an end and reports whether that is news. Entries may hear of ends in any
// order; what is not news to one that knows as much must not go round for ever.
func (r *record) addCrash(e crash) bool {
	if r.success.id != 0 && e.at <= r.success.at {
		return false
	}
	if at := slices.IndexFunc(r.crashes, e.isSame); at >= 0 {
		r.crashes[at].confirmed = r.crashes[at].confirmed || e.confirmed
		return false
	}
	if e.unresponsive && slices.ContainsFunc(r.crashes, e.isSameOutage) {
		return false
	}
	ends := slices.Clone(r.crashes)
	if !e.unresponsive {
		ends = slices.DeleteFunc(ends, func(o crash) bool { return o.unresponsive && e.isSameOutage(o) })
	}
	ends = append(ends, e)
	slices.SortStableFunc(ends, func(a, b crash) int { return cmp.Compare(a.at, b.at) })
	for _, group := range groups(ends) {
		if len(group) > largeGroup && slices.ContainsFunc(group, e.isSame) {
			return false
		}
	}
	r.crashes = trimCrashes(ends)
	return slices.ContainsFunc(r.crashes, e.isSame)
}

// latest returns at most endsMost of ends of which the earliest is first. Trials are kept
// before others: they are the proof, and word of an end that came late may count twice.
func trimCrashes(ends []crash) []crash {
	for len(ends) > maxCrashes {
		drop := max(0, slices.IndexFunc(ends, func(e crash) bool { return !e.trial }))
		ends = slices.Delete(ends, drop, drop+1)
	}
	return ends
}

// same reports whether two ends are the same.
func (e crash) isSame(o crash) bool {
	apart := e.at - o.at
	return e.id == o.id || (e.incarnation == o.incarnation && max(apart, -apart) <= sameCrashTolerance)
}

// again reports whether two ends of which one is known by a dark engine alone are of the
// same darkness: what is sent to an engine that is dark shows nothing more.
func (e crash) isSameOutage(o crash) bool {
	apart := e.at - o.at
	return e.incarnation == o.incarnation && max(apart, -apart) <= brokenRetention
}

// ranWell records a run that ended well, and reports whether that is news.
func (r *record) addSuccess(w success) bool {
	if w.id == r.success.id {
		r.success.at = min(r.success.at, w.at)
		return false
	}
	if r.success.id != 0 && w.at <= r.success.at {
		return false
	}
	r.success = w
	r.crashes = slices.DeleteFunc(r.crashes, func(e crash) bool { return e.at <= w.at })
	return true
}

// tried records a trial or its end, and reports whether that is news. Of two that are
// under way at once, since entries claimed them before they heard of each other, the one
// with the smaller number counts.
func (r *record) mergeTrial(t trial, now clock.Millis) bool {
	switch {
	case t.id == r.trial.id && r.trial.incarnation == 0 && t.incarnation != 0:
		r.trial.incarnation, r.trial.deadline = t.incarnation, t.deadline
		return true
	case t.id == r.trial.id:
		news := t.deadline < r.trial.deadline-crashWindow
		r.trial.deadline = min(r.trial.deadline, t.deadline)
		return news
	case t.id == 0, !t.isRunning(now), r.trial.isRunning(now) && r.trial.id < t.id:
		return false
	}
	r.trial = t
	return true
}

// alive takes back that an engine ended that was heard now on a connection which is older
// than that, or that it is dark, and reports whether it changed anything.
func (r *record) removeRefuted(life uint32, since, now clock.Millis) bool {
	n := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, func(e crash) bool {
		return e.incarnation == life && (e.unresponsive || since+ageTolerance < e.at) && now > e.at+lateReadGrace
	})
	return len(r.crashes) != n
}

// confirm records that this entry found out by itself that an engine ended.
func (r *record) confirm(life uint32) {
	for i := range r.crashes {
		if r.crashes[i].incarnation == life && !r.crashes[i].unresponsive {
			r.crashes[i].confirmed = true
		}
	}
}
