package quarantine

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/verdict"
)

// Request is one attempt of a caller.
type Request struct {
	id   string
	key  RequestKey
	body []byte
	// digest is nil until it was needed, which it is for few requests.
	digest *Digest
	// ended counts the engines that ended while they had this attempt, and strikes is
	// what the request had at all entries, as last known.
	ended, strikes int
	// onTrial is true while this attempt is the one by which it is found out whether the
	// request ends its engine.
	onTrial bool
}

// NewRequest returns an attempt with the given id.
func NewRequest(id string, a RequestKey, body []byte) *Request {
	return &Request{id: id, key: a, body: body}
}

// Digest names what was asked.
func (r *Request) Digest() Digest {
	if r.digest == nil {
		d := DigestOf(r.key, r.body)
		r.digest = &d
	}
	return *r.digest
}

func (r *Request) fingerprint() uint32 { return Fingerprint(r.key, len(r.body)) }

// Crashes returns how many engines ended while they had this attempt.
func (r *Request) Crashes() int { return r.ended }

// Connectivity is how this entry stands with others.
type Connectivity string

const (
	// Connected entries hear others.
	Connected Connectivity = "in_contact"
	// Isolated ones know others and hear none.
	Isolated Connectivity = "isolated"
	// Standalone ones know no others.
	Standalone Connectivity = "single"
)

// Guard keeps the list of one entry and decides by it. It is safe for concurrent use.
type Guard struct {
	clk *clock.Clock
	log *slog.Logger
	// any is true while a request is remembered; requests pass at no cost while none is.
	any atomic.Bool
	// news has a token while there is word for others.
	news chan struct{}
	held *metrics.Counter
	// struck counts the attempts under which engines ended.
	struck *metrics.Counter
	// refusedAt is when word of a peer that makes no sense was last logged, 0 if never.
	refusedAt atomic.Int64

	mu   sync.Mutex
	list *List
}

// NewGuard returns a guard that knows of no request.
func NewGuard(clk *clock.Clock, log *slog.Logger) *Guard {
	g := &Guard{
		clk: clk, log: log, list: NewList(rand.Uint32), news: make(chan struct{}, 1),
		held: metrics.GetOrCreateCounter("weldfall_held_back_total"), struck: metrics.GetOrCreateCounter("weldfall_struck_total"),
	}
	metrics.GetOrCreateGauge("weldfall_suspects", g.count)
	return g
}

// with calls f with the list.
func (g *Guard) with(f func(l *List)) {
	g.mu.Lock()
	f(g.list)
	g.any.Store(!g.list.Empty())
	waiting := g.list.HasPending()
	g.mu.Unlock()
	if !waiting {
		return
	}
	select {
	case g.news <- struct{}{}:
	default:
	}
}

// count returns how many requests are suspects.
func (g *Guard) count() float64 {
	n := 0
	g.with(func(l *List) { n, _ = l.Counts() })
	return float64(n)
}

// remembered reports whether a request may be one under which an engine ended.
func (g *Guard) remembered(r *Request) bool {
	if !g.any.Load() {
		return false
	}
	known := false
	g.with(func(l *List) { known = l.MayContain(r.fingerprint()) })
	return known
}

// Admit refuses a request under which too many engines ended; v is what is known of this
// attempt. It reports whether the request must be sent alone, and then Placed or Over must
// follow.
func (g *Guard) Admit(ctx context.Context, r *Request, v verdict.Verdict, c Connectivity) (alone bool, err *verdict.Error) {
	if !g.remembered(r) {
		return false, nil
	}
	// A request that broke off here is sent once more: most were there by chance.
	cut := c == Isolated && r.ended == 0
	var a Admission
	g.with(func(l *List) { a = l.Admit(r.Digest(), cut, g.clk.Now()) })
	switch a := a.(type) {
	case Trial:
		r.strikes = a.Strikes
		if held := g.claimed(ctx, r, c); held != nil {
			return false, g.heldBack(r, v, c, *held)
		}
		r.onTrial = true
		return true, nil
	case Held:
		return false, g.heldBack(r, v, c, a)
	case Allowed:
	}
	return false, nil
}

// claimed waits until all others know of a trial that this entry claimed. It returns why the
// trial is not to be run after all, nil if it is: another claimed it as well, or told
// meanwhile what holds the request back.
func (g *Guard) claimed(ctx context.Context, r *Request, c Connectivity) *Held {
	slept := c == Standalone || clock.Sleep(ctx, ClaimSettleTime)
	var held *Held
	g.with(func(l *List) {
		now := g.clk.Now()
		rest := l.RemainingPause(r.Digest(), now)
		switch {
		case !slept || rest > 0:
			l.EndTrial(r.Digest(), now)
			held = &Held{Strikes: l.Strikes(r.Digest()), RetryAfter: max(rest, TrialRetryAfter)}
		case !l.OwnsTrial(r.Digest(), now):
			held = &Held{Strikes: r.strikes, RetryAfter: TrialRetryAfter, TrialRunning: true}
		}
	})
	return held
}

// heldBack is what the caller of a request is told that is not sent.
func (g *Guard) heldBack(r *Request, v verdict.Verdict, c Connectivity, h Held) *verdict.Error {
	r.strikes = h.Strikes
	g.held.Inc()
	g.log.Info("held_back", "request", r.id, "asked", r.Digest(), "strikes", h.Strikes, "last_ms", h.SinceCrash,
		"trial", h.TrialRunning, "contact", c, "back_ms", h.RetryAfter)
	return verdict.New(v, verdict.HeldBack, "engines ended %d times while they ran this request", h.Strikes).WithRetryAfter(h.RetryAfter)
}

// SetHistoryLostUntil says until when requests may have ended engines of which no entry knows.
func (g *Guard) SetHistoryLostUntil(until clock.Millis) {
	g.with(func(l *List) { l.SetHistoryLostUntil(until) })
}

// StartTrial tells others of the engine of a trial, by the mark of its life and its id.
func (g *Guard) StartTrial(r *Request, life uint32, engine string) {
	g.with(func(l *List) { l.StartTrial(r.Digest(), life, g.clk.Now()) })
	g.log.Info("trial", "request", r.id, "asked", r.Digest(), "strikes", r.strikes, "engine", engine)
}

// EndTrial records that an attempt ended without telling anything of the request.
func (g *Guard) EndTrial(r *Request) {
	if !r.onTrial {
		return
	}
	r.onTrial = false
	g.with(func(l *List) { l.EndTrial(r.Digest(), g.clk.Now()) })
}

// RecordCrash records that an engine ended while it had the attempt, by the mark of its life
// and its id.
func (g *Guard) RecordCrash(r *Request, life uint32, engine string) {
	r.ended++
	a := Attempt{ID: r.id, Digest: r.Digest(), Fingerprint: r.fingerprint(), Incarnation: life, Trial: r.onTrial}
	r.onTrial = false
	g.with(func(l *List) { r.strikes = l.RecordCrash(a, g.clk.Now()) })
	g.struck.Inc()
	g.log.Info("struck", "request", r.id, "asked", r.Digest(), "engine", engine, "strikes", r.strikes, "trial", a.Trial, "ground", "refused")
}

// RecordBrokenAttempt records that the attempt broke off at an engine, by the mark of its life and its
// id, of which nothing shows that it ended; silent is true if it gave no sign.
func (g *Guard) RecordBrokenAttempt(r *Request, life uint32, engine string, silent bool) {
	a := Attempt{ID: r.id, Digest: r.Digest(), Fingerprint: r.fingerprint(), Incarnation: life, Trial: r.onTrial, Silent: silent}
	r.onTrial = false
	g.with(func(l *List) { l.RecordBrokenAttempt(a, g.clk.Now()) })
	g.log.Info("broke_off", "request", r.id, "asked", r.Digest(), "engine", engine, "silent", silent, "trial", a.Trial)
}

// RecordUnresponsive records that an engine went dark, by the mark of its life and its id, under the
// attempt, which was sent at a time and still waits.
func (g *Guard) RecordUnresponsive(r *Request, life uint32, engine string, sent clock.Millis) {
	a := Attempt{ID: r.id, Digest: r.Digest(), Fingerprint: r.fingerprint(), Incarnation: life, Trial: r.onTrial}
	r.onTrial = false
	g.with(func(l *List) { r.strikes = l.RecordUnresponsive(a, sent, g.clk.Now()) })
	g.struck.Inc()
	g.log.Info("struck", "request", r.id, "asked", r.Digest(), "engine", engine, "strikes", r.strikes, "trial", a.Trial, "ground", "dark")
}

// UnresponsiveIncarnations returns the marks of the lives of engines that went dark under the request.
func (g *Guard) UnresponsiveIncarnations(r *Request) []uint32 {
	if !g.remembered(r) {
		return nil
	}
	var lives []uint32
	g.with(func(l *List) { lives = l.UnresponsiveIncarnations(r.Digest()) })
	return lives
}

// RecordIncarnationEnd records what showed that an engine ended, by the mark of its life and its id:
// the attempts that broke off with it are struck.
func (g *Guard) RecordIncarnationEnd(life uint32, engine, ground string) {
	if !g.any.Load() {
		return
	}
	var strikes []Strike
	g.with(func(l *List) { strikes = l.RecordIncarnationEnd(life, g.clk.Now()) })
	for _, s := range strikes {
		g.struck.Inc()
		g.log.Info("struck", "request", s.ID, "asked", s.Digest, "engine", engine, "strikes", s.Strikes, "trial", s.Trial, "ground", ground, "late_ms", s.Delay)
	}
}

// RecordSuccess records that the attempt ran well.
func (g *Guard) RecordSuccess(r *Request) {
	if !g.remembered(r) {
		return
	}
	r.onTrial = false
	before, cleared := 0, false
	g.with(func(l *List) {
		before = l.Strikes(r.Digest())
		cleared = l.RecordSuccess(r.Digest(), g.clk.Now())
	})
	if cleared && before >= SuspectStrikes {
		g.log.Info("suspect", "asked", r.Digest(), "strikes", 0, "before", before, "request", r.id)
	}
}

// RecordAlive records that an engine was heard on a connection that came up at a time.
func (g *Guard) RecordAlive(life uint32, since clock.Millis) {
	if g.any.Load() {
		g.with(func(l *List) { l.RecordAlive(life, since, g.clk.Now()) })
	}
}

// ConfirmCrash records that this entry found out by itself that an engine is away.
func (g *Guard) ConfirmCrash(life uint32) {
	if g.any.Load() {
		g.with(func(l *List) { l.ConfirmCrash(life) })
	}
}

// Sweep drops what did not come for long.
func (g *Guard) Sweep() {
	if g.any.Load() {
		g.with(func(l *List) { l.Sweep(g.clk.Now()) })
	}
}

// Summarize returns what stands for all suspects, and at most n of them.
func (g *Guard) Summarize(n int) (sum uint64, packed string) {
	if !g.any.Load() {
		return 0, ""
	}
	now := g.clk.Now()
	g.with(func(l *List) { sum, packed = l.Checksum(now), l.Sample(n, now).Pack() })
	return sum, packed
}

// SuspectsPending is sent to when there is word that others should have at once.
func (g *Guard) SuspectsPending() <-chan struct{} { return g.news }

// TakeSuspects returns that word, of at most NewsMost requests, "" if there is none.
func (g *Guard) TakeSuspects() (packed string) {
	g.with(func(l *List) { packed = l.TakePending(MaxReports, g.clk.Now()).Pack() })
	return packed
}

// BroadcastSuspects has others told of all suspects.
func (g *Guard) BroadcastSuspects() {
	if g.any.Load() {
		g.with(func(l *List) { l.BroadcastSuspects() })
	}
}

// newsRefusedEvery bounds the lines on word of peers that makes no sense.
const newsRefusedEvery clock.Millis = 10_000

// Receive takes what a peer of that id told, as it came. lost reports whether this entry
// found that a life of an engine cannot be reached. It returns the trials that the peer
// told of.
func (g *Guard) Receive(from, packed string, lost func(life uint32) bool) []ReportedTrial {
	if packed == "" {
		return nil
	}
	news, err := Unpack(packed)
	if err != nil {
		g.refuse(from, err)
		return nil
	}
	var trials []ReportedTrial
	for _, it := range news {
		if it.Trial != nil {
			trials = append(trials, *it.Trial)
		}
		g.learn(from, it, lost)
	}
	return trials
}

// refuse tells of word that makes no sense, now and then.
func (g *Guard) refuse(from string, err error) {
	now := g.clk.Now()
	if last := clock.Millis(g.refusedAt.Load()); last != 0 && now-last <= newsRefusedEvery {
		return
	}
	g.refusedAt.Store(int64(now))
	g.log.Warn("news_refused", "from", from, "error", err)
}

func (g *Guard) learn(from string, it Report, lost func(life uint32) bool) {
	before, strikes, news := 0, 0, false
	g.with(func(l *List) {
		before = l.Strikes(it.Digest)
		news = l.Merge(it, lost, g.clk.Now())
		strikes = l.Strikes(it.Digest)
	})
	if news && strikes != before && max(before, strikes) >= SuspectStrikes {
		g.log.Info("suspect", "asked", it.Digest, "strikes", strikes, "before", before, "told_by", from)
	}
}
