package quarantine

import (
	"maps"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
)

// maxStruck and maxStruckParts limit the whole requests and the parts with at most one strike
// that are kept, maxUnconfirmed the records with more strikes that only peers reported, and
// maxConfirmed all others. A record takes about 250 bytes.
const (
	maxStruck      = 4096
	maxStruckParts = 4096
	maxUnconfirmed = 256
	maxConfirmed   = 1024
	// maxSucceeded limits the parts that are known to succeed, at about 100 bytes each.
	maxSucceeded = 1024
)

// List holds what one entry knows of the requests under which engines crashed. It reads no
// clock and does no locking: callers pass the time and synchronize access.
type List struct {
	randomID func() uint32
	// struck and struckParts hold whole requests and parts with at most one strike, unconfirmed
	// and confirmed those with more. Records without a crash that this entry confirmed itself
	// are in unconfirmed, so that reports of peers never evict this entry's own findings.
	struck, struckParts, unconfirmed, confirmed *simplelru.LRU[Digest, *record]
	// fingerprints counts the records by fingerprint.
	fingerprints map[uint32]int
	// byIncarnation indexes the records by the engine incarnations that crashed under them.
	byIncarnation map[uint32][]*record
	// byTrial holds the suspects of the latest trials by the IDs of the trials.
	byTrial map[uint32][]Digest
	// recent holds the latest engine crashes under any request.
	recent []crashTime
	// losses holds the latest moments in which many engines ended.
	losses []*loss
	broken brokenAttempts
	// outbox and partOutbox hold the whole requests and the parts to report to peers. They are
	// sent in separate messages, since older versions reject a message with a part.
	outbox, partOutbox outbox
	// nextSample is the position of the next sample of suspects.
	nextSample int
	// sweptAt is when expired records were last removed.
	sweptAt clock.Millis
	// historyUnknownUntil is the time until which requests may have crashed engines without
	// any entry knowing of it.
	historyUnknownUntil clock.Millis
	// succeeded holds the parts of requests that succeeded while the history was unknown.
	succeeded *simplelru.LRU[Digest, struct{}]
}

// NewList returns an empty list. randomID returns the random IDs by which the observations of
// different entries are distinguished.
func NewList(randomID func() uint32) *List {
	l := &List{randomID: randomID, fingerprints: map[uint32]int{}, byIncarnation: map[uint32][]*record{}, byTrial: map[uint32][]Digest{}, broken: newBrokenAttempts()}
	onEvict := func(_ Digest, r *record) { l.unindex(r) }
	// NewLRU fails only for sizes that are not positive.
	l.struck, _ = simplelru.NewLRU(maxStruck, onEvict)
	l.struckParts, _ = simplelru.NewLRU(maxStruckParts, onEvict)
	l.unconfirmed, _ = simplelru.NewLRU(maxUnconfirmed, onEvict)
	l.confirmed, _ = simplelru.NewLRU(maxConfirmed, onEvict)
	l.succeeded, _ = simplelru.NewLRU[Digest, struct{}](maxSucceeded, nil)
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
// makes a request or a part a suspect, unless other engines crashed at the same time or the
// part is known to succeed. A single trial in which only its engine crashed then holds a
// request back for unconfirmedPause.
func (l *List) SetHistoryUnknownUntil(until clock.Millis) { l.historyUnknownUntil = until }

// RecordPartSuccess records that a request with a part succeeded, which may not be on the list.
func (l *List) RecordPartSuccess(d Digest) { l.succeeded.Add(d, struct{}{}) }

// Attempt is an attempt to run a request at an engine.
type Attempt struct {
	// ID is the client's request ID, for logs.
	ID          string
	Digest      Digest
	Fingerprint uint32
	// Parts are the parts of the prompt that other requests may share.
	Parts []AttemptPart
	// Incarnation is the hash of the engine's incarnation.
	Incarnation uint32
	// Trial is true if the attempt was a trial of the whole request.
	Trial bool
	// Silent is true if the engine sent nothing, rather than close the connection.
	Silent bool
}

// AttemptPart is a part of the prompt of a request that is attempted.
type AttemptPart struct {
	Digest      Digest
	Fingerprint uint32
	// Trial is true if the attempt was a trial of the part.
	Trial bool
}

// maxReportedParts limits the parts of an attempt that are reported to peers after one strike.
const maxReportedParts = 16

// RecordCrash records that an engine crashed during an attempt, and returns the strikes of
// the request.
func (l *List) RecordCrash(a Attempt, now clock.Millis) int { return l.recordCrashAt(a, now, now) }

// recordCrashAt is like RecordCrash, for a crash in the past.
func (l *List) recordCrashAt(a Attempt, at, now clock.Millis) int {
	l.ConfirmCrash(a.Incarnation, now)
	return l.addStrike(a, crash{at: at, confirmed: true}, now)
}

// RecordUnresponsive records that an engine became unresponsive during an attempt that was
// sent at sentAt, and returns the strikes of the request. The strike is removed when data is
// received from the engine, and such strikes alone hold a request back for at most
// unconfirmedPause.
func (l *List) RecordUnresponsive(a Attempt, sentAt, now clock.Millis) int {
	return l.addStrike(a, crash{at: sentAt, unresponsive: true}, now)
}

// addStrike adds a crash to the whole request and, unless the engine merely became
// unresponsive, to the parts of its prompt. It returns the strikes of the whole request.
func (l *List) addStrike(a Attempt, c crash, now clock.Millis) int {
	l.noteCrash(a.Incarnation, c.at, false)
	c.incarnation, c.loss = a.Incarnation, l.lossOf(a.Incarnation, c.at)
	for i, p := range a.Parts {
		if c.unresponsive {
			l.EndTrial(p.Digest, now)
			continue
		}
		c.trial = p.Trial
		l.addCrash(&record{digest: p.Digest, fingerprint: p.Fingerprint, part: true}, c, i < maxReportedParts, now)
	}
	c.trial = a.Trial
	return l.addCrash(&record{digest: a.Digest, fingerprint: a.Fingerprint}, c, true, now)
}

// addCrash adds a crash to the record with the digest of r, or to r itself if there is none,
// and returns its strikes. It queues a report if the record is a suspect now, or if report is
// true.
func (l *List) addCrash(r *record, c crash, report bool, now clock.Millis) int {
	if known := l.get(r.digest); known != nil {
		r = known
	}
	l.EndTrial(r.digest, now)
	if !c.unresponsive && l.isExplained(r, c, now) {
		return r.strikes()
	}
	c.id, c.isolatedTrial = l.newID(), c.trial && r.trial.own && r.trial.isolated
	changed := r.addCrash(c)
	r.usedAt = now
	l.put(r)
	if changed {
		l.clearExplained(r, now)
	}
	if suspect := l.isSuspect(r, now); changed && (suspect || report) {
		l.queue(r, suspect)
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

// RecordSuccess records that a whole request, or a request with a part, succeeded, and reports
// whether it had strikes.
func (l *List) RecordSuccess(d Digest, now clock.Millis) bool {
	l.EndTrial(d, now)
	l.broken.remove(func(b brokenAttempt) bool { return b.Digest == d })
	r := l.get(d)
	if r == nil || r.strikes() == 0 && !r.suspected {
		return false
	}
	struck, suspect := r.strikes() > 0, r.suspected || l.isSuspect(r, now)
	r.addSuccess(success{id: l.newID(), at: now})
	r.suspected = false
	l.touch(r, now)
	l.put(r)
	if suspect {
		l.queue(r, true)
	}
	return struck
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
		for _, d := range b.tried() {
			l.EndTrial(d, now)
		}
	}
}

// ConfirmCrash records that this entry itself found that an engine crashed.
func (l *List) ConfirmCrash(incarnation uint32, now clock.Millis) {
	records := l.recordsOf(incarnation)
	for _, r := range records {
		r.confirm(incarnation)
		l.put(r)
	}
	for _, r := range records {
		l.clearExplained(r, now)
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

// Strikes returns the number of strikes of a whole request or a part.
func (l *List) Strikes(d Digest) int {
	if r := l.get(d); r != nil {
		return r.strikes()
	}
	return 0
}

// Empty reports whether the list has no records and no broken attempts.
func (l *List) Empty() bool { return len(l.fingerprints) == 0 && len(l.broken.attempts) == 0 }

// Counts returns the number of whole requests and parts that are suspects, and the number of
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
	maps.DeleteFunc(l.byTrial, func(id uint32, ds []Digest) bool {
		return !slices.ContainsFunc(ds, func(d Digest) bool {
			r := l.get(d)
			return r != nil && r.trial.id == id && r.trial.isRunning(now)
		})
	})
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
func (l *List) caches() [4]*simplelru.LRU[Digest, *record] {
	return [4]*simplelru.LRU[Digest, *record]{l.confirmed, l.unconfirmed, l.struckParts, l.struck}
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
	case r.strikes() < SuspectStrikes && r.part:
		return l.struckParts
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
	r.suspected = r.suspected || r.strikes() >= SuspectStrikes
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
