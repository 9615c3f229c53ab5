package quarantine

import (
	"cmp"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// together is the time within which engines that end are taken to end in one go: a
	// rack or a service does, and the entries hear of it within some dozen milliseconds.
	together clock.Millis = 200
	// manyAtOnce is from how many engines on an end in one go counts twice: a caller who
	// sends a request many times at once ends as many.
	manyAtOnce = 3
	// oneLife is the time within which the ends of one life that entries tell of are the
	// same: a life ends once, but where the list of engines is late the next one goes by
	// its mark, and may end as soon as it has started.
	oneLife clock.Millis = 100
	// endsMost bounds the ends that are remembered of a request: those of two strikes and
	// of all trials.
	endsMost = 8
	// sentTogether is the time within which copies of a request are taken to be sent at
	// once.
	sentTogether clock.Millis = 100
	// drift is by how much the time of what another entry tells may be off: the way
	// between data halls and the rounding of ages.
	drift clock.Millis = 10
	// aliveAfter is how long after its end word of an engine may still be read that it
	// sent before.
	aliveAfter clock.Millis = 1000
)

// end is the end of an engine while it had a request.
type end struct {
	// id tells it from others; entries that saw the same end have their own.
	id uint32
	// life is the mark of the life of the engine.
	life uint32
	at   clock.Millis
	// trial is true if it ran the request alone, to find out.
	trial bool
	// confirmed is true if this entry found out by itself that the engine ended.
	confirmed bool
	// dark is true if all that shows it is that the engine went dark. It is then of the
	// time at which the request was sent there.
	dark bool
}

// well is a run that ended well. An id of its own tells it from others, since the
// time of one that is passed on is known less exactly each time.
type well struct {
	// id is zero if no run is known.
	id uint32
	at clock.Millis
}

// trial is a run by which it is found out whether a request ends its engine.
type trial struct {
	// id is zero if there is none.
	id uint32
	// life is the mark of the engine that runs it, zero until one is chosen.
	life uint32
	// until is when it is over at the latest.
	until clock.Millis
	// own is true if this entry began it.
	own bool
}

func (t trial) underWay(now clock.Millis) bool { return t.id != 0 && now < t.until }

// record is what is known of one request.
type record struct {
	digest Digest
	shape  uint32
	// ends are the latest, the earliest first, all later than the latest run that ended
	// well, and at most manyAtOnce of those in one go. Trials are kept before others.
	ends []end
	well well
	// trial is the latest one.
	trial trial
	// correctedAt is when another entry last told what a later run had taken back.
	correctedAt clock.Millis
	// lives are those of the engines by which the record is indexed.
	lives []uint32
	// usedAt is when the request last came, or something new was heard of it.
	usedAt clock.Millis
}

// strikes is how often engines ended under the request since it last ran well: those in
// one go count once, or twice if they are many.
func (r *record) strikes() int {
	n := 0
	for _, group := range groups(r.ends) {
		n++
		if len(group) >= manyAtOnce {
			n++
		}
	}
	return n
}

// isConfirmed reports whether this entry found out any of the ends by itself.
func (r *record) isConfirmed() bool {
	return slices.ContainsFunc(r.ends, func(e end) bool { return e.confirmed })
}

// groups returns the ends that were in one go, from ends of which the earliest is first.
func groups(ends []end) [][]end {
	var out [][]end
	from := 0
	for i := range ends {
		if ends[i].at-ends[from].at > ends[i].window() {
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
func (e end) window() clock.Millis {
	if e.dark {
		return sentTogether
	}
	return together
}

// lastEnd is when the latest of the ends was; there is one.
func (r *record) lastEnd() clock.Millis { return r.ends[len(r.ends)-1].at }

// add records an end and reports whether that is news. Entries may hear of ends in any
// order; what is not news to one that knows as much must not go round for ever.
func (r *record) add(e end) bool {
	if r.well.id != 0 && e.at <= r.well.at {
		return false
	}
	if at := slices.IndexFunc(r.ends, e.same); at >= 0 {
		r.ends[at].confirmed = r.ends[at].confirmed || e.confirmed
		return false
	}
	if e.dark && slices.ContainsFunc(r.ends, e.again) {
		return false
	}
	ends := slices.Clone(r.ends)
	if !e.dark {
		ends = slices.DeleteFunc(ends, func(o end) bool { return o.dark && e.again(o) })
	}
	ends = append(ends, e)
	slices.SortStableFunc(ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	for _, group := range groups(ends) {
		if len(group) > manyAtOnce && slices.ContainsFunc(group, e.same) {
			return false
		}
	}
	r.ends = latest(ends)
	return slices.ContainsFunc(r.ends, e.same)
}

// latest returns at most endsMost of ends of which the earliest is first. Trials are kept
// before others: they are the proof, and word of an end that came late may count twice.
func latest(ends []end) []end {
	for len(ends) > endsMost {
		drop := max(0, slices.IndexFunc(ends, func(e end) bool { return !e.trial }))
		ends = slices.Delete(ends, drop, drop+1)
	}
	return ends
}

// same reports whether two ends are the same.
func (e end) same(o end) bool {
	apart := e.at - o.at
	return e.id == o.id || (e.life == o.life && max(apart, -apart) <= oneLife)
}

// again reports whether two ends of which one is known by a dark engine alone are of the
// same darkness: what is sent to an engine that is dark shows nothing more.
func (e end) again(o end) bool {
	apart := e.at - o.at
	return e.life == o.life && max(apart, -apart) <= brokenFor
}

// ranWell records a run that ended well, and reports whether that is news.
func (r *record) ranWell(w well) bool {
	if w.id == r.well.id {
		r.well.at = min(r.well.at, w.at)
		return false
	}
	if r.well.id != 0 && w.at <= r.well.at {
		return false
	}
	r.well = w
	r.ends = slices.DeleteFunc(r.ends, func(e end) bool { return e.at <= w.at })
	return true
}

// tried records a trial or its end, and reports whether that is news. Of two that are
// under way at once, since entries claimed them before they heard of each other, the one
// with the smaller number counts.
func (r *record) tried(t trial, now clock.Millis) bool {
	switch {
	case t.id == r.trial.id && r.trial.life == 0 && t.life != 0:
		r.trial.life, r.trial.until = t.life, t.until
		return true
	case t.id == r.trial.id:
		news := t.until < r.trial.until-together
		r.trial.until = min(r.trial.until, t.until)
		return news
	case t.id == 0, !t.underWay(now), r.trial.underWay(now) && r.trial.id < t.id:
		return false
	}
	r.trial = t
	return true
}

// alive takes back that an engine ended that was heard now on a connection which is older
// than that, or that it is dark, and reports whether it changed anything.
func (r *record) alive(life uint32, since, now clock.Millis) bool {
	n := len(r.ends)
	r.ends = slices.DeleteFunc(r.ends, func(e end) bool {
		return e.life == life && (e.dark || since+drift < e.at) && now > e.at+aliveAfter
	})
	return len(r.ends) != n
}

// confirm records that this entry found out by itself that an engine ended.
func (r *record) confirm(life uint32) {
	for i := range r.ends {
		if r.ends[i].life == life && !r.ends[i].dark {
			r.ends[i].confirmed = true
		}
	}
}
