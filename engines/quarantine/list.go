package quarantine

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
)

// A request that ends the engines which run it is on all engines that end, never ends
// well, and comes again. One that was there by chance runs well when it is sent once
// more. So each end of an engine is a strike for all that ran there, and a run that
// ends well takes all strikes back. How long a request had run is not looked at: it
// may end its engine with the first token or with a late one.
//
// Two strikes make a suspect. It is tried alone: by one entry at a time, at the engine
// with the fewest others. A trial whose engine ends is proof, unless other engines ended
// in the same moment; two of them hold the request back for as long as it comes.
//
// Of n requests that run on each of 12 engines, an end strikes n - 1 by chance. Those of
// them that come again at once, as all do in the worst case, meet the next end with a
// chance of 1 in 12. For each request that ends engines so many others become suspects by
// chance, and are tried (TestChanceStrikesFew, 200 plays each): 0.7 of 8 that run at
// once, 6 of 64, 19 of 200. None of them is held back for good: that takes an engine which
// ends by itself within the time of one run, twice.
const (
	// SuspectStrikes is how many strikes make a request a suspect.
	SuspectStrikes = 2
	// failedAlone and failedMost are how many failed trials hold a request back: those in
	// which only its engine ended, and any.
	minIsolatedFailures = 2
	minFailures         = 3
	// fewOthers is how many other engines may end in the moment of a trial that is proof:
	// another request may end one, a rack is more.
	maxOtherCrashes = 1
	// recentMost bounds the ends of engines that are remembered to tell such moments.
	maxRecentCrashes = 256
	// retrialPause is how long after a failed trial there is another: the time in which all
	// entries have heard of it, and in which an engine that ended by itself is back.
	retrialPause clock.Millis = 1000
	// toldPause bounds the pause where this entry itself found none of the engines that
	// ended to be away: a peer that lies holds back what it names for no longer.
	unconfirmedPause clock.Millis = 300_000
	// Retention is how long a request is remembered after it last came or struck.
	Retention clock.Millis = 3_600_000
	// suspectFor is that time for requests with one strike at most.
	strikeRetention clock.Millis = 600_000
	// TrialTimeout bounds a trial; a longer run shows nothing more.
	TrialTimeout clock.Millis = 5000
	// ClaimSettleTime is how long it takes until all entries have heard of a claim: some five
	// steps of a few milliseconds among hundreds.
	ClaimSettleTime clock.Millis = 100
	// claimLimit bounds a claim that never becomes a trial, since its entry is gone.
	claimTimeout clock.Millis = 2000
	// TrialRetryAfter is when a request may come back of which a trial is under way: most
	// runs are over by then.
	TrialRetryAfter clock.Millis = 250

	// aloneBack is when a request may come back that this entry does not send while it
	// hears no others: callers come back to another.
	isolatedRetryAfter clock.Millis = 10

	// suspectsMost, toldMost and heldMost bound the requests that are remembered: those
	// with one strike at most, those held back on the word of others alone, and the
	// rest. They have some 250 bytes each.
	maxStruck      = 4096
	maxUnconfirmed = 256
	maxConfirmed   = 1024
)

// Admission says what may be done with a request.
type Admission interface{ admission() }

type (
	// Allowed requests go where they usually do.
	Allowed struct{}
	// Trial requests go to an engine with few others, and nobody else sends the same
	// meanwhile. They wait for Settle first, since another entry may have claimed it as
	// well; then Claimed says whether they may go, and Placed or Over must follow.
	Trial struct{ Strikes int }
	// Held requests are not sent.
	Held struct {
		Strikes int
		// SinceCrash is how long ago the latest engine ended under it.
		SinceCrash clock.Millis
		// RetryAfter is when it may come back.
		RetryAfter clock.Millis
		// TrialRunning is true if a trial is under way.
		TrialRunning bool
	}
)

func (Allowed) admission() {}
func (Trial) admission()   {}
func (Held) admission()    {}

// List has what one entry knows of the requests under which engines ended. It is pure:
// the time is handed in, and callers lock.
type List struct {
	randomID func() uint32
	// suspects have one strike at most, told and held more; told has those of which no
	// end is confirmed, so that what others tell never pushes out what this entry knows.
	struck, unconfirmed, confirmed *simplelru.LRU[Digest, *record]
	// shapes counts the requests that are remembered by their shape.
	fingerprints map[uint32]int
	// byLife has the requests under which a life of an engine ended.
	byIncarnation map[uint32][]*record
	// recent are the latest ends of engines under any request.
	recent []crashTime
	broken brokenAttempts
	// news are the requests of which others are to be told, urgent ones first.
	outbox outbox
	// next is the place in the sample that is told next.
	nextSample int
	// sweptAt is when old records were last dropped.
	sweptAt clock.Millis
	// amnesiaUntil is until when requests may have ended engines of which no entry knows.
	historyUnknownUntil clock.Millis
}

// NewList returns an empty list. ids draws the numbers that tell what entries saw apart.
func NewList(ids func() uint32) *List {
	l := &List{randomID: ids, fingerprints: map[uint32]int{}, byIncarnation: map[uint32][]*record{}, broken: newBrokenAttempts()}
	dropped := func(_ Digest, r *record) { l.unindex(r) }
	// NewLRU fails only for sizes that are not positive.
	l.struck, _ = simplelru.NewLRU(maxStruck, dropped)
	l.unconfirmed, _ = simplelru.NewLRU(maxUnconfirmed, dropped)
	l.confirmed, _ = simplelru.NewLRU(maxConfirmed, dropped)
	return l
}

// Fingerprint tells most requests apart at a glance, so that the body of one is only digested
// if one of its shape is remembered.
func Fingerprint(a RequestKey, bodyLength int) uint32 {
	h := xxh3.HashString(a.URI)
	for _, part := range []string{a.Workspace, a.Host, a.Method} {
		h = xxh3.HashStringSeed(part, h)
	}
	return uint32(h ^ uint64(bodyLength)*0x9e3779b97f4a7c15)
}

// MayContain reports whether a request of a shape is remembered.
func (l *List) MayContain(shape uint32) bool {
	return l.fingerprints[shape] > 0 || l.broken.fingerprints[shape] > 0
}

// SetHistoryUnknownUntil says until when requests may have ended engines of which no entry knows, since
// all entries have started lately. One end of an engine then makes a suspect, unless others
// ended with it, and one trial that failed alone holds a request back for some minutes.
func (l *List) SetHistoryUnknownUntil(until clock.Millis) { l.historyUnknownUntil = until }

// isSuspect reports whether a request is only sent alone.
func (l *List) isSuspect(r *record, now clock.Millis) bool {
	s := r.strikes()
	return s >= SuspectStrikes || (s > 0 && now < l.historyUnknownUntil && !r.crashes[0].unresponsive && l.otherCrashes(r.crashes[0]) <= maxOtherCrashes)
}

// Admit says what may be done with a request, and claims the trial if there is to be
// one. alone is true if this entry cannot hear others: what ended one engine here may
// have ended more elsewhere, and others can take the request.
func (l *List) Admit(d Digest, alone bool, now clock.Millis) Admission {
	r := l.get(d)
	if r == nil || r.strikes() == 0 {
		return Allowed{}
	}
	l.touch(r, now)
	s := r.strikes()
	held := Held{Strikes: s, SinceCrash: now - r.lastCrashAt(), RetryAfter: TrialRetryAfter}
	if alone {
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
	if left := l.remainingPauseOf(r, now); left > 0 {
		held.RetryAfter = left
		return held
	}
	r.trial = trial{id: l.newID(), deadline: now + claimTimeout, own: true}
	l.outbox.add(d, true)
	return Trial{Strikes: s}
}

// OwnsTrial reports whether this entry may run the trial of a request that it claimed.
func (l *List) OwnsTrial(d Digest, now clock.Millis) bool {
	r := l.get(d)
	return r != nil && r.trial.own && r.trial.isRunning(now)
}

// RemainingPause returns how long a request that may be on trial is not to be sent, as is known now: what
// came since the trial was claimed counts.
func (l *List) RemainingPause(d Digest, now clock.Millis) clock.Millis {
	if r := l.get(d); r != nil && r.strikes() > 0 {
		return l.remainingPauseOf(r, now)
	}
	return 0
}

// restOf is the rest of the pause after the latest end, zero or less if it is over.
func (l *List) remainingPauseOf(r *record, now clock.Millis) clock.Millis {
	return min(r.lastCrashAt()+l.pause(r, now)-now, Retention)
}

// pause is how long after the latest end a suspect is not sent.
func (l *List) pause(r *record, now clock.Millis) clock.Millis {
	alone, all := l.failures(r, func(crash) bool { return true })
	switch {
	case isProven(l.failures(r, func(e crash) bool { return e.confirmed })):
		// It is remembered for as long as it comes.
		return 2 * Retention
	case isProven(alone, all):
		return unconfirmedPause
	case now < l.historyUnknownUntil && l.hasIsolatedFailure(r):
		return unconfirmedPause
	case slices.ContainsFunc(r.crashes, func(e crash) bool { return e.trial }):
		return retrialPause
	}
	return 0
}

// failedOnceAlone reports whether a trial failed in which only its engine ended, other than
// by going dark.
func (l *List) hasIsolatedFailure(r *record) bool {
	alone, _ := l.failures(r, func(e crash) bool { return !e.unresponsive })
	return alone > 0
}

// proved reports whether failed trials have shown that a request ends its engine.
func isProven(alone, all int) bool { return alone >= minIsolatedFailures || all >= minFailures }

// failures returns in how many trials of a request only its engine ended, and in how many
// its engine did, by those of its ends that count. Trials that ended in one go are one:
// entries that did not hear of each other ran both.
func (l *List) failures(r *record, counts func(crash) bool) (alone, all int) {
	for _, group := range groups(r.crashes) {
		failed := slices.DeleteFunc(slices.Clone(group), func(e crash) bool { return !e.trial || !counts(e) })
		if len(failed) == 0 {
			continue
		}
		all++
		if l.otherCrashes(failed[0]) <= maxOtherCrashes {
			alone++
		}
	}
	return alone, all
}

// moment is when a life of an engine ended.
type crashTime struct {
	incarnation uint32
	at          clock.Millis
}

// others returns how many other engines ended in the moment of an end.
func (l *List) otherCrashes(e crash) int {
	n := 0
	for _, m := range l.recent {
		if apart := m.at - e.at; m.incarnation != e.incarnation && max(apart, -apart) <= crashWindow {
			n++
		}
	}
	return n
}

// noteEnd remembers when an engine ended.
func (l *List) noteCrash(life uint32, at clock.Millis) {
	if slices.ContainsFunc(l.recent, func(m crashTime) bool { return m.incarnation == life && max(m.at-at, at-m.at) <= sameCrashTolerance }) {
		return
	}
	l.recent = append(l.recent, crashTime{incarnation: life, at: at})
	l.recent = l.recent[max(0, len(l.recent)-maxRecentCrashes):]
}

// StartTrial records the engine of a trial that this entry claimed.
func (l *List) StartTrial(d Digest, life uint32, now clock.Millis) {
	if l.OwnsTrial(d, now) {
		t := &l.get(d).trial
		t.incarnation, t.deadline = life, now+TrialTimeout
		l.outbox.add(d, true)
	}
}

// EndTrial records that a trial of this entry, if there is one, ended without a result.
func (l *List) EndTrial(d Digest, now clock.Millis) {
	if l.OwnsTrial(d, now) {
		l.get(d).trial.deadline = now
		l.outbox.add(d, true)
	}
}

// Attempt is a request at an engine.
type Attempt struct {
	// ID is the caller's, for logs.
	ID          string
	Digest      Digest
	Fingerprint uint32
	// Incarnation is the mark of the life of the engine.
	Incarnation uint32
	// Trial is true if it was a trial.
	Trial bool
	// Silent is true if the engine gave no sign, rather than break the connection.
	Silent bool
}

// RecordCrash records that an engine ended while it had a request, and returns the strikes
// that the request has now.
func (l *List) RecordCrash(a Attempt, now clock.Millis) int { return l.recordCrashAt(a, now, now) }

// ended is Ended of an end that was at a time that has passed.
func (l *List) recordCrashAt(a Attempt, at, now clock.Millis) int {
	l.ConfirmCrash(a.Incarnation)
	return l.addStrike(a, crash{at: at, confirmed: true}, now)
}

// RecordUnresponsive records that an engine went dark under a request that was sent to it at a time, and
// returns the strikes that the request has now. The strike holds until the engine is heard,
// and what is held back by such alone is for some minutes.
func (l *List) RecordUnresponsive(a Attempt, sent, now clock.Millis) int {
	return l.addStrike(a, crash{at: sent, unresponsive: true}, now)
}

func (l *List) addStrike(a Attempt, e crash, now clock.Millis) int {
	r := l.get(a.Digest)
	if r == nil {
		r = &record{digest: a.Digest, fingerprint: a.Fingerprint}
	}
	l.EndTrial(a.Digest, now)
	l.noteCrash(a.Incarnation, e.at)
	e.id, e.incarnation, e.trial = l.newID(), a.Incarnation, a.Trial
	news := r.addCrash(e)
	r.usedAt = now
	l.put(r)
	if news {
		l.outbox.add(a.Digest, l.isSuspect(r, now))
	}
	return r.strikes()
}

// RecordBrokenAttempt remembers an attempt that broke off at an engine that may have ended or not. A
// trial goes on until that shows, or it is over: the same request is not sent meanwhile.
func (l *List) RecordBrokenAttempt(a Attempt, now clock.Millis) { l.broken.add(a, now) }

// Strike is an attempt whose engine ended, as was found out later.
type Strike struct {
	Attempt
	// Strikes is how many the request has now, and Late how long ago it broke off.
	Strikes int
	Delay   clock.Millis
}

// RecordIncarnationEnd records that a life of an engine ended, and returns the attempts that broke
// off with it: each is struck as of when it did.
func (l *List) RecordIncarnationEnd(life uint32, now clock.Millis) []Strike {
	var out []Strike
	for _, o := range l.broken.takeCrashed(life, now) {
		out = append(out, Strike{Attempt: o.Attempt, Strikes: l.recordCrashAt(o.Attempt, o.at, now), Delay: now - o.at})
	}
	return out
}

// RecordSuccess records that a request ran well, and reports whether it had strikes.
func (l *List) RecordSuccess(d Digest, now clock.Millis) bool {
	l.EndTrial(d, now)
	l.broken.remove(func(o brokenAttempt) bool { return o.Digest == d })
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

// RecordAlive records that an engine was heard on a connection that came up at a time, which
// takes back that it ended since. Hearing it on a newer one says nothing: it may have
// started again under its id, and the list be late.
func (l *List) RecordAlive(life uint32, since, now clock.Millis) {
	for _, r := range l.recordsOf(life) {
		if r.removeRefuted(life, since, now) {
			l.put(r)
		}
	}
	for _, o := range l.broken.removeAlive(life, since, now) {
		if o.Trial {
			l.EndTrial(o.Digest, now)
		}
	}
}

// ConfirmCrash records that this entry found out by itself that an engine ended.
func (l *List) ConfirmCrash(life uint32) {
	for _, r := range l.recordsOf(life) {
		r.confirm(life)
		l.put(r)
	}
}

// UnresponsiveIncarnations returns the lives of engines that went dark under a request.
func (l *List) UnresponsiveIncarnations(d Digest) []uint32 {
	r := l.get(d)
	if r == nil {
		return nil
	}
	var out []uint32
	for _, e := range r.crashes {
		if e.unresponsive {
			out = append(out, e.incarnation)
		}
	}
	return out
}

// Strikes returns how many strikes a request has.
func (l *List) Strikes(d Digest) int {
	if r := l.get(d); r != nil {
		return r.strikes()
	}
	return 0
}

// Empty reports whether nothing is remembered.
func (l *List) Empty() bool { return len(l.fingerprints) == 0 && len(l.broken.attempts) == 0 }

// Counts returns how many requests are suspects or held back, and how many more have
// a strike.
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

// sweepPeriod is how often old records are looked for.
const sweepInterval clock.Millis = 10_000

// Sweep drops what did not come or strike for long.
func (l *List) Sweep(now clock.Millis) {
	if now-l.sweptAt < sweepInterval {
		return
	}
	l.sweptAt = now
	l.broken.expire(now)
	for _, r := range l.all() {
		keep := Retention
		if r.strikes() < SuspectStrikes {
			keep = strikeRetention
		}
		if now-r.usedAt > keep {
			l.cacheOf(r).Remove(r.digest)
		}
	}
}

func (l *List) get(d Digest) *record {
	for _, in := range l.caches() {
		if r, ok := in.Get(d); ok {
			return r
		}
	}
	return nil
}

func (l *List) touch(r *record, now clock.Millis) { r.usedAt = max(r.usedAt, now) }

// lists are where a record may be, the fewest first.
func (l *List) caches() [3]*simplelru.LRU[Digest, *record] {
	return [3]*simplelru.LRU[Digest, *record]{l.confirmed, l.unconfirmed, l.struck}
}

func (l *List) all() []*record {
	var out []*record
	for _, in := range l.caches() {
		out = append(out, in.Values()...)
	}
	return out
}

// listOf is where a record belongs.
func (l *List) cacheOf(r *record) *simplelru.LRU[Digest, *record] {
	switch {
	case r.strikes() < SuspectStrikes:
		return l.struck
	case !r.isConfirmed():
		return l.unconfirmed
	}
	return l.confirmed
}

// put enters a record, or moves it to where it belongs now.
func (l *List) put(r *record) {
	to := l.cacheOf(r)
	for _, in := range l.caches() {
		in.Remove(r.digest)
	}
	l.index(r)
	to.Add(r.digest, r)
}

// underLife returns the requests under which a life of an engine ended.
func (l *List) recordsOf(life uint32) []*record { return slices.Clone(l.byIncarnation[life]) }

// enter puts a record in the indexes, leave takes it out. What it is indexed by does
// not change between the two.
func (l *List) index(r *record) {
	l.fingerprints[r.fingerprint]++
	for _, e := range r.crashes {
		l.byIncarnation[e.incarnation] = append(l.byIncarnation[e.incarnation], r)
		r.incarnations = append(r.incarnations, e.incarnation)
	}
}

func (l *List) unindex(r *record) {
	if l.fingerprints[r.fingerprint]--; l.fingerprints[r.fingerprint] <= 0 {
		delete(l.fingerprints, r.fingerprint)
	}
	for _, life := range r.incarnations {
		left := slices.DeleteFunc(l.byIncarnation[life], func(o *record) bool { return o == r })
		if l.byIncarnation[life] = left; len(left) == 0 {
			delete(l.byIncarnation, life)
		}
	}
	r.incarnations = nil
}

// newID returns a number that is never zero.
func (l *List) newID() uint32 { return max(1, l.randomID()) }
