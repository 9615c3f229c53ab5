package quarantine

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

// A request that crashes engines is present at every crash it causes, never succeeds, and is
// submitted again. A request that was on a crashing engine by coincidence succeeds when it is
// retried. Therefore each crash is a strike for all requests on that engine, and a success
// clears all strikes of a request. The time that a request ran before the crash is ignored:
// it may crash its engine with the first token or with a late one.
//
// The same holds for a part of a prompt that many requests share: the one that crashes engines
// is present at each crash and never in a request that succeeds. Each crash is therefore a
// strike for the parts of all requests on that engine as well, and what follows applies to
// parts as to whole requests. All suspects in a request are tried together. A crash at which
// something is present that was proven to crash engines is no strike for anything else.
//
// A request with two strikes is a suspect. It is sent as a trial only: by one entry at a
// time, to the engine with the fewest other requests. A crash during a trial is proof, unless
// other engines crashed at the same time. After two proofs the request is held back for an hour
// after its latest crash, and then tried again.
//
// When n requests run on each of 12 engines, a crash gives n-1 of them a strike by
// coincidence. In the worst case all of them are retried at once, and each meets the next
// crash with a probability of 1 in 12. The number of other requests that become suspects by
// coincidence, and are tried, per request that crashes engines is (TestCoincidentStrikesAreFew,
// 200 simulations each): 0.7 of 8 requests that run at once, 6 of 64, 19 of 200. None of them
// is held back for long, since that takes an engine that crashes for another reason during
// the request's trial, twice.
const (
	// SuspectStrikes is the number of strikes that make a request a suspect.
	SuspectStrikes = 2
	// A request is held back after minIsolatedFailures failed trials in which only its engine
	// crashed, or after minFailures failed trials of any kind.
	minIsolatedFailures = 2
	minFailures         = 3
	// maxOtherCrashes is the number of other engines that may crash at the same time without
	// invalidating a trial. One may crash under another request; more suggest a rack failure.
	maxOtherCrashes = 1
	// maxRecentCrashes limits the engine crashes that are kept to detect simultaneous ones.
	maxRecentCrashes = 256
	// retrialPause is the time between a failed trial and the next one. It suffices for all
	// entries to receive the result, and for an engine that crashed for another reason to
	// restart.
	retrialPause clock.Millis = 1000
	// provenPause is how long after its latest crash a request is held back that is proven to
	// crash engines. Each of its crashes may still have had another cause, and later engines may
	// run it.
	provenPause = Retention
	// unconfirmedPause limits how long a request is held back if this entry itself found none
	// of its crashed engines to be unreachable. It limits the effect of false reports.
	unconfirmedPause clock.Millis = 300_000
	// Retention is how long a suspect is kept after its last submission or strike.
	Retention clock.Millis = 3_600_000
	// strikeRetention is the retention of requests with at most one strike.
	strikeRetention clock.Millis = 600_000
	// TrialTimeout limits a trial; running longer proves nothing more.
	TrialTimeout clock.Millis = 5000
	// ClaimSettleTime is how long a claim takes to reach all entries: about five hops of a
	// few milliseconds among hundreds of entries.
	ClaimSettleTime clock.Millis = 100
	// claimTimeout limits a claim that never becomes a trial because its entry terminated.
	claimTimeout clock.Millis = 2000
	// TrialRetryAfter is the Retry-After time while a trial of the request is running, by
	// which most trials are over.
	TrialRetryAfter clock.Millis = 250

	// isolatedPause is the least time between a crash and a trial at an isolated entry. Trials
	// that another entry may have claimed are over by then.
	isolatedPause = TrialTimeout
	// isolatedFailurePause is how long a whole request is held back after a failed trial of an
	// isolated entry. With the crashes that other entries know of, the request may be proven.
	isolatedFailurePause clock.Millis = 60_000
	// isolatedRetryAfter is the Retry-After time at an isolated entry. It is short because
	// clients retry at another entry.
	isolatedRetryAfter clock.Millis = 10
)

// partPauses are the times between the failed trials of a part and the next one. They grow, so
// that a part that keeps crashing engines crashes few more, and one that was blamed for other
// crashes is soon sent again.
var partPauses = []clock.Millis{retrialPause, 10_000, 100_000}

const (
	// maxUncountedTrials is the number of failed trials of a part that may not count for a
	// request.
	maxUncountedTrials = 2
	// maxCulprits is the number of parts that are assumed to crash engines at the same time.
	maxCulprits = 2
)

// Admission tells how a request may be sent.
type Admission interface{ admission() }

type (
	// Allowed requests are routed as usual.
	Allowed struct{}
	// Trial requests are sent to a lightly loaded engine, and no other entry sends the same
	// request at that time. The caller first waits for ClaimSettleTime, since another entry
	// may have claimed the trial as well. OwnsTrial then tells whether the trial may run, and
	// the caller must call StartTrial or EndTrial for each of the Suspects.
	Trial struct {
		Strikes  int
		Suspects []Digest
	}
	// Held requests are not sent.
	Held struct {
		// Suspect is the suspect that holds the request back.
		Suspect Digest
		// Part is true if that is a part of the prompt.
		Part    bool
		Strikes int
		// SinceCrash is the time since the latest crash.
		SinceCrash clock.Millis
		// RetryAfter is the time after which the client may retry.
		RetryAfter clock.Millis
		// TrialRunning is true if a trial of the request is running.
		TrialRunning bool
	}
)

func (Allowed) admission() {}
func (Trial) admission()   {}
func (Held) admission()    {}

// isSuspect reports whether a request with the record may only be sent as a trial.
func (l *List) isSuspect(r *record, now clock.Millis) bool {
	s := r.strikes()
	return s >= SuspectStrikes || (s > 0 && now < l.historyUnknownUntil && !l.succeeded.Contains(r.digest) &&
		!r.crashes[0].unresponsive && l.otherCrashes(r.crashes[0]) <= maxOtherCrashes)
}

// Subjects are the digests of all that can be blamed in one request: the request as a whole
// and the parts of its prompt that other requests may share.
type Subjects []Digest

// records returns the records of the subjects that have strikes.
func (l *List) records(s Subjects) []*record {
	var out []*record
	for _, d := range s {
		if r := l.get(d); r != nil && r.strikes() > 0 {
			out = append(out, r)
		}
	}
	return out
}

// Admit decides whether a request may be sent, and claims its trial if there is to be one.
// isolated is true if this entry receives nothing from others. Whole requests with a strike are
// then suspects too, since they may have crashed more engines elsewhere, and for isolatedPause
// after a crash a suspect is held back for another entry. The others may have ended, so that
// this entry tries the suspect after that.
func (l *List) Admit(s Subjects, isolated bool, now clock.Millis) Admission {
	suspects := l.needTrial(s, isolated, now)
	if len(suspects) == 0 {
		return Allowed{}
	}
	var longest *Held
	for _, r := range suspects {
		if held := l.holdOf(r, s, isolated, now); held != nil && (longest == nil || held.RetryAfter > longest.RetryAfter) {
			longest = held
		}
	}
	if longest != nil {
		return *longest
	}
	id := l.newTrialID(suspects, now)
	out := Trial{}
	for _, r := range suspects {
		l.setTrial(r, trial{id: id, deadline: now + claimTimeout, own: true, isolated: isolated})
		l.queue(r, true)
		out.Strikes = max(out.Strikes, r.strikes())
		out.Suspects = append(out.Suspects, r.digest)
	}
	return out
}

// needTrial returns the records for which Admit does not simply allow a request.
func (l *List) needTrial(s Subjects, isolated bool, now clock.Millis) []*record {
	var suspects []*record
	for _, r := range l.records(s) {
		l.touch(r, now)
		if l.isSuspect(r, now) || (isolated && !r.part) {
			suspects = append(suspects, r)
		}
	}
	return suspects
}

// newTrialID returns the ID of a new trial of the suspects. It wins over the trials of them that
// are running, which include other suspects.
func (l *List) newTrialID(suspects []*record, now clock.Millis) uint32 {
	id := l.newID()
	for _, r := range suspects {
		if r.trial.isRunning(now) && r.trial.id > 1 {
			id = min(id, 1+id%(r.trial.id-1))
		}
	}
	return id
}

// setTrial sets the trial of a record, which belongs to all suspects in the request.
func (l *List) setTrial(r *record, t trial) {
	r.trial = t
	if !slices.Contains(l.byTrial[t.id], r.digest) {
		l.byTrial[t.id] = append(l.byTrial[t.id], r.digest)
	}
}

// covers reports whether a trial of a part concerns requests with the given subjects. It does not
// if it includes another suspect, which may be what crashes engines: then a request without that
// one is tried at the same time.
func (l *List) covers(t trial, s Subjects) bool {
	return !slices.ContainsFunc(l.byTrial[t.id], func(d Digest) bool { return !slices.Contains(s, d) })
}

// holdOf returns why a suspect holds back a request with the given subjects, nil if it does
// not.
func (l *List) holdOf(r *record, s Subjects, isolated bool, now clock.Millis) *Held {
	held := Held{Suspect: r.digest, Part: r.part, Strikes: r.strikes(), SinceCrash: now - r.lastCrashAt(), RetryAfter: TrialRetryAfter}
	if r.trial.isRunning(now) && (!r.part || l.covers(r.trial, s)) {
		held.TrialRunning = true
		return &held
	}
	pause := l.remainingPauseOf(r, s, now)
	if isolated {
		pause = max(pause, r.lastCrashAt()+isolatedPause-now)
	}
	if pause <= 0 {
		return nil
	}
	held.RetryAfter = pause
	if isolated {
		held.RetryAfter = isolatedRetryAfter
	}
	return &held
}

// OwnsTrial reports whether this entry holds the claim for the trial of a suspect.
func (l *List) OwnsTrial(d Digest, now clock.Millis) bool {
	r := l.get(d)
	return r != nil && r.trial.own && r.trial.isRunning(now)
}

// RemainingPause returns how long a request must not be sent, whether or not its trial is
// claimed. It takes into account what was received since the claim.
func (l *List) RemainingPause(s Subjects, now clock.Millis) clock.Millis {
	longest := clock.Millis(0)
	for _, r := range l.records(s) {
		longest = max(longest, l.remainingPauseOf(r, s, now))
	}
	return longest
}

// remainingPauseOf returns the rest of the pause after the latest crash, zero or less if it
// is over.
func (l *List) remainingPauseOf(r *record, s Subjects, now clock.Millis) clock.Millis {
	pause := l.pause(r, now)
	if r.part {
		pause = l.partPause(r, s, now)
	}
	return r.lastCrashAt() + pause - now
}

// pause returns how long after its latest crash a suspected whole request is not sent.
func (l *List) pause(r *record, now clock.Millis) clock.Millis {
	isolated, all := l.failures(r, func(crash) bool { return true })
	switch {
	case isProven(l.failures(r, func(c crash) bool { return c.confirmed })):
		return provenPause
	case isProven(isolated, all):
		return unconfirmedPause
	case now < l.historyUnknownUntil && l.hasIsolatedFailure(r):
		return unconfirmedPause
	case r.hasCrash(func(c crash) bool { return c.isolatedTrial }):
		return isolatedFailurePause
	case r.hasCrash(func(c crash) bool { return c.trial }):
		return retrialPause
	}
	return 0
}

// partPause returns how long after the latest crash under a suspected part a request with the
// given subjects is not sent. Unlike a whole request, a part is tried again after it has been
// proven to crash engines: many requests may share it, and a later software version of the
// engines may run it. Failed trials of the part beside a suspect that the request lacks do not
// count, since that suspect may have caused the crashes. At most maxUncountedTrials are left
// out, or all of them if maxCulprits such suspects suffice to explain them: otherwise the part
// comes with others each time.
func (l *List) partPause(r *record, s Subjects, now clock.Millis) clock.Millis {
	var others [][]*record
	_, all := l.failures(r, func(c crash) bool {
		others = append(others, slices.DeleteFunc(l.companions(r, c, now), func(o *record) bool { return slices.Contains(s, o.digest) }))
		return true
	})
	if all == 0 || coveredBy(others, maxCulprits) {
		return 0
	}
	_, failed := l.failures(r, func(c crash) bool {
		return !slices.ContainsFunc(l.companions(r, c, now), func(o *record) bool { return !slices.Contains(s, o.digest) })
	})
	failed = max(failed, all-maxUncountedTrials)
	if failed > 0 && now < l.historyUnknownUntil {
		failed++
	}
	switch {
	case failed <= 0:
		return 0
	case failed <= len(partPauses):
		return partPauses[failed-1]
	case isProven(l.failures(r, func(c crash) bool { return c.confirmed })):
		return provenPause
	}
	return unconfirmedPause
}

// coveredBy reports whether at most n records suffice to have one in each of the sets.
func coveredBy(sets [][]*record, n int) bool {
	if len(sets) == 0 {
		return true
	}
	if n == 0 {
		return false
	}
	return slices.ContainsFunc(sets[0], func(r *record) bool {
		rest := slices.DeleteFunc(slices.Clone(sets), func(set []*record) bool { return slices.Contains(set, r) })
		return coveredBy(rest, n-1)
	})
}

// companions returns the other suspects that may have caused the crash at the end of a trial of
// a record: parts that were on the engine, and whole requests that were tried too.
func (l *List) companions(r *record, c crash, now clock.Millis) []*record {
	var out []*record
	for _, o := range l.byIncarnation[c.incarnation] {
		if o == r || !l.isSuspect(o, now) || slices.Contains(out, o) {
			continue
		}
		if o.hasCrash(func(oc crash) bool { return c.isSame(oc) && (o.part || oc.trial) }) {
			out = append(out, o)
		}
	}
	return out
}

// isProvenAlone reports whether failed trials that this entry confirmed prove that a record
// crashes engines, whatever else the requests hold.
func (l *List) isProvenAlone(r *record, now clock.Millis) bool {
	if !r.hasConfirmedTrials(minIsolatedFailures) {
		return false
	}
	return isProven(l.failures(r, func(c crash) bool { return c.confirmed && len(l.companions(r, c, now)) == 0 }))
}

// isExplained reports whether another record that is proven to crash engines was present at a
// crash, which therefore says nothing about r.
func (l *List) isExplained(r *record, c crash, now clock.Millis) bool {
	return slices.ContainsFunc(l.byIncarnation[c.incarnation], func(o *record) bool {
		return o != r && slices.ContainsFunc(o.crashes, c.isSame) && l.isProvenAlone(o, now)
	})
}

// clearExplained removes the crashes of a record from all others if the record is proven to
// crash engines.
func (l *List) clearExplained(r *record, now clock.Millis) {
	if !l.isProvenAlone(r, now) {
		return
	}
	for _, c := range r.crashes {
		for _, o := range l.recordsOf(c.incarnation) {
			if o != r && !l.isProvenAlone(o, now) && o.removeCrash(c) {
				l.put(o)
			}
		}
	}
}

// hasIsolatedFailure reports whether a trial failed in which only its engine crashed. Trials
// whose engine became unresponsive do not count.
func (l *List) hasIsolatedFailure(r *record) bool {
	isolated, _ := l.failures(r, func(c crash) bool { return !c.unresponsive })
	return isolated > 0
}

// isProven reports whether failed trials prove that a request crashes engines.
func isProven(isolated, all int) bool { return isolated >= minIsolatedFailures || all >= minFailures }

// failures returns the number of failed trials of a request, considering only the crashes for
// which counts returns true: isolated counts the trials in which only its engine crashed.
// Trials that failed at the same time count once, since entries that did not receive each
// other's claims ran both. A trial that ended with a loss of many engines proves nothing.
func (l *List) failures(r *record, counts func(crash) bool) (isolated, all int) {
	for _, group := range groups(r.crashes) {
		failed := slices.DeleteFunc(slices.Clone(group), func(c crash) bool { return !c.trial || c.loss != 0 || !counts(c) })
		if len(failed) == 0 {
			continue
		}
		all++
		if l.otherCrashes(failed[0]) <= maxOtherCrashes {
			isolated++
		}
	}
	return isolated, all
}
