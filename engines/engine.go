// Package engines keeps what one entry knows of the engines that it sends requests to
// directly: which engines the platform lists, how loaded each is by its own reports, and
// whether it can be trusted by the outcomes of requests. It does no I/O: events and the
// time are passed in. A Registry and its engines must be locked by the caller.
package engines

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/pace"
	"github.com/weldfall/weldfall/engines/statement"
	"github.com/weldfall/weldfall/route"
)

// Info is the listing entry of an engine.
type Info struct {
	ID      string
	Service string
	// Addr is host:port.
	Addr string
	// Version is the version of the engine's software, "" if it is unknown.
	Version string
	Hall    string
	// Slots is how many requests the engine runs at once, at least 1.
	Slots int
	// Draining engines finish their requests and get no new ones.
	Draining bool
	// StartedAt is when the engine started by the clock of its machine, in Unix
	// milliseconds. It is zero if the listing does not say.
	StartedAt int64
	// WarmupLeft is how much longer the engine warms up, as of the time of the listing.
	// A Registry converts it to a time and does not keep it here.
	WarmupLeft clock.Millis
}

// Incarnation identifies one run of an engine process. An engine may restart under the
// same ID and has then lost all its requests and cached prefixes. A process does not
// change its software version, so another version is another incarnation, even where the
// listing has no start times.
type Incarnation struct {
	ID        string
	StartedAt int64
	Version   string
}

// Incarnation returns the incarnation of the listed engine.
func (in Info) Incarnation() Incarnation {
	return Incarnation{ID: in.ID, StartedAt: in.StartedAt, Version: in.Version}
}

// Hash returns the four bytes that identify an incarnation in messages. Among 10,000
// engines, two share a hash in 1 of 86 fleets. The start time is hashed along with the ID
// and is not the seed, which XXH3 only combines with a short ID by XOR. The version is not
// hashed, because entries of an earlier release do not hash it.
func (n Incarnation) Hash() uint32 {
	var buf [64]byte
	return uint32(xxh3.Hash(binary.LittleEndian.AppendUint64(append(buf[:0], n.ID...), uint64(n.StartedAt))))
}

// Load is the load that an engine reports in a response.
type Load struct {
	Running int
	Waiting int
	// Pace is how long work takes at present as a multiple of the usual, 0 if the engine
	// does not report it.
	Pace float64
}

// Engine is a listed engine and the state kept of it.
type Engine struct {
	info   Info
	target route.Target
	// inflight counts this entry's requests at the engine. It is never negative.
	inflight int
	// reportedRequests is how many requests the engine had at reportedAt.
	reportedRequests int
	// otherRequests is how many of them came from other entries. It is never negative.
	otherRequests float64
	reportedAt    clock.Millis
	// hasReport is true once the engine has reported its load.
	hasReport bool
	// belief estimates the load of an engine that reports none.
	belief belief
	// lastActiveAt is when the engine last sent anything to this entry.
	lastActiveAt clock.Millis
	// silentSince is when the present silence began: when the engine last sent anything,
	// or when the first request after that was sent if none was in flight. It is zero
	// while no request is in flight.
	silentSince clock.Millis
	health      health
	// missing is true while the listing lacks the engine and it may come back.
	missing bool
	// unreadable is true while the engine's listing entry cannot be used. Its state is kept
	// until it has a valid entry again.
	unreadable bool
	// conflicts holds the other engines listed with the same address.
	conflicts []*Engine
	// confirmedAt is when a response last came from this engine, replacedAt when another
	// engine last responded at its address; zero if never.
	confirmedAt, replacedAt clock.Millis
	// listedAt is when the engine was added to the listing, firstListedAt when it was for
	// the first time if the listing lacked it in between.
	listedAt, firstListedAt clock.Millis
	// reopenedAt is when the last evacuation of its data hall ended, zero if there was
	// none.
	reopenedAt clock.Millis
	warmup     warmupState
	// checkedAt is when the last health check was allowed, zero if none was.
	checkedAt clock.Millis
	// pace is how long work takes at the engine by its own reports.
	pace pace.Engine
	// said is what the engine said of itself, nil if that is nothing.
	said *statement.State
	// reservedUntil is the end of a reservation for an isolated request.
	reservedUntil clock.Millis
	// reports is the list that holds the engine if it has reported a load, between a
	// newer and an older report. It is nil while the engine is not listed.
	reports      *reportList
	newer, older *Engine
}

// Info returns the listing entry of the engine.
func (e *Engine) Info() Info { return e.info }

// othersHalfLife is the half-life of a load report's weight against the mean of all
// engines. Requests last half a second on average, so after a second most of them have
// been replaced by others.
const othersHalfLife clock.Millis = 1000

var othersDecay = newDecay(othersHalfLife)

// reportWeight returns the weight of the engine's load report against the mean of all
// engines.
func (e *Engine) reportWeight(now clock.Millis) float64 {
	if !e.hasReport {
		return 0
	}
	return othersDecay.weight(now - e.reportedAt)
}

// estimateLoad estimates the number of requests at the engine. mean is the mean number
// of other entries' requests at an engine, weight the weight of the engine's own report.
func (e *Engine) estimateLoad(mean, weight float64) float64 {
	return float64(e.inflight) + mean + (e.otherRequests-mean)*weight
}

// silence returns for how long the engine has sent nothing while it had requests.
func (e *Engine) silence(now clock.Millis) clock.Millis {
	if e.silentSince == 0 {
		return 0
	}
	return now - e.silentSince
}

// BeginRequest counts a request that is about to be sent.
func (e *Engine) BeginRequest(now clock.Millis) {
	e.inflight++
	e.warmup.record(now)
	e.said.Begin(now)
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

// RecordLoad records the load that the engine had at asOf, this entry's
// requests included. It ignores a report that is not newer than the latest.
func (e *Engine) RecordLoad(l Load, asOf clock.Millis) {
	if e.hasReport && asOf <= e.reportedAt {
		return
	}
	e.reportedRequests = l.Running + l.Waiting
	e.otherRequests = max(0, float64(e.reportedRequests-e.inflight))
	e.reportedAt = asOf
	e.hasReport = true
	if e.reports != nil {
		e.reports.insert(e)
	}
}

// EndRequest records the end of a request and its outcome, and returns the change in the
// trust in the engine.
func (e *Engine) EndRequest(o Outcome, now clock.Millis) TrustChange {
	e.inflight = max(0, e.inflight-1)
	if e.inflight == 0 {
		e.silentSince = 0
	}
	if o == Replaced {
		e.replacedAt = now
	}
	return e.health.record(o, now)
}

// MarkReached records that the engine accepted a connection again, and returns the change
// in the trust in it.
func (e *Engine) MarkReached(now clock.Millis) TrustChange {
	e.warmup.reachedAt = now
	return e.health.markReached()
}

// MarkLost records that the engine process ended, and returns the change in the trust in
// the engine.
func (e *Engine) MarkLost(now clock.Millis) TrustChange { return e.health.record(Unreachable, now) }

// SilentSince reports whether the engine has sent nothing since the given time, neither to
// this entry nor by the reports of others, though it appears to have a free slot.
func (e *Engine) SilentSince(since, now clock.Millis) bool {
	if e.lastActiveAt >= since || (e.hasReport && e.reportedAt >= since) {
		return false
	}
	return e.estimateLoad(0, e.reportWeight(now)) <= float64(e.info.Slots)
}

// healthCheckPeriod is the least time between two health checks of an engine.
const healthCheckPeriod clock.Millis = 1000

// AllowHealthCheck reports whether a health check of the engine is due. If it is, the
// caller must perform it: the next one is allowed only after healthCheckPeriod. An engine that
// rests gets none.
func (e *Engine) AllowHealthCheck(now clock.Millis) bool {
	if e.said.Resting(now) {
		return false
	}
	if e.checkedAt != 0 && now-e.checkedAt < healthCheckPeriod {
		return false
	}
	e.checkedAt = now
	return true
}

// IsUnreachable reports whether the engine could not be reached and has not been since.
func (e *Engine) IsUnreachable() bool { return e.health.unreachable }

// Reserve keeps other requests away from the engine until the given time, while it runs a
// request that may crash it. A time in the past ends the reservation.
func (e *Engine) Reserve(until clock.Millis) { e.reservedUntil = until }
