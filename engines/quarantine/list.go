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
	failedAlone = 2
	failedMost  = 3
	// fewOthers is how many other engines may end in the moment of a trial that is proof:
	// another request may end one, a rack is more.
	fewOthers = 1
	// recentMost bounds the ends of engines that are remembered to tell such moments.
	recentMost = 256
	// retrialPause is how long after a failed trial there is another: the time in which all
	// entries have heard of it, and in which an engine that ended by itself is back.
	retrialPause clock.Millis = 1000
	// toldPause bounds the pause where this entry itself found none of the engines that
	// ended to be away: a peer that lies holds back what it names for no longer.
	toldPause clock.Millis = 300_000
	// Retention is how long a request is remembered after it last came or struck.
	Retention clock.Millis = 3_600_000
	// suspectFor is that time for requests with one strike at most.
	suspectFor clock.Millis = 600_000
	// TrialTimeout bounds a trial; a longer run shows nothing more.
	TrialTimeout clock.Millis = 5000
	// ClaimSettleTime is how long it takes until all entries have heard of a claim: some five
	// steps of a few milliseconds among hundreds.
	ClaimSettleTime clock.Millis = 100
	// claimLimit bounds a claim that never becomes a trial, since its entry is gone.
	claimLimit clock.Millis = 2000
	// TrialRetryAfter is when a request may come back of which a trial is under way: most
	// runs are over by then.
	TrialRetryAfter clock.Millis = 250

	// aloneBack is when a request may come back that this entry does not send while it
	// hears no others: callers come back to another.
	aloneBack clock.Millis = 10

	// suspectsMost, toldMost and heldMost bound the requests that are remembered: those
	// with one strike at most, those held back on the word of others alone, and the
	// rest. They have some 250 bytes each.
	suspectsMost = 4096
	toldMost     = 256
	heldMost     = 1024
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
	ids func() uint32
	// suspects have one strike at most, told and held more; told has those of which no
	// end is confirmed, so that what others tell never pushes out what this entry knows.
	suspects, told, held *simplelru.LRU[Digest, *record]
	// shapes counts the requests that are remembered by their shape.
	shapes map[uint32]int
	// byLife has the requests under which a life of an engine ended.
	byLife map[uint32][]*record
	// recent are the latest ends of engines under any request.
	recent []moment
	breaks breaks
	// news are the requests of which others are to be told, urgent ones first.
	news outbox
	// next is the place in the sample that is told next.
	next int
	// sweptAt is when old records were last dropped.
	sweptAt clock.Millis
	// amnesiaUntil is until when requests may have ended engines of which no entry knows.
	amnesiaUntil clock.Millis
}

// NewList returns an empty list. ids draws the numbers that tell what entries saw apart.
func NewList(ids func() uint32) *List {
	l := &List{ids: ids, shapes: map[uint32]int{}, byLife: map[uint32][]*record{}, breaks: newBreaks()}
	dropped := func(_ Digest, r *record) { l.leave(r) }
	// NewLRU fails only for sizes that are not positive.
	l.suspects, _ = simplelru.NewLRU(suspectsMost, dropped)
	l.told, _ = simplelru.NewLRU(toldMost, dropped)
	l.held, _ = simplelru.NewLRU(heldMost, dropped)
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
	return l.shapes[shape] > 0 || l.breaks.shapes[shape] > 0
}

// SetHistoryLostUntil says until when requests may have ended engines of which no entry knows, since
// all entries have started lately. One end of an engine then makes a suspect, unless others
// ended with it, and one trial that failed alone holds a request back for some minutes.
func (l *List) SetHistoryLostUntil(until clock.Millis) { l.amnesiaUntil = until }

// isSuspect reports whether a request is only sent alone.
func (l *List) isSuspect(r *record, now clock.Millis) bool {
	s := r.strikes()
	return s >= SuspectStrikes || (s > 0 && now < l.amnesiaUntil && !r.ends[0].dark && l.others(r.ends[0]) <= fewOthers)
}

// Admit says what may be done with a request, and claims the trial if there is to be
// one. alone is true if this entry cannot hear others: what ended one engine here may
// have ended more elsewhere, and others can take the request.
func (l *List) Admit(d Digest, alone bool, now clock.Millis) Admission {
	r := l.get(d)
	if r == nil || r.strikes() == 0 {
		return Allowed{}
	}
	l.use(r, now)
	s := r.strikes()
	held := Held{Strikes: s, SinceCrash: now - r.lastEnd(), RetryAfter: TrialRetryAfter}
	if alone {
		held.RetryAfter = aloneBack
		return held
	}
	if !l.isSuspect(r, now) {
		return Allowed{}
	}
	if r.trial.underWay(now) {
		held.TrialRunning = true
		return held
	}
	if left := l.restOf(r, now); left > 0 {
		held.RetryAfter = left
		return held
	}
	r.trial = trial{id: l.newID(), until: now + claimLimit, own: true}
	l.news.add(d, true)
	return Trial{Strikes: s}
}

// OwnsTrial reports whether this entry may run the trial of a request that it claimed.
func (l *List) OwnsTrial(d Digest, now clock.Millis) bool {
	r := l.get(d)
	return r != nil && r.trial.own && r.trial.underWay(now)
}

// RemainingPause returns how long a request that may be on trial is not to be sent, as is known now: what
// came since the trial was claimed counts.
func (l *List) RemainingPause(d Digest, now clock.Millis) clock.Millis {
	if r := l.get(d); r != nil && r.strikes() > 0 {
		return l.restOf(r, now)
	}
	return 0
}

// restOf is the rest of the pause after the latest end, zero or less if it is over.
func (l *List) restOf(r *record, now clock.Millis) clock.Millis {
	return min(r.lastEnd()+l.pause(r, now)-now, Retention)
}

// pause is how long after the latest end a suspect is not sent.
func (l *List) pause(r *record, now clock.Millis) clock.Millis {
	alone, all := l.failures(r, func(end) bool { return true })
	switch {
	case proved(l.failures(r, func(e end) bool { return e.confirmed })):
		// It is remembered for as long as it comes.
		return 2 * Retention
	case proved(alone, all):
		return toldPause
	case now < l.amnesiaUntil && l.failedOnceAlone(r):
		return toldPause
	case slices.ContainsFunc(r.ends, func(e end) bool { return e.trial }):
		return retrialPause
	}
	return 0
}

// failedOnceAlone reports whether a trial failed in which only its engine ended, other than
// by going dark.
func (l *List) failedOnceAlone(r *record) bool {
	alone, _ := l.failures(r, func(e end) bool { return !e.dark })
	return alone > 0
}

// proved reports whether failed trials have shown that a request ends its engine.
func proved(alone, all int) bool { return alone >= failedAlone || all >= failedMost }

// failures returns in how many trials of a request only its engine ended, and in how many
// its engine did, by those of its ends that count. Trials that ended in one go are one:
// entries that did not hear of each other ran both.
func (l *List) failures(r *record, counts func(end) bool) (alone, all int) {
	for _, group := range groups(r.ends) {
		failed := slices.DeleteFunc(slices.Clone(group), func(e end) bool { return !e.trial || !counts(e) })
		if len(failed) == 0 {
			continue
		}
		all++
		if l.others(failed[0]) <= fewOthers {
			alone++
		}
	}
	return alone, all
}

// moment is when a life of an engine ended.
type moment struct {
	life uint32
	at   clock.Millis
}

// others returns how many other engines ended in the moment of an end.
func (l *List) others(e end) int {
	n := 0
	for _, m := range l.recent {
		if apart := m.at - e.at; m.life != e.life && max(apart, -apart) <= together {
			n++
		}
	}
	return n
}

// noteEnd remembers when an engine ended.
func (l *List) noteEnd(life uint32, at clock.Millis) {
	if slices.ContainsFunc(l.recent, func(m moment) bool { return m.life == life && max(m.at-at, at-m.at) <= oneLife }) {
		return
	}
	l.recent = append(l.recent, moment{life: life, at: at})
	l.recent = l.recent[max(0, len(l.recent)-recentMost):]
}

// StartTrial records the engine of a trial that this entry claimed.
func (l *List) StartTrial(d Digest, life uint32, now clock.Millis) {
	if l.OwnsTrial(d, now) {
		t := &l.get(d).trial
		t.life, t.until = life, now+TrialTimeout
		l.news.add(d, true)
	}
}

// EndTrial records that a trial of this entry, if there is one, ended without a result.
func (l *List) EndTrial(d Digest, now clock.Millis) {
	if l.OwnsTrial(d, now) {
		l.get(d).trial.until = now
		l.news.add(d, true)
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
func (l *List) RecordCrash(a Attempt, now clock.Millis) int { return l.ended(a, now, now) }

// ended is Ended of an end that was at a time that has passed.
func (l *List) ended(a Attempt, at, now clock.Millis) int {
	l.ConfirmCrash(a.Incarnation)
	return l.strike(a, end{at: at, confirmed: true}, now)
}

// RecordUnresponsive records that an engine went dark under a request that was sent to it at a time, and
// returns the strikes that the request has now. The strike holds until the engine is heard,
// and what is held back by such alone is for some minutes.
func (l *List) RecordUnresponsive(a Attempt, sent, now clock.Millis) int {
	return l.strike(a, end{at: sent, dark: true}, now)
}

func (l *List) strike(a Attempt, e end, now clock.Millis) int {
	r := l.get(a.Digest)
	if r == nil {
		r = &record{digest: a.Digest, shape: a.Fingerprint}
	}
	l.EndTrial(a.Digest, now)
	l.noteEnd(a.Incarnation, e.at)
	e.id, e.life, e.trial = l.newID(), a.Incarnation, a.Trial
	news := r.add(e)
	r.usedAt = now
	l.put(r)
	if news {
		l.news.add(a.Digest, l.isSuspect(r, now))
	}
	return r.strikes()
}

// RecordBrokenAttempt remembers an attempt that broke off at an engine that may have ended or not. A
// trial goes on until that shows, or it is over: the same request is not sent meanwhile.
func (l *List) RecordBrokenAttempt(a Attempt, now clock.Millis) { l.breaks.add(a, now) }

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
	for _, o := range l.breaks.take(life, now) {
		out = append(out, Strike{Attempt: o.Attempt, Strikes: l.ended(o.Attempt, o.at, now), Delay: now - o.at})
	}
	return out
}

// RecordSuccess records that a request ran well, and reports whether it had strikes.
func (l *List) RecordSuccess(d Digest, now clock.Millis) bool {
	l.EndTrial(d, now)
	l.breaks.drop(func(o broken) bool { return o.Digest == d })
	r := l.get(d)
	if r == nil || r.strikes() == 0 {
		return false
	}
	suspect := r.strikes() >= SuspectStrikes
	r.ranWell(well{id: l.newID(), at: now})
	l.use(r, now)
	l.put(r)
	if suspect {
		l.news.add(d, true)
	}
	return true
}

// RecordAlive records that an engine was heard on a connection that came up at a time, which
// takes back that it ended since. Hearing it on a newer one says nothing: it may have
// started again under its id, and the list be late.
func (l *List) RecordAlive(life uint32, since, now clock.Millis) {
	for _, r := range l.underLife(life) {
		if r.alive(life, since, now) {
			l.put(r)
		}
	}
	for _, o := range l.breaks.alive(life, since, now) {
		if o.Trial {
			l.EndTrial(o.Digest, now)
		}
	}
}

// ConfirmCrash records that this entry found out by itself that an engine ended.
func (l *List) ConfirmCrash(life uint32) {
	for _, r := range l.underLife(life) {
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
	for _, e := range r.ends {
		if e.dark {
			out = append(out, e.life)
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
func (l *List) Empty() bool { return len(l.shapes) == 0 && len(l.breaks.latest) == 0 }

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
const sweepPeriod clock.Millis = 10_000

// Sweep drops what did not come or strike for long.
func (l *List) Sweep(now clock.Millis) {
	if now-l.sweptAt < sweepPeriod {
		return
	}
	l.sweptAt = now
	l.breaks.expire(now)
	for _, r := range l.all() {
		keep := Retention
		if r.strikes() < SuspectStrikes {
			keep = suspectFor
		}
		if now-r.usedAt > keep {
			l.listOf(r).Remove(r.digest)
		}
	}
}

func (l *List) get(d Digest) *record {
	for _, in := range l.lists() {
		if r, ok := in.Get(d); ok {
			return r
		}
	}
	return nil
}

func (l *List) use(r *record, now clock.Millis) { r.usedAt = max(r.usedAt, now) }

// lists are where a record may be, the fewest first.
func (l *List) lists() [3]*simplelru.LRU[Digest, *record] {
	return [3]*simplelru.LRU[Digest, *record]{l.held, l.told, l.suspects}
}

func (l *List) all() []*record {
	var out []*record
	for _, in := range l.lists() {
		out = append(out, in.Values()...)
	}
	return out
}

// listOf is where a record belongs.
func (l *List) listOf(r *record) *simplelru.LRU[Digest, *record] {
	switch {
	case r.strikes() < SuspectStrikes:
		return l.suspects
	case !r.isConfirmed():
		return l.told
	}
	return l.held
}

// put enters a record, or moves it to where it belongs now.
func (l *List) put(r *record) {
	to := l.listOf(r)
	for _, in := range l.lists() {
		in.Remove(r.digest)
	}
	l.enter(r)
	to.Add(r.digest, r)
}

// underLife returns the requests under which a life of an engine ended.
func (l *List) underLife(life uint32) []*record { return slices.Clone(l.byLife[life]) }

// enter puts a record in the indexes, leave takes it out. What it is indexed by does
// not change between the two.
func (l *List) enter(r *record) {
	l.shapes[r.shape]++
	for _, e := range r.ends {
		l.byLife[e.life] = append(l.byLife[e.life], r)
		r.lives = append(r.lives, e.life)
	}
}

func (l *List) leave(r *record) {
	if l.shapes[r.shape]--; l.shapes[r.shape] <= 0 {
		delete(l.shapes, r.shape)
	}
	for _, life := range r.lives {
		left := slices.DeleteFunc(l.byLife[life], func(o *record) bool { return o == r })
		if l.byLife[life] = left; len(left) == 0 {
			delete(l.byLife, life)
		}
	}
	r.lives = nil
}

// newID returns a number that is never zero.
func (l *List) newID() uint32 { return max(1, l.ids()) }
