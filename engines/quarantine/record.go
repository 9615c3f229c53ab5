package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// crashWindow is the time within which engine crashes count as simultaneous. When a rack
	// or a service fails, entries notice its crashes within some dozens of milliseconds.
	crashWindow clock.Millis = 200
	// largeGroup is the number of simultaneous crashes that count as two strikes: a client
	// that sends a request many times at once crashes as many engines.
	largeGroup = 3
	// sameCrashTolerance is the time within which crashes of one incarnation are the same
	// crash, reported by several entries. An incarnation crashes once, but while the list of
	// engines lags behind, the next incarnation goes by the same hash, and it may crash as
	// soon as it has started.
	sameCrashTolerance clock.Millis = 100
	// maxCrashes limits the crashes in a record: enough for two strikes and all trials.
	maxCrashes = 8
	// sendWindow is the time within which copies of a request count as sent at once.
	sendWindow clock.Millis = 100
	// ageTolerance is the error of times reported by peers, from the latency between data
	// halls and the rounding of ages.
	ageTolerance clock.Millis = 10
	// lateReadGrace is how long after a crash data may still be read that the engine sent
	// before.
	lateReadGrace clock.Millis = 1000
)

// crash is a crash of an engine that ran the request.
type crash struct {
	// id identifies the observation. Entries that observe the same crash use different IDs.
	id uint32
	// incarnation is the hash of the engine's incarnation.
	incarnation uint32
	at          clock.Millis
	// trial is true if the engine ran the request as a trial.
	trial bool
	// isolatedTrial is true if this entry ran the trial while it was isolated.
	isolatedTrial bool
	// confirmed is true if this entry itself found that the engine crashed.
	confirmed bool
	// unresponsive is true if the only evidence is that the engine became unresponsive. at is
	// then the time at which the request was sent.
	unresponsive bool
	// loss is the ID of the loss of many engines that the crash belongs to, zero if there is
	// none.
	loss uint32
	// maybeLost is true if a peer reported the crash soon after a loss of which it may be part.
	maybeLost bool
}

// success is a successful run. Successes are compared by ID, since their times become less
// accurate each time they are passed on.
type success struct {
	// id is zero if no success is known.
	id uint32
	at clock.Millis
}

// trial is a run that tests whether a request crashes its engine.
type trial struct {
	// id is zero if there is no trial.
	id uint32
	// incarnation is the hash of the engine's incarnation, zero until an engine is chosen.
	incarnation uint32
	// deadline is when the trial is over at the latest.
	deadline clock.Millis
	// own is true if this entry claimed the trial, and isolated if it did so while isolated.
	own, isolated bool
}

func (t trial) isRunning(now clock.Millis) bool { return t.id != 0 && now < t.deadline }

// record is what an entry knows of a whole request or of a part of prompts.
type record struct {
	digest      Digest
	fingerprint uint32
	// part is true for a part of prompts.
	part bool
	// crashes holds the latest crashes in order of time. All are later than success, and at
	// most largeGroup of them are simultaneous. If there are too many, those of trials are
	// kept.
	crashes []crash
	success success
	// trial is the latest trial.
	trial trial
	// suspected is true if the record had SuspectStrikes strikes since the latest success. Peers
	// may still suspect it.
	suspected bool
	// correctedAt is when this entry last corrected a peer that reported crashes from before
	// success.
	correctedAt clock.Millis
	// incarnations holds the incarnations under which the record is indexed.
	incarnations []uint32
	// usedAt is when the request was last submitted, or new information on it was received.
	usedAt clock.Millis
}

// strikes returns the number of strikes since the latest success. Simultaneous crashes count
// once. For a whole request they count twice if there are at least largeGroup of them, but a
// part that many requests share may be at all engines of a rack that fails.
//
// A loss of many engines is a strike only if largeGroup of them had the record, which may then
// have crashed them all. Otherwise it is one strike once there is another one that is no part of
// the loss.
func (r *record) strikes() int {
	n, minor, sure := 0, 0, false
	for _, group := range r.groups() {
		if group[0].loss != 0 && len(group) < largeGroup {
			minor = 1
			continue
		}
		n++
		sure = sure || slices.ContainsFunc(group, func(c crash) bool { return !c.maybeLost })
		if len(group) >= largeGroup && !r.part {
			n++
		}
	}
	if sure {
		n += minor
	}
	return n
}

// onlyLost reports whether nothing is known of the record but crashes that are no strikes.
func (r *record) onlyLost() bool {
	return len(r.crashes) > 0 && r.strikes() == 0 && r.success.id == 0 && r.trial.id == 0
}

// groups returns the simultaneous crashes, those of one loss together.
func (r *record) groups() [][]crash {
	byLoss := map[uint32][]crash{}
	var others []crash
	for _, c := range r.crashes {
		if c.loss == 0 {
			others = append(others, c)
			continue
		}
		byLoss[c.loss] = append(byLoss[c.loss], c)
	}
	return append(groups(others), slices.Collect(maps.Values(byLoss))...)
}

// isConfirmed reports whether this entry confirmed any of the crashes itself.
func (r *record) isConfirmed() bool {
	return slices.ContainsFunc(r.crashes, func(c crash) bool { return c.confirmed })
}

// groups splits crashes, which are in order of time, into groups of simultaneous ones.
func groups(crashes []crash) [][]crash {
	var out [][]crash
	start := 0
	for i := range crashes {
		if crashes[i].at-crashes[start].at > crashes[i].groupWindow() {
			out = append(out, crashes[start:i])
			start = i
		}
	}
	if start < len(crashes) {
		out = append(out, crashes[start:])
	}
	return out
}

// groupWindow returns the time within which the crash is simultaneous with an earlier one.
// For unresponsive engines, times only tell when the copies of the request were sent.
func (c crash) groupWindow() clock.Millis {
	if c.unresponsive {
		return sendWindow
	}
	return crashWindow
}

// lastCrashAt returns the time of the latest crash. There must be one.
func (r *record) lastCrashAt() clock.Millis { return r.crashes[len(r.crashes)-1].at }

// addCrash adds a crash and reports whether the record changed. Reports arrive in any order,
// so a crash that adds no information must not count as a change, or entries would pass it on
// to each other forever.
func (r *record) addCrash(c crash) bool {
	if r.success.id != 0 && c.at <= r.success.at {
		return false
	}
	if i := slices.IndexFunc(r.crashes, c.isSame); i >= 0 {
		r.crashes[i].confirmed = r.crashes[i].confirmed || c.confirmed
		return false
	}
	if c.unresponsive && slices.ContainsFunc(r.crashes, c.isSameOutage) {
		return false
	}
	crashes := slices.Clone(r.crashes)
	if !c.unresponsive {
		crashes = slices.DeleteFunc(crashes, func(o crash) bool { return o.unresponsive && c.isSameOutage(o) })
	}
	crashes = append(crashes, c)
	slices.SortStableFunc(crashes, func(a, b crash) int { return cmp.Compare(a.at, b.at) })
	for _, group := range groups(crashes) {
		if len(group) > largeGroup && slices.ContainsFunc(group, c.isSame) {
			return false
		}
	}
	r.crashes = trimCrashes(crashes)
	return slices.ContainsFunc(r.crashes, c.isSame)
}

// trimCrashes drops the oldest crashes beyond maxCrashes. It keeps trials as long as there
// are others: they are the proof, and a late report may make another crash count twice.
func trimCrashes(crashes []crash) []crash {
	for len(crashes) > maxCrashes {
		drop := max(0, slices.IndexFunc(crashes, func(c crash) bool { return !c.trial }))
		crashes = slices.Delete(crashes, drop, drop+1)
	}
	return crashes
}

// isSame reports whether two observations are of the same crash.
func (c crash) isSame(o crash) bool {
	diff := c.at - o.at
	return c.id == o.id || (c.incarnation == o.incarnation && max(diff, -diff) <= sameCrashTolerance)
}

// isSameOutage reports whether two observations, at least one of which is of an unresponsive
// engine, belong to the same outage. Requests that are sent to an engine that is already
// unresponsive prove nothing more.
func (c crash) isSameOutage(o crash) bool {
	diff := c.at - o.at
	return c.incarnation == o.incarnation && max(diff, -diff) <= brokenRetention
}

// addSuccess records a success, and reports whether the record changed.
func (r *record) addSuccess(s success) bool {
	if s.id == r.success.id {
		r.success.at = min(r.success.at, s.at)
		return false
	}
	if r.success.id != 0 && s.at <= r.success.at {
		return false
	}
	r.success = s
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return c.at <= s.at })
	return true
}

// mergeTrial records a trial or its end, and reports whether the record changed. If two
// entries claimed trials before they received each other's claim, the one with the smaller ID
// wins.
func (r *record) mergeTrial(t trial, now clock.Millis) bool {
	switch {
	case t.id == r.trial.id && r.trial.incarnation == 0 && t.incarnation != 0:
		r.trial.incarnation, r.trial.deadline = t.incarnation, t.deadline
		return true
	case t.id == r.trial.id:
		changed := t.deadline < r.trial.deadline-crashWindow
		r.trial.deadline = min(r.trial.deadline, t.deadline)
		return changed
	case t.id == 0, !t.isRunning(now), r.trial.isRunning(now) && r.trial.id < t.id:
		return false
	}
	r.trial = t
	return true
}

// removeRefuted removes the crashes of an incarnation that are refuted by data received now on
// a connection that was opened at openedAt: those after openedAt, and those for which the
// engine was merely unresponsive. It reports whether it removed any.
func (r *record) removeRefuted(incarnation uint32, openedAt, now clock.Millis) bool {
	n := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool {
		return c.incarnation == incarnation && (c.unresponsive || openedAt+ageTolerance < c.at) && now > c.at+lateReadGrace
	})
	return len(r.crashes) != n
}

// removeCrash removes the same crash as c, and reports whether there was one.
func (r *record) removeCrash(c crash) bool {
	n := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, c.isSame)
	return len(r.crashes) != n
}

// hasConfirmedTrials reports whether at least n trials ended with a crash that this entry
// confirmed.
func (r *record) hasConfirmedTrials(n int) bool {
	for _, c := range r.crashes {
		if c.trial && c.confirmed {
			n--
		}
	}
	return n <= 0
}

// hasCrash reports whether a crash in the record matches.
func (r *record) hasCrash(match func(crash) bool) bool { return slices.ContainsFunc(r.crashes, match) }

// confirm marks the crashes of an incarnation as confirmed by this entry.
func (r *record) confirm(incarnation uint32) {
	for i := range r.crashes {
		if r.crashes[i].incarnation == incarnation && !r.crashes[i].unresponsive {
			r.crashes[i].confirmed = true
		}
	}
}
