package quarantine

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/verdict"
)

// Request is one submission of a request by a client, who may submit the same request again.
// It spans all attempts that the entry makes for it.
type Request struct {
	id   string
	key  RequestKey
	body []byte
	// listParts returns the parts of the prompt that other requests may share. It is nil once
	// parts holds them, since few requests need them.
	listParts func() []PromptPart
	parts     []PromptPart
	// digest is computed on first use, since few requests need it.
	digest *Digest
	// crashes counts the engines that crashed while they ran this submission. strikes is the
	// last known count of the strikes that all entries recorded.
	crashes, strikes int
	// onTrial is set while the current attempt is the trial.
	onTrial bool
}

// NewRequest returns a request with the given ID, which is used in logs. listParts returns the
// parts of its prompt that other requests may share; nil means that it has none.
func NewRequest(id string, key RequestKey, body []byte, listParts func() []PromptPart) *Request {
	return &Request{id: id, key: key, body: body, listParts: listParts}
}

func (r *Request) promptParts() []PromptPart {
	if r.listParts != nil {
		r.parts, r.listParts = r.listParts(), nil
	}
	return r.parts
}

// Digest returns the digest of the request.
func (r *Request) Digest() Digest {
	if r.digest == nil {
		d := DigestOf(r.key, r.body)
		r.digest = &d
	}
	return *r.digest
}

func (r *Request) fingerprint() uint32 { return Fingerprint(r.key, len(r.body)) }

// Crashes returns how many engines crashed while they ran this submission.
func (r *Request) Crashes() int { return r.crashes }

// Limits on the parts of a prompt in a log line, in parts and in bytes of each ID.
const (
	maxLoggedParts  = 8
	maxLoggedPartID = 16
)

// LoggedParts returns the first parts of the prompt for logs, separated by commas.
func (r *Request) LoggedParts() string {
	var b strings.Builder
	parts := r.promptParts()
	for i, p := range parts[:min(len(parts), maxLoggedParts)] {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(p.ID[:min(len(p.ID), maxLoggedPartID)])
	}
	return b.String()
}

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
	pending   chan struct{}
	heldTotal *metrics.Counter
	// strikesTotal counts the attempts during which engines crashed.
	strikesTotal *metrics.Counter
	// rejectLoggedAt is when invalid reports of a peer were last logged, 0 if never.
	rejectLoggedAt atomic.Int64

	mu   sync.Mutex
	list *List
}

// NewGuard returns a Guard with an empty list.
func NewGuard(clk *clock.Clock, log *slog.Logger) *Guard {
	g := &Guard{
		clk: clk, log: log, list: NewList(rand.Uint32), pending: make(chan struct{}, 1),
		heldTotal: metrics.GetOrCreateCounter("weldfall_held_back_total"), strikesTotal: metrics.GetOrCreateCounter("weldfall_struck_total"),
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

// mayBeTracked reports whether the list may contain the request. It compares fingerprints,
// so it can return true for other requests.
func (g *Guard) mayBeTracked(r *Request) bool {
	if !g.active.Load() {
		return false
	}
	found := false
	g.withList(func(l *List) { found = l.MayContain(r.fingerprint()) })
	return found
}

// Admit decides whether a request may be sent. It returns an error with the verdict v if the
// request is held back. If alone is true, the request must be sent as a trial, and the caller
// must then call StartTrial or EndTrial.
func (g *Guard) Admit(ctx context.Context, r *Request, v verdict.Verdict, c Connectivity) (alone bool, err *verdict.Error) {
	if !g.mayBeTracked(r) {
		return false, nil
	}
	// An isolated entry still retries a request whose attempt broke here: most such requests
	// were on a crashing engine by coincidence.
	isolated := c == Isolated && r.crashes == 0
	var a Admission
	g.withList(func(l *List) { a = l.Admit(r.Digest(), isolated, g.clk.Now()) })
	switch a := a.(type) {
	case Trial:
		r.strikes = a.Strikes
		if held := g.awaitClaim(ctx, r, c); held != nil {
			return false, g.holdBack(r, v, c, *held)
		}
		r.onTrial = true
		return true, nil
	case Held:
		return false, g.holdBack(r, v, c, a)
	case Allowed:
	}
	return false, nil
}

// awaitClaim waits until all entries have received this entry's claim of a trial. It returns
// nil if the trial may start. Otherwise another entry claimed the trial too, or reported in
// the meantime why the request must be held back.
func (g *Guard) awaitClaim(ctx context.Context, r *Request, c Connectivity) *Held {
	settled := c == Standalone || clock.Sleep(ctx, ClaimSettleTime)
	var held *Held
	g.withList(func(l *List) {
		now := g.clk.Now()
		pause := l.RemainingPause(r.Digest(), now)
		switch {
		case !settled || pause > 0:
			l.EndTrial(r.Digest(), now)
			held = &Held{Strikes: l.Strikes(r.Digest()), RetryAfter: max(pause, TrialRetryAfter)}
		case !l.OwnsTrial(r.Digest(), now):
			held = &Held{Strikes: r.strikes, RetryAfter: TrialRetryAfter, TrialRunning: true}
		}
	})
	return held
}

// holdBack returns the error for the client of a request that is held back.
func (g *Guard) holdBack(r *Request, v verdict.Verdict, c Connectivity, h Held) *verdict.Error {
	r.strikes = h.Strikes
	g.heldTotal.Inc()
	g.log.Info("held_back", "request", r.id, "asked", r.Digest(), "strikes", h.Strikes, "last_ms", h.SinceCrash,
		"trial", h.TrialRunning, "contact", c, "back_ms", h.RetryAfter)
	return verdict.New(v, verdict.HeldBack, "engines crashed %d times while they ran this request", h.Strikes).WithRetryAfter(h.RetryAfter)
}

// SetHistoryUnknownUntil sets the time until which requests may have crashed engines without
// any entry knowing of it.
func (g *Guard) SetHistoryUnknownUntil(until clock.Millis) {
	g.withList(func(l *List) { l.SetHistoryUnknownUntil(until) })
}

// StartTrial records the engine of a trial, which is reported to peers. incarnation is the
// hash of the engine's incarnation, or 0 if it is not chosen yet; engine is its ID, for logs.
func (g *Guard) StartTrial(r *Request, incarnation uint32, engine string) {
	g.withList(func(l *List) { l.StartTrial(r.Digest(), incarnation, g.clk.Now()) })
	g.log.Info("trial", "request", r.id, "asked", r.Digest(), "strikes", r.strikes, "engine", engine)
}

// EndTrial records that an attempt ended without a result that matters to the quarantine. It
// does nothing if the attempt was no trial.
func (g *Guard) EndTrial(r *Request) {
	if !r.onTrial {
		return
	}
	r.onTrial = false
	g.withList(func(l *List) { l.EndTrial(r.Digest(), g.clk.Now()) })
}

// RecordCrash records that an engine crashed during the attempt. incarnation is the hash of
// the engine's incarnation, engine its ID.
func (g *Guard) RecordCrash(r *Request, incarnation uint32, engine string) {
	r.crashes++
	a := Attempt{ID: r.id, Digest: r.Digest(), Fingerprint: r.fingerprint(), Incarnation: incarnation, Trial: r.onTrial}
	r.onTrial = false
	g.withList(func(l *List) { r.strikes = l.RecordCrash(a, g.clk.Now()) })
	g.strikesTotal.Inc()
	g.log.Info("struck", "request", r.id, "asked", r.Digest(), "engine", engine, "strikes", r.strikes, "trial", a.Trial, "ground", "refused", "parts", r.LoggedParts())
}

// RecordBrokenAttempt records that the attempt broke at an engine without evidence of a
// crash. silent is true if the engine sent no response, rather than close the connection.
func (g *Guard) RecordBrokenAttempt(r *Request, incarnation uint32, engine string, silent bool) {
	a := Attempt{ID: r.id, Digest: r.Digest(), Fingerprint: r.fingerprint(), Incarnation: incarnation, Trial: r.onTrial, Silent: silent}
	r.onTrial = false
	g.withList(func(l *List) { l.RecordBrokenAttempt(a, g.clk.Now()) })
	g.log.Info("broke_off", "request", r.id, "asked", r.Digest(), "engine", engine, "silent", silent, "trial", a.Trial, "parts", r.LoggedParts())
}

// RecordUnresponsive records that an engine became unresponsive during the attempt, which
// was sent at sentAt and is still waiting.
func (g *Guard) RecordUnresponsive(r *Request, incarnation uint32, engine string, sentAt clock.Millis) {
	a := Attempt{ID: r.id, Digest: r.Digest(), Fingerprint: r.fingerprint(), Incarnation: incarnation, Trial: r.onTrial}
	r.onTrial = false
	g.withList(func(l *List) { r.strikes = l.RecordUnresponsive(a, sentAt, g.clk.Now()) })
	g.strikesTotal.Inc()
	g.log.Info("struck", "request", r.id, "asked", r.Digest(), "engine", engine, "strikes", r.strikes, "trial", a.Trial, "ground", "dark", "parts", r.LoggedParts())
}

// UnresponsiveIncarnations returns the incarnation hashes of the engines that became
// unresponsive while they had the request.
func (g *Guard) UnresponsiveIncarnations(r *Request) []uint32 {
	if !g.mayBeTracked(r) {
		return nil
	}
	var incarnations []uint32
	g.withList(func(l *List) { incarnations = l.UnresponsiveIncarnations(r.Digest()) })
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
		g.log.Info("struck", "request", s.ID, "asked", s.Digest, "engine", engine, "strikes", s.Strikes, "trial", s.Trial, "ground", ground, "late_ms", s.Delay)
	}
}

// RecordSuccess records that the attempt succeeded, which clears all strikes of the request.
func (g *Guard) RecordSuccess(r *Request) {
	if !g.mayBeTracked(r) {
		return
	}
	r.onTrial = false
	before, cleared := 0, false
	g.withList(func(l *List) {
		before = l.Strikes(r.Digest())
		cleared = l.RecordSuccess(r.Digest(), g.clk.Now())
	})
	if cleared && before >= SuspectStrikes {
		g.log.Info("suspect", "asked", r.Digest(), "strikes", 0, "before", before, "request", r.id)
	}
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
		g.withList(func(l *List) { l.ConfirmCrash(incarnation) })
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
		g.log.Info("suspect", "asked", r.Digest, "strikes", strikes, "before", before, "told_by", from)
	}
}
