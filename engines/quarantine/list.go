package quarantine

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
)

// A request that crashes engines is present at every crash it causes, never succeeds, and is
// submitted again. A request that was on a crashing engine by coincidence succeeds when it is
// retried. Therefore each crash is a strike for all requests on that engine, and a success
// clears all strikes of a request. The time that a request ran before the crash is ignored:
// it may crash its engine with the first token or with a late one.
//
// A request with two strikes is a suspect. It is sent as a trial only: by one entry at a
// time, to the engine with the fewest other requests. A crash during a trial is proof, unless
// other engines crashed at the same time. After two proofs the request is held back for as
// long as clients submit it.
//
// When n requests run on each of 12 engines, a crash gives n-1 of them a strike by
// coincidence. In the worst case all of them are retried at once, and each meets the next
// crash with a probability of 1 in 12. The number of other requests that become suspects by
// coincidence, and are tried, per request that crashes engines is (TestCoincidentStrikesAreFew,
// 200 simulations each): 0.7 of 8 requests that run at once, 6 of 64, 19 of 200. None of them
// is held back for good, since that takes an engine that crashes for another reason during
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

	// isolatedRetryAfter is the Retry-After time at an isolated entry. It is short because
	// clients retry at another entry.
	isolatedRetryAfter clock.Millis = 10

	// maxStruck, maxUnconfirmed and maxConfirmed limit the records that are kept: those with
	// at most one strike, those with more strikes that only peers reported, and all others.
	// A record takes about 250 bytes.
	maxStruck      = 4096
	maxUnconfirmed = 256
	maxConfirmed   = 1024
)

// Admission tells how a request may be sent.
type Admission interface{ admission() }

type (
	// Allowed requests are routed as usual.
	Allowed struct{}
	// Trial requests are sent to a lightly loaded engine, and no other entry sends the same
	// request at that time. The caller first waits for ClaimSettleTime, since another entry
	// may have claimed the trial as well. OwnsTrial then tells whether the trial may run, and
	// the caller must call StartTrial or EndTrial.
	Trial struct{ Strikes int }
	// Held requests are not sent.
	Held struct {
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

// List holds what one entry knows of the requests under which engines crashed. It reads no
// clock and does no locking: callers pass the time and synchronize access.
type List struct {
	randomID func() uint32
	// struck holds records with at most one strike, unconfirmed and confirmed those with
	// more. Records without a crash that this entry confirmed itself are in unconfirmed, so
	// that reports of peers never evict this entry's own findings.
	struck, unconfirmed, confirmed *simplelru.LRU[Digest, *record]
	// fingerprints counts the records by fingerprint.
	fingerprints map[uint32]int
	// byIncarnation indexes the records by the engine incarnations that crashed under them.
	byIncarnation map[uint32][]*record
	// recent holds the latest engine crashes under any request.
	recent []crashTime
	broken brokenAttempts
	// outbox holds the requests to report to peers.
	outbox outbox
	// nextSample is the position of the next sample of suspects.
	nextSample int
	// sweptAt is when expired records were last removed.
	sweptAt clock.Millis
	// historyUnknownUntil is the time until which requests may have crashed engines without
	// any entry knowing of it.
	historyUnknownUntil clock.Millis
}

// NewList returns an empty list. randomID returns the random IDs by which the observations of
// different entries are distinguished.
func NewList(randomID func() uint32) *List {
	l := &List{randomID: randomID, fingerprints: map[uint32]int{}, byIncarnation: map[uint32][]*record{}, broken: newBrokenAttempts()}
	onEvict := func(_ Digest, r *record) { l.unindex(r) }
	// NewLRU fails only for sizes that are not positive.
	l.struck, _ = simplelru.NewLRU(maxStruck, onEvict)
	l.unconfirmed, _ = simplelru.NewLRU(maxUnconfirmed, onEvict)
	l.confirmed, _ = simplelru.NewLRU(maxConfirmed, onEvict)
	return l
}

// Fingerprint returns a cheap hash that differs for most requests. The body of a request is
// only digested if a request with the same fingerprint is on the list.
func Fingerprint(key RequestKey, bodyLength int) uint32 {
	h := xxh3.HashString(key.URI)
	for _, part := range []string{key.Workspace, key.Host, key.Method} {
		h = xxh3.HashStringSeed(part, h)
	}
	return uint32(h ^ uint64(bodyLength)*0x9e3779b97f4a7c15)
}

// MayContain reports whether a request with the fingerprint is on the list or has a broken
// attempt.
func (l *List) MayContain(fingerprint uint32) bool {
	return l.fingerprints[fingerprint] > 0 || l.broken.fingerprints[fingerprint] > 0
}

// SetHistoryUnknownUntil sets the time until which requests may have crashed engines without
// any entry knowing of it, because all entries started recently. Until then a single crash
// makes a request a suspect, unless other engines crashed at the same time, and a single
// trial in which only its engine crashed holds it back for unconfirmedPause.
func (l *List) SetHistoryUnknownUntil(until clock.Millis) { l.historyUnknownUntil = until }

// isSuspect reports whether a request may only be sent as a trial.
func (l *List) isSuspect(r *record, now clock.Millis) bool {
	s := r.strikes()
	return s >= SuspectStrikes || (s > 0 && now < l.historyUnknownUntil && !r.crashes[0].unresponsive && l.otherCrashes(r.crashes[0]) <= maxOtherCrashes)
}

// Admit decides whether a request may be sent, and claims its trial if there is to be one.
// isolated is true if this entry receives nothing from others. It then holds back all
// requests with a strike: they may have crashed more engines elsewhere, and another entry can
// accept them.
func (l *List) Admit(d Digest, isolated bool, now clock.Millis) Admission {
	r := l.get(d)
	if r == nil || r.strikes() == 0 {
		return Allowed{}
	}
	l.touch(r, now)
	s := r.strikes()
	held := Held{Strikes: s, SinceCrash: now - r.lastCrashAt(), RetryAfter: TrialRetryAfter}
	if isolated {
		held.RetryAfter = isolatedRetryAfter
		return held
	}
	if !l.isSuspect(r, now) {
		return Allowed{}
	}
	if r.trial.isRunning(now) {
		held.TrialRunning = true
		return held
	}
	if pause := l.remainingPauseOf(r, now); pause > 0 {
		held.RetryAfter = pause
		return held
	}
	r.trial = trial{id: l.newID(), deadline: now + claimTimeout, own: true}
	l.outbox.add(d, true)
	return Trial{Strikes: s}
}

// OwnsTrial reports whether this entry holds the claim for the trial of a request.
func (l *List) OwnsTrial(d Digest, now clock.Millis) bool {
	r := l.get(d)
	return r != nil && r.trial.own && r.trial.isRunning(now)
}

// RemainingPause returns how long a request must not be sent, whether or not its trial is
// claimed. It takes into account what was received since the claim.
func (l *List) RemainingPause(d Digest, now clock.Millis) clock.Millis {
	if r := l.get(d); r != nil && r.strikes() > 0 {
		return l.remainingPauseOf(r, now)
	}
	return 0
}

// remainingPauseOf returns the rest of the pause after the latest crash, zero or less if it
// is over.
func (l *List) remainingPauseOf(r *record, now clock.Millis) clock.Millis {
	return min(r.lastCrashAt()+l.pause(r, now)-now, Retention)
}

// pause returns how long after its latest crash a suspect is not sent.
func (l *List) pause(r *record, now clock.Millis) clock.Millis {
	isolated, all := l.failures(r, func(crash) bool { return true })
	switch {
	case isProven(l.failures(r, func(c crash) bool { return c.confirmed })):
		// This exceeds Retention: the request is held back for as long as it is submitted.
		return 2 * Retention
	case isProven(isolated, all):
		return unconfirmedPause
	case now < l.historyUnknownUntil && l.hasIsolatedFailure(r):
		return unconfirmedPause
	case slices.ContainsFunc(r.crashes, func(c crash) bool { return c.trial }):
		return retrialPause
	}
	return 0
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
// other's claims ran both.
func (l *List) failures(r *record, counts func(crash) bool) (isolated, all int) {
	for _, group := range groups(r.crashes) {
		failed := slices.DeleteFunc(slices.Clone(group), func(c crash) bool { return !c.trial || !counts(c) })
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

// crashTime is the time at which an engine incarnation crashed.
type crashTime struct {
	incarnation uint32
	at          clock.Millis
}

// otherCrashes returns how many other engines crashed at the same time.
func (l *List) otherCrashes(c crash) int {
	n := 0
	for _, o := range l.recent {
		if diff := o.at - c.at; o.incarnation != c.incarnation && max(diff, -diff) <= crashWindow {
			n++
		}
	}
	return n
}

// noteCrash adds an engine crash to recent, unless it is there already.
func (l *List) noteCrash(incarnation uint32, at clock.Millis) {
	if slices.ContainsFunc(l.recent, func(o crashTime) bool {
		return o.incarnation == incarnation && max(o.at-at, at-o.at) <= sameCrashTolerance
	}) {
		return
	}
	l.recent = append(l.recent, crashTime{incarnation: incarnation, at: at})
	l.recent = l.recent[max(0, len(l.recent)-maxRecentCrashes):]
}

// StartTrial records the engine of a trial that this entry claimed. It does nothing if the
// claim is not held anymore.
func (l *List) StartTrial(d Digest, incarnation uint32, now clock.Millis) {
	if l.OwnsTrial(d, now) {
		t := &l.get(d).trial
		t.incarnation, t.deadline = incarnation, now+TrialTimeout
		l.outbox.add(d, true)
	}
}

// EndTrial records that this entry's trial of a request ended without a result. It does
// nothing if there is no such trial.
func (l *List) EndTrial(d Digest, now clock.Millis) {
	if l.OwnsTrial(d, now) {
		l.get(d).trial.deadline = now
		l.outbox.add(d, true)
	}
}

// Attempt is an attempt to run a request at an engine.
type Attempt struct {
	// ID is the client's request ID, for logs.
	ID          string
	Digest      Digest
	Fingerprint uint32
	// Incarnation is the hash of the engine's incarnation.
	Incarnation uint32
	// Trial is true if the attempt was a trial.
	Trial bool
	// Silent is true if the engine sent nothing, rather than close the connection.
	Silent bool
}

// RecordCrash records that an engine crashed during an attempt, and returns the strikes of
// the request.
func (l *List) RecordCrash(a Attempt, now clock.Millis) int { return l.recordCrashAt(a, now, now) }

// recordCrashAt is like RecordCrash, for a crash in the past.
func (l *List) recordCrashAt(a Attempt, at, now clock.Millis) int {
	l.ConfirmCrash(a.Incarnation)
	return l.addStrike(a, crash{at: at, confirmed: true}, now)
}

// RecordUnresponsive records that an engine became unresponsive during an attempt that was
// sent at sentAt, and returns the strikes of the request. The strike is removed when data is
// received from the engine, and such strikes alone hold a request back for at most
// unconfirmedPause.
func (l *List) RecordUnresponsive(a Attempt, sentAt, now clock.Millis) int {
	return l.addStrike(a, crash{at: sentAt, unresponsive: true}, now)
}

func (l *List) addStrike(a Attempt, c crash, now clock.Millis) int {
	r := l.get(a.Digest)
	if r == nil {
		r = &record{digest: a.Digest, fingerprint: a.Fingerprint}
	}
	l.EndTrial(a.Digest, now)
	l.noteCrash(a.Incarnation, c.at)
	c.id, c.incarnation, c.trial = l.newID(), a.Incarnation, a.Trial
	changed := r.addCrash(c)
	r.usedAt = now
	l.put(r)
	if changed {
		l.outbox.add(a.Digest, l.isSuspect(r, now))
	}
	return r.strikes()
}

// RecordBrokenAttempt records an attempt that broke at an engine which may have crashed. A
// trial remains in progress until that is known or its deadline passes, so that the request
// is not sent in the meantime.
func (l *List) RecordBrokenAttempt(a Attempt, now clock.Millis) { l.broken.add(a, now) }

// Strike is an attempt that was found to have been broken by a crash.
type Strike struct {
	Attempt
	// Strikes is the number of strikes that the request has now.
	Strikes int
	// Delay is the time since the attempt broke.
	Delay clock.Millis
}

// RecordIncarnationEnd records evidence that an engine incarnation crashed, and returns the
// attempts that it broke. Each becomes a strike as of the time at which it broke.
func (l *List) RecordIncarnationEnd(incarnation uint32, now clock.Millis) []Strike {
	var out []Strike
	for _, b := range l.broken.takeCrashed(incarnation, now) {
		out = append(out, Strike{Attempt: b.Attempt, Strikes: l.recordCrashAt(b.Attempt, b.at, now), Delay: now - b.at})
	}
	return out
}

// RecordSuccess records that a request succeeded, and reports whether it had strikes.
func (l *List) RecordSuccess(d Digest, now clock.Millis) bool {
	l.EndTrial(d, now)
	l.broken.remove(func(b brokenAttempt) bool { return b.Digest == d })
	r := l.get(d)
	if r == nil || r.strikes() == 0 {
		return false
	}
	suspect := r.strikes() >= SuspectStrikes
	r.addSuccess(success{id: l.newID(), at: now})
	l.touch(r, now)
	l.put(r)
	if suspect {
		l.outbox.add(d, true)
	}
	return true
}

// RecordAlive records that data was received from an engine on a connection that was opened
// at openedAt. This refutes a crash after openedAt. It does not refute an earlier one: the
// engine may have restarted under the same ID, with a list of engines that is out of date.
func (l *List) RecordAlive(incarnation uint32, openedAt, now clock.Millis) {
	for _, r := range l.recordsOf(incarnation) {
		if r.removeRefuted(incarnation, openedAt, now) {
			l.put(r)
		}
	}
	for _, b := range l.broken.removeAlive(incarnation, openedAt, now) {
		if b.Trial {
			l.EndTrial(b.Digest, now)
		}
	}
}

// ConfirmCrash records that this entry itself found that an engine crashed.
func (l *List) ConfirmCrash(incarnation uint32) {
	for _, r := range l.recordsOf(incarnation) {
		r.confirm(incarnation)
		l.put(r)
	}
}

// UnresponsiveIncarnations returns the incarnations of engines that became unresponsive while
// they had the request.
func (l *List) UnresponsiveIncarnations(d Digest) []uint32 {
	r := l.get(d)
	if r == nil {
		return nil
	}
	var out []uint32
	for _, c := range r.crashes {
		if c.unresponsive {
			out = append(out, c.incarnation)
		}
	}
	return out
}

// Strikes returns the number of strikes of a request.
func (l *List) Strikes(d Digest) int {
	if r := l.get(d); r != nil {
		return r.strikes()
	}
	return 0
}

// Empty reports whether the list has no records and no broken attempts.
func (l *List) Empty() bool { return len(l.fingerprints) == 0 && len(l.broken.attempts) == 0 }

// Counts returns the number of requests that are suspects or held back, and the number of
// others with a strike.
func (l *List) Counts() (suspects, struck int) {
	for _, r := range l.all() {
		switch s := r.strikes(); {
		case s >= SuspectStrikes:
			suspects++
		case s > 0:
			struck++
		}
	}
	return suspects, struck
}

// sweepInterval is the time between two removals of expired records.
const sweepInterval clock.Millis = 10_000

// Sweep removes records without a recent submission or strike.
func (l *List) Sweep(now clock.Millis) {
	if now-l.sweptAt < sweepInterval {
		return
	}
	l.sweptAt = now
	l.broken.expire(now)
	for _, r := range l.all() {
		retention := Retention
		if r.strikes() < SuspectStrikes {
			retention = strikeRetention
		}
		if now-r.usedAt > retention {
			l.cacheOf(r).Remove(r.digest)
		}
	}
}

func (l *List) get(d Digest) *record {
	for _, c := range l.caches() {
		if r, ok := c.Get(d); ok {
			return r
		}
	}
	return nil
}

func (l *List) touch(r *record, now clock.Millis) { r.usedAt = max(r.usedAt, now) }

// caches returns the caches that may hold a record, those with fewer records first.
func (l *List) caches() [3]*simplelru.LRU[Digest, *record] {
	return [3]*simplelru.LRU[Digest, *record]{l.confirmed, l.unconfirmed, l.struck}
}

func (l *List) all() []*record {
	var out []*record
	for _, c := range l.caches() {
		out = append(out, c.Values()...)
	}
	return out
}

// cacheOf returns the cache to which a record belongs.
func (l *List) cacheOf(r *record) *simplelru.LRU[Digest, *record] {
	switch {
	case r.strikes() < SuspectStrikes:
		return l.struck
	case !r.isConfirmed():
		return l.unconfirmed
	}
	return l.confirmed
}

// put adds a record, or moves it to the cache to which it belongs now.
func (l *List) put(r *record) {
	to := l.cacheOf(r)
	for _, c := range l.caches() {
		c.Remove(r.digest)
	}
	l.index(r)
	to.Add(r.digest, r)
}

// recordsOf returns the requests under which an engine incarnation crashed.
func (l *List) recordsOf(incarnation uint32) []*record {
	return slices.Clone(l.byIncarnation[incarnation])
}

// index adds a record to the indexes, unindex removes it. The record's incarnations must not
// change in between.
func (l *List) index(r *record) {
	l.fingerprints[r.fingerprint]++
	for _, c := range r.crashes {
		l.byIncarnation[c.incarnation] = append(l.byIncarnation[c.incarnation], r)
		r.incarnations = append(r.incarnations, c.incarnation)
	}
}

func (l *List) unindex(r *record) {
	if l.fingerprints[r.fingerprint]--; l.fingerprints[r.fingerprint] <= 0 {
		delete(l.fingerprints, r.fingerprint)
	}
	for _, incarnation := range r.incarnations {
		rest := slices.DeleteFunc(l.byIncarnation[incarnation], func(o *record) bool { return o == r })
		if l.byIncarnation[incarnation] = rest; len(rest) == 0 {
			delete(l.byIncarnation, incarnation)
		}
	}
	r.incarnations = nil
}

// newID returns a random number that is never zero.
func (l *List) newID() uint32 { return max(1, l.randomID()) }
