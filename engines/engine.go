// Package engines is what one entry believes about the engines that it sends
// to directly: who is there by the platform's list, how loaded each is by its
// own answers, and whether it can be trusted by what became of requests. It
// is pure: news and the time are handed in, and callers lock.
package engines

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/route"
)

// Info is an engine as the platform lists it.
type Info struct {
	ID      string
	Service string
	// Addr is host:port.
	Addr string
	Hall string
	// Slots is how many requests run at once, at least 1.
	Slots int
	// Draining engines finish what they have and take nothing new.
	Draining bool
	// StartedAt is when the engine started by the clock of its machine, in Unix
	// milliseconds; zero if the list does not tell.
	StartedAt int64
	// WarmupLeft is how much longer the engine was cold when the list said so. It is
	// word of a moment: a Book does not keep it here.
	WarmupLeft clock.Millis
}

// Incarnation is one life of an engine. An engine may start again under the id
// that it had, and then knows and holds nothing of before.
type Incarnation struct {
	ID        string
	StartedAt int64
}

// Incarnation returns the life of the engine that is listed.
func (in Info) Incarnation() Incarnation { return Incarnation{ID: in.ID, StartedAt: in.StartedAt} }

// Hash tells the lives of engines apart in messages, where four bytes must do: among
// 10,000 engines there is a pair that shares one in 1 of 86 fleets. The start is hashed
// with the id, not as a seed: a seed is only combined with a short id by XOR.
func (n Incarnation) Hash() uint32 {
	var buf [64]byte
	return uint32(xxh3.Hash(binary.LittleEndian.AppendUint64(append(buf[:0], n.ID...), uint64(n.StartedAt))))
}

// Load is what an engine said of itself in an answer.
type Load struct {
	Running int
	Waiting int
}

// Engine is one engine and what is believed about it.
type Engine struct {
	info   Info
	target route.Target
	// inflight counts our requests at the engine; it is never negative.
	inflight int
	// reportedRequests is how many requests the engine had at othersAt.
	reportedRequests int
	// otherRequests is how many requests of other entries the engine had at othersAt,
	// never negative.
	otherRequests float64
	reportedAt    clock.Millis
	// hasReport is true once the engine has said its load.
	hasReport bool
	// lastActiveAt is when the engine last sent anything.
	lastActiveAt clock.Millis
	// silentSince is when the oldest silence began: the time of the first
	// request that was sent after the engine was last heard. Zero if nothing
	// is awaited.
	silentSince clock.Millis
	health      health
	// missing is true while the list lacks the engine and it may come back.
	missing bool
	// invalid is true while its entry on the list cannot be used. What is
	// believed of it is kept for its return.
	invalid bool
	// conflicts are the other engines that are listed with its address.
	conflicts []*Engine
	// confirmedAt is when an answer last came under its id, replacedAt when another
	// engine last answered at its address; zero if none did.
	confirmedAt, replacedAt clock.Millis
	// listedAt is when the engine was listed here, firstListedAt when it was for the first time
	// if it was off the list meanwhile.
	listedAt, firstListedAt clock.Millis
	// reopenedAt is when its data hall was last taken back from an evacuation, zero if
	// it never was.
	reopenedAt clock.Millis
	warmup     warmth
	// checkedAt is when the engine was last asked whether it is healthy, zero if it never was.
	checkedAt clock.Millis
	// reservedUntil is until when it runs a request alone that may end it.
	reservedUntil clock.Millis
	// recent has the engine by its word, between a newer and an older one; nil while it
	// is not listed.
	recent       *recent
	newer, older *Engine
}

// Info returns the engine as listed.
func (e *Engine) Info() Info { return e.info }

// othersHalfLife is how fast the word of an engine about its load loses its
// weight against the mean of all: requests last half a second on average, so
// after a second most of them have been replaced.
const othersHalfLife clock.Millis = 1000

var othersFading = newFading(othersHalfLife)

// weight is what the word of an engine about its load counts against the mean of all.
func (e *Engine) weight(now clock.Millis) float64 {
	if !e.hasReport {
		return 0
	}
	return othersFading.left(now - e.reportedAt)
}

// load estimates the requests at the engine. mean is the mean of what other
// entries have at an engine, weight that of its own word.
func (e *Engine) load(mean, weight float64) float64 {
	return float64(e.inflight) + mean + (e.otherRequests-mean)*weight
}

// silence returns how long the engine has left requests without any sign.
func (e *Engine) silence(now clock.Millis) clock.Millis {
	if e.silentSince == 0 {
		return 0
	}
	return now - e.silentSince
}

// BeginRequest counts a request that is about to be sent.
func (e *Engine) BeginRequest(now clock.Millis) {
	e.inflight++
	e.warmup.note(now)
	if e.silentSince == 0 {
		e.silentSince = now
	}
}

// RecordActivity records that the engine sent something.
func (e *Engine) RecordActivity(now clock.Millis) {
	e.lastActiveAt = now
	e.confirmedAt = now
	e.silentSince = now
}

// RecordLoad records the load that an engine had at the given time, which counts
// our own requests too. An older word than the latest is passed over.
func (e *Engine) RecordLoad(l Load, at clock.Millis) {
	if e.hasReport && at <= e.reportedAt {
		return
	}
	e.reportedRequests = l.Running + l.Waiting
	e.otherRequests = max(0, float64(e.reportedRequests-e.inflight))
	e.reportedAt = at
	e.hasReport = true
	if e.recent != nil {
		e.recent.place(e)
	}
}

// EndRequest counts the end of a request and returns what it changes in the trust
// in the engine.
func (e *Engine) EndRequest(o Outcome, now clock.Millis) TrustChange {
	e.inflight = max(0, e.inflight-1)
	if e.inflight == 0 {
		e.silentSince = 0
	}
	if o == Replaced {
		e.replacedAt = now
	}
	return e.health.note(o, now)
}

// MarkReached records that the engine took a connection again, and returns what
// that changes in the trust in it.
func (e *Engine) MarkReached(now clock.Millis) TrustChange {
	e.warmup.reachedAt = now
	return e.health.reached()
}

// MarkLost records that the engine ended, and returns what that changes in the trust in it.
func (e *Engine) MarkLost(now clock.Millis) TrustChange { return e.health.note(Unreachable, now) }

// SilentSince reports whether the engine gave no sign since a time, to this entry or as
// others told, though as far as is known it has a slot free.
func (e *Engine) SilentSince(at, now clock.Millis) bool {
	if e.lastActiveAt >= at || (e.hasReport && e.reportedAt >= at) {
		return false
	}
	return e.load(0, e.weight(now)) <= float64(e.info.Slots)
}

// askPeriod bounds how often an engine is asked whether it is healthy.
const askPeriod clock.Millis = 1000

// AllowHealthCheck reports whether the engine may be asked whether it is healthy, and takes it that
// it is.
func (e *Engine) AllowHealthCheck(now clock.Millis) bool {
	if e.checkedAt != 0 && now-e.checkedAt < askPeriod {
		return false
	}
	e.checkedAt = now
	return true
}

// IsUnreachable reports whether the engine could not be reached, and was not since.
func (e *Engine) IsUnreachable() bool { return e.health.unreached }

// Reserve keeps others from an engine, until the given time, that runs a request which
// may end it. A time that has passed gives it free.
func (e *Engine) Reserve(until clock.Millis) { e.reservedUntil = until }
