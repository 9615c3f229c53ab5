package quarantine

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/verdict"
)

// Connectivity tells whether this entry can communicate with other entries.
type Connectivity string

const (
	// Connected entries receive messages from others.
	Connected Connectivity = "in_contact"
	// Isolated entries know of others but receive nothing from them.
	Isolated Connectivity = "isolated"
	// Standalone entries know of no others.
	Standalone Connectivity = "single"
)

// Guard maintains the List of one entry and decides which requests may be sent. It is safe
// for concurrent use.
type Guard struct {
	clk *clock.Clock
	log *slog.Logger
	// active is set while the list is not empty; otherwise requests skip all checks.
	active atomic.Bool
	// pending receives a value while there are reports to send to peers.
	pending chan struct{}
	// heldTotal counts the attempts that were held back, partHeldTotal those among them that a
	// part of their prompts held back.
	heldTotal, partHeldTotal *metrics.Counter
	// strikesTotal counts the attempts during which engines crashed.
	strikesTotal *metrics.Counter
	// historyUnknownUntil is the time of the list, for requests that succeed.
	historyUnknownUntil atomic.Int64
	// rejectLoggedAt is when invalid reports of a peer were last logged, 0 if never.
	rejectLoggedAt atomic.Int64

	mu   sync.Mutex
	list *List
}

// NewGuard returns a Guard with an empty list.
func NewGuard(clk *clock.Clock, log *slog.Logger) *Guard {
	g := &Guard{
		clk: clk, log: log, list: NewList(rand.Uint32), pending: make(chan struct{}, 1),
		heldTotal:     metrics.GetOrCreateCounter("weldfall_held_back_total"),
		partHeldTotal: metrics.GetOrCreateCounter("weldfall_held_back_parts_total"), strikesTotal: metrics.GetOrCreateCounter("weldfall_struck_total"),
	}
	metrics.GetOrCreateGauge("weldfall_suspects", g.suspectCount)
	return g
}

// Tracking reports whether the list is not empty.
func (g *Guard) Tracking() bool { return g.active.Load() }

// withList calls f with the list locked, then signals pending reports.
func (g *Guard) withList(f func(l *List)) {
	g.mu.Lock()
	f(g.list)
	g.active.Store(!g.list.Empty())
	hasPending := g.list.HasPending()
	g.mu.Unlock()
	if !hasPending {
		return
	}
	select {
	case g.pending <- struct{}{}:
	default:
	}
}

// suspectCount returns the number of suspects.
func (g *Guard) suspectCount() float64 {
	n := 0
	g.withList(func(l *List) { n, _ = l.Counts() })
	return float64(n)
}

// tracked returns what can be blamed in the request and may be on the list. It compares
// fingerprints, so it can return what is not on the list.
func (g *Guard) tracked(r *Request) Subjects {
	if !g.active.Load() {
		return nil
	}
	var out Subjects
	g.withList(func(l *List) { out = r.subjects(l) })
	return out
}

// Admit decides whether a request may be sent. It returns an error with the verdict v if the
// request is held back. If alone is true, the request must be sent as a trial, and the caller
// must then call StartTrial or EndTrial.
func (g *Guard) Admit(ctx context.Context, r *Request, v verdict.Verdict, c Connectivity) (alone bool, err *verdict.Error) {
	s := g.tracked(r)
	if len(s) == 0 {
		return false, nil
	}
	// An isolated entry still retries a request whose attempt broke here: most such requests
	// were on a crashing engine by coincidence.
	isolated := c == Isolated && r.crashes == 0
	var a Admission
	g.withList(func(l *List) { a = l.Admit(s, isolated, g.clk.Now()) })
	switch a := a.(type) {
	case Trial:
		r.strikes, r.tried = a.Strikes, a.Suspects
		if held := g.awaitClaim(ctx, r, s, c); held != nil {
			r.tried = nil
			return false, g.holdBack(r, v, c, *held)
		}
		return true, nil
	case Held:
		return false, g.holdBack(r, v, c, a)
	case Allowed:
	}
	return false, nil
}

// Suspected reports whether Admit would not simply allow the request. It claims no trial.
func (g *Guard) Suspected(r *Request, c Connectivity) bool {
	s := g.tracked(r)
	if len(s) == 0 {
		return false
	}
	suspected := false
	g.withList(func(l *List) { suspected = len(l.needTrial(s, c == Isolated && r.crashes == 0, g.clk.Now())) > 0 })
	return suspected
}

// awaitClaim waits until all entries have received this entry's claim of a trial. It returns
// nil if the trial may start. Otherwise another entry claimed the trial of a suspect too, or
// reported in the meantime why the request must be held back.
func (g *Guard) awaitClaim(ctx context.Context, r *Request, s Subjects, c Connectivity) *Held {
	settled := c == Standalone || clock.Sleep(ctx, ClaimSettleTime)
	var held *Held
	g.withList(func(l *List) {
		now := g.clk.Now()
		pause := l.RemainingPause(s, now)
		lost := slices.IndexFunc(r.tried, func(d Digest) bool { return !l.OwnsTrial(d, now) })
		switch {
		case !settled || pause > 0:
			held = &Held{Suspect: r.tried[0], RetryAfter: max(pause, TrialRetryAfter)}
		case lost >= 0:
			held = &Held{Suspect: r.tried[lost], RetryAfter: TrialRetryAfter, TrialRunning: true}
		default:
			return
		}
		held.Strikes, held.Part = l.Strikes(held.Suspect), held.Suspect != r.Digest()
		for _, d := range r.tried {
			l.EndTrial(d, now)
		}
	})
	return held
}

// holdBack returns the error for the client of a request that is held back.
func (g *Guard) holdBack(r *Request, v verdict.Verdict, c Connectivity, h Held) *verdict.Error {
	r.strikes = h.Strikes
	g.heldTotal.Inc()
	attrs := []any{"request", r.id, "asked", h.Suspect, "strikes", h.Strikes, "last_ms", h.SinceCrash,
		"trial", h.TrialRunning, "contact", c, "back_ms", h.RetryAfter}
	if !h.Part {
		g.log.Info("held_back", attrs...)
		return verdict.New(v, verdict.HeldBack, "engines crashed %d times while they ran this request", h.Strikes).WithRetryAfter(h.RetryAfter)
	}
	id := r.partID(h.Suspect)
	g.partHeldTotal.Inc()
	g.log.Info("held_back", append(attrs, "part", loggedPartID(id))...)
	return verdict.New(v, verdict.PartHeldBack, "engines crashed %d times while they ran requests with the part %q of this prompt", h.Strikes, id).WithRetryAfter(h.RetryAfter)
}

// SetHistoryUnknownUntil sets the time until which requests may have crashed engines without
// any entry knowing of it.
func (g *Guard) SetHistoryUnknownUntil(until clock.Millis) {
	g.historyUnknownUntil.Store(int64(until))
	g.withList(func(l *List) { l.SetHistoryUnknownUntil(until) })
}

// StartTrial records the engine of a trial, which is reported to peers. incarnation is the
// hash of the engine's incarnation, or 0 if it is not chosen yet; engine is its ID, for logs.
func (g *Guard) StartTrial(r *Request, incarnation uint32, engine string) {
	g.withList(func(l *List) {
		for _, d := range r.tried {
			l.StartTrial(d, incarnation, g.clk.Now())
		}
	})
	g.log.Info("trial", "request", r.id, "asked", joinDigests(r.tried), "strikes", r.strikes, "engine", engine, "parts", r.LoggedParts())
}

// EndTrial records that an attempt ended without a result that matters to the quarantine. It
// does nothing if the attempt was no trial.
func (g *Guard) EndTrial(r *Request) {
	if len(r.tried) == 0 {
		return
	}
	g.withList(func(l *List) {
		for _, d := range r.tried {
			l.EndTrial(d, g.clk.Now())
		}
	})
	r.tried = nil
}

// RecordCrash records that an engine crashed during the attempt. incarnation is the hash of
// the engine's incarnation, engine its ID.
func (g *Guard) RecordCrash(r *Request, incarnation uint32, engine string) {
	r.crashes++
	a := r.attempt(incarnation)
	g.withList(func(l *List) { r.strikes = l.RecordCrash(a, g.clk.Now()) })
	g.logStrike(r, a, engine, "refused")
}

// logStrike counts and logs the strike of an attempt, and logs the parts of its prompt that are
// suspects now. ground names the evidence.
func (g *Guard) logStrike(r *Request, a Attempt, engine, ground string) {
	g.strikesTotal.Inc()
	g.log.Info("struck", "request", r.id, "asked", a.Digest, "engine", engine, "strikes", r.strikes, "trial", len(a.tried()) > 0, "ground", ground, "parts", r.LoggedParts())
	for _, p := range a.Parts[:min(len(a.Parts), maxLoggedParts)] {
		strikes := 0
		g.withList(func(l *List) { strikes = l.Strikes(p.Digest) })
		if strikes >= SuspectStrikes {
			g.log.Info("part_suspected", "request", r.id, "asked", p.Digest, "part", loggedPartID(r.partID(p.Digest)), "engine", engine, "strikes", strikes, "trial", p.Trial)
		}
	}
}

// RecordBrokenAttempt records that the attempt broke at an engine without evidence of a
// crash. silent is true if the engine sent no response, rather than close the connection.
func (g *Guard) RecordBrokenAttempt(r *Request, incarnation uint32, engine string, silent bool) {
	a := r.attempt(incarnation)
	a.Silent = silent
	g.withList(func(l *List) { l.RecordBrokenAttempt(a, g.clk.Now()) })
	g.log.Info("broke_off", "request", r.id, "asked", r.Digest(), "engine", engine, "silent", silent, "trial", len(a.tried()) > 0, "parts", r.LoggedParts())
}

// RecordUnresponsive records that an engine became unresponsive during the attempt, which
// was sent at sentAt and is still waiting.
func (g *Guard) RecordUnresponsive(r *Request, incarnation uint32, engine string, sentAt clock.Millis) {
	a := r.attempt(incarnation)
	g.withList(func(l *List) { r.strikes = l.RecordUnresponsive(a, sentAt, g.clk.Now()) })
	g.logStrike(r, a, engine, "dark")
}

// UnresponsiveIncarnations returns the incarnation hashes of the engines that became
// unresponsive while they had the request.
func (g *Guard) UnresponsiveIncarnations(r *Request) []uint32 {
	if !g.active.Load() {
		return nil
	}
	var incarnations []uint32
	g.withList(func(l *List) {
		if l.MayContain(r.fingerprint()) {
			incarnations = l.UnresponsiveIncarnations(r.Digest())
		}
	})
	return incarnations
}

// RecordIncarnationEnd records evidence that an engine crashed. The attempts that the crash
// broke become strikes. ground names the evidence in logs.
func (g *Guard) RecordIncarnationEnd(incarnation uint32, engine, ground string) {
	if !g.active.Load() {
		return
	}
	var strikes []Strike
	g.withList(func(l *List) { strikes = l.RecordIncarnationEnd(incarnation, g.clk.Now()) })
	for _, s := range strikes {
		g.strikesTotal.Inc()
		g.log.Info("struck", "request", s.ID, "asked", s.Digest, "engine", engine, "strikes", s.Strikes, "trial", len(s.tried()) > 0, "ground", ground, "late_ms", s.Delay)
	}
}

// RecordSuccess records that the attempt succeeded, which clears all strikes of the request and
// of the parts of its prompt.
func (g *Guard) RecordSuccess(r *Request) {
	g.recordUnknownParts(r)
	for _, d := range g.tracked(r) {
		before, cleared := 0, false
		g.withList(func(l *List) {
			before = l.Strikes(d)
			cleared = l.RecordSuccess(d, g.clk.Now())
		})
		if cleared && before >= SuspectStrikes {
			g.log.Info("suspect", "asked", d, "strikes", 0, "before", before, "request", r.id, "part", loggedPartID(r.partID(d)))
		}
	}
}

// recordUnknownParts records the success of parts that may not be on the list, while the history
// of crashes is unknown.
func (g *Guard) recordUnknownParts(r *Request) {
	if g.clk.Now() >= clock.Millis(g.historyUnknownUntil.Load()) {
		return
	}
	parts := r.promptParts()
	g.withList(func(l *List) {
		for _, p := range parts[:min(len(parts), maxBlamedParts)] {
			l.RecordPartSuccess(p.Digest())
		}
	})
}

// RecordAlive records that data was received from an engine, on a connection that was opened
// at openedAt.
func (g *Guard) RecordAlive(incarnation uint32, openedAt clock.Millis) {
	if g.active.Load() {
		g.withList(func(l *List) { l.RecordAlive(incarnation, openedAt, g.clk.Now()) })
	}
}

// ConfirmCrash records that this entry itself found an engine to be unreachable.
func (g *Guard) ConfirmCrash(incarnation uint32) {
	if g.active.Load() {
		g.withList(func(l *List) { l.ConfirmCrash(incarnation, g.clk.Now()) })
	}
}

// Sweep removes expired records.
func (g *Guard) Sweep() {
	if g.active.Load() {
		g.withList(func(l *List) { l.Sweep(g.clk.Now()) })
	}
}

// Summarize returns a checksum of all suspects and a sample of at most n of them.
func (g *Guard) Summarize(n int) (sum uint64, packed string) {
	if !g.active.Load() {
		return 0, ""
	}
	now := g.clk.Now()
	g.withList(func(l *List) { sum, packed = l.Checksum(now), l.Sample(n, now).Pack() })
	return sum, packed
}

// SuspectsPending returns a channel that receives a value when there are reports to send to
// peers at once.
func (g *Guard) SuspectsPending() <-chan struct{} { return g.pending }

// TakeSuspects removes and returns at most MaxReports pending reports, "" if there are none.
func (g *Guard) TakeSuspects() (packed string) {
	g.withList(func(l *List) { packed = l.TakePending(MaxReports, g.clk.Now()).Pack() })
	return packed
}

// BroadcastSuspects queues reports of all suspects for all peers.
func (g *Guard) BroadcastSuspects() {
	if g.active.Load() {
		g.withList(func(l *List) { l.BroadcastSuspects() })
	}
}

// rejectLogInterval is the minimum time between log lines on invalid reports of peers.
const rejectLogInterval clock.Millis = 10_000

// Receive merges packed reports from the peer with the ID from. isLost reports whether this
// entry found the engine incarnation with the given hash to be unreachable. Receive returns
// the trials in the reports. Invalid reports are logged and dropped.
func (g *Guard) Receive(from, packed string, isLost func(incarnation uint32) bool) []ReportedTrial {
	if packed == "" {
		return nil
	}
	reports, err := Unpack(packed)
	if err != nil {
		g.logRejected(from, err)
		return nil
	}
	var trials []ReportedTrial
	for _, r := range reports {
		if r.Trial != nil {
			trials = append(trials, *r.Trial)
		}
		g.merge(from, r, isLost)
	}
	return trials
}

// logRejected logs invalid reports of a peer, at most once per rejectLogInterval.
func (g *Guard) logRejected(from string, err error) {
	now := g.clk.Now()
	if last := clock.Millis(g.rejectLoggedAt.Load()); last != 0 && now-last <= rejectLogInterval {
		return
	}
	g.rejectLoggedAt.Store(int64(now))
	g.log.Warn("news_refused", "from", from, "error", err)
}

func (g *Guard) merge(from string, r Report, isLost func(incarnation uint32) bool) {
	before, strikes, changed := 0, 0, false
	g.withList(func(l *List) {
		before = l.Strikes(r.Digest)
		changed = l.Merge(r, isLost, g.clk.Now())
		strikes = l.Strikes(r.Digest)
	})
	if changed && strikes != before && max(before, strikes) >= SuspectStrikes {
		g.log.Info("suspect", "asked", r.Digest, "is_part", r.Part, "strikes", strikes, "before", before, "told_by", from)
	}
}
