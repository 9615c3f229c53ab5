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
	id    string
	asked Asked
	body  []byte
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
func NewRequest(id string, a Asked, body []byte) *Request {
	return &Request{id: id, asked: a, body: body}
}

// Digest names what was asked.
func (r *Request) Digest() Digest {
	if r.digest == nil {
		d := DigestOf(r.asked, r.body)
		r.digest = &d
	}
	return *r.digest
}

func (r *Request) shape() uint32 { return Shape(r.asked, len(r.body)) }

// Ended returns how many engines ended while they had this attempt.
func (r *Request) Ended() int { return r.ended }

// Contact is how this entry stands with others.
type Contact string

const (
	// InContact entries hear others.
	InContact Contact = "in_contact"
	// Isolated ones know others and hear none.
	Isolated Contact = "isolated"
	// Single ones know no others.
	Single Contact = "single"
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
		clk: clk, log: log, list: New(rand.Uint32), news: make(chan struct{}, 1),
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
	waiting := g.list.Waiting()
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
	g.with(func(l *List) { known = l.Knows(r.shape()) })
	return known
}

// Admit refuses a request under which too many engines ended; v is what is known of this
// attempt. It reports whether the request must be sent alone, and then Placed or Over must
// follow.
func (g *Guard) Admit(ctx context.Context, r *Request, v verdict.Verdict, c Contact) (alone bool, err *verdict.Error) {
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
	case Free:
	}
	return false, nil
}

// claimed waits until all others know of a trial that this entry claimed. It returns why the
// trial is not to be run after all, nil if it is: another claimed it as well, or told
// meanwhile what holds the request back.
func (g *Guard) claimed(ctx context.Context, r *Request, c Contact) *Held {
	slept := c == Single || clock.Sleep(ctx, Settle)
	var held *Held
	g.with(func(l *List) {
		now := g.clk.Now()
		rest := l.Rest(r.Digest(), now)
		switch {
		case !slept || rest > 0:
			l.Over(r.Digest(), now)
			held = &Held{Strikes: l.Strikes(r.Digest()), Back: max(rest, TrialBack)}
		case !l.Claimed(r.Digest(), now):
			held = &Held{Strikes: r.strikes, Back: TrialBack, Tried: true}
		}
	})
	return held
}

// heldBack is what the caller of a request is told that is not sent.
func (g *Guard) heldBack(r *Request, v verdict.Verdict, c Contact, h Held) *verdict.Error {
	r.strikes = h.Strikes
	g.held.Inc()
	g.log.Info("held_back", "request", r.id, "asked", r.Digest(), "strikes", h.Strikes, "last_ms", h.Since,
		"trial", h.Tried, "contact", c, "back_ms", h.Back)
	return verdict.New(v, verdict.HeldBack, "engines ended %d times while they ran this request", h.Strikes).WithRetryAfter(h.Back)
}

// SetAmnesia says until when requests may have ended engines of which no entry knows.
func (g *Guard) SetAmnesia(until clock.Millis) {
	g.with(func(l *List) { l.SetAmnesia(until) })
}

// Placed tells others of the engine of a trial, by the mark of its life and its id.
func (g *Guard) Placed(r *Request, life uint32, engine string) {
	g.with(func(l *List) { l.Placed(r.Digest(), life, g.clk.Now()) })
	g.log.Info("trial", "request", r.id, "asked", r.Digest(), "strikes", r.strikes, "engine", engine)
}

// Over records that an attempt ended without telling anything of the request.
func (g *Guard) Over(r *Request) {
	if !r.onTrial {
		return
	}
	r.onTrial = false
	g.with(func(l *List) { l.Over(r.Digest(), g.clk.Now()) })
}

// Struck records that an engine ended while it had the attempt, by the mark of its life
// and its id.
func (g *Guard) Struck(r *Request, life uint32, engine string) {
	r.ended++
	a := Attempt{ID: r.id, Digest: r.Digest(), Shape: r.shape(), Life: life, Trial: r.onTrial}
	r.onTrial = false
	g.with(func(l *List) { r.strikes = l.Ended(a, g.clk.Now()) })
	g.struck.Inc()
	g.log.Info("struck", "request", r.id, "asked", r.Digest(), "engine", engine, "strikes", r.strikes, "trial", a.Trial, "ground", "refused")
}

// Broke records that the attempt broke off at an engine, by the mark of its life and its
// id, of which nothing shows that it ended; silent is true if it gave no sign.
func (g *Guard) Broke(r *Request, life uint32, engine string, silent bool) {
	a := Attempt{ID: r.id, Digest: r.Digest(), Shape: r.shape(), Life: life, Trial: r.onTrial, Silent: silent}
	r.onTrial = false
	g.with(func(l *List) { l.Broke(a, g.clk.Now()) })
	g.log.Info("broke_off", "request", r.id, "asked", r.Digest(), "engine", engine, "silent", silent, "trial", a.Trial)
}

// Dark records that an engine went dark, by the mark of its life and its id, under the
// attempt, which was sent at a time and still waits.
func (g *Guard) Dark(r *Request, life uint32, engine string, sent clock.Millis) {
	a := Attempt{ID: r.id, Digest: r.Digest(), Shape: r.shape(), Life: life, Trial: r.onTrial}
	r.onTrial = false
	g.with(func(l *List) { r.strikes = l.Dark(a, sent, g.clk.Now()) })
	g.struck.Inc()
	g.log.Info("struck", "request", r.id, "asked", r.Digest(), "engine", engine, "strikes", r.strikes, "trial", a.Trial, "ground", "dark")
}

// DarkLives returns the marks of the lives of engines that went dark under the request.
func (g *Guard) DarkLives(r *Request) []uint32 {
	if !g.remembered(r) {
		return nil
	}
	var lives []uint32
	g.with(func(l *List) { lives = l.DarkLives(r.Digest()) })
	return lives
}

// LifeEnded records what showed that an engine ended, by the mark of its life and its id:
// the attempts that broke off with it are struck.
func (g *Guard) LifeEnded(life uint32, engine, ground string) {
	if !g.any.Load() {
		return
	}
	var strikes []Strike
	g.with(func(l *List) { strikes = l.LifeEnded(life, g.clk.Now()) })
	for _, s := range strikes {
		g.struck.Inc()
		g.log.Info("struck", "request", s.ID, "asked", s.Digest, "engine", engine, "strikes", s.Strikes, "trial", s.Trial, "ground", ground, "late_ms", s.Late)
	}
}

// RanWell records that the attempt ran well.
func (g *Guard) RanWell(r *Request) {
	if !g.remembered(r) {
		return
	}
	r.onTrial = false
	before, cleared := 0, false
	g.with(func(l *List) {
		before = l.Strikes(r.Digest())
		cleared = l.Well(r.Digest(), g.clk.Now())
	})
	if cleared && before >= SuspectFrom {
		g.log.Info("suspect", "asked", r.Digest(), "strikes", 0, "before", before, "request", r.id)
	}
}

// Alive records that an engine was heard on a connection that came up at a time.
func (g *Guard) Alive(life uint32, since clock.Millis) {
	if g.any.Load() {
		g.with(func(l *List) { l.Alive(life, since, g.clk.Now()) })
	}
}

// Confirm records that this entry found out by itself that an engine is away.
func (g *Guard) Confirm(life uint32) {
	if g.any.Load() {
		g.with(func(l *List) { l.Confirm(life) })
	}
}

// Sweep drops what did not come for long.
func (g *Guard) Sweep() {
	if g.any.Load() {
		g.with(func(l *List) { l.Sweep(g.clk.Now()) })
	}
}

// Tell returns what stands for all suspects, and at most n of them.
func (g *Guard) Tell(n int) (sum uint64, packed string) {
	if !g.any.Load() {
		return 0, ""
	}
	now := g.clk.Now()
	g.with(func(l *List) { sum, packed = l.Sum(now), l.Sample(n, now).Pack() })
	return sum, packed
}

// News is sent to when there is word that others should have at once.
func (g *Guard) News() <-chan struct{} { return g.news }

// TakeNews returns that word, of at most NewsMost requests, "" if there is none.
func (g *Guard) TakeNews() (packed string) {
	g.with(func(l *List) { packed = l.Take(NewsMost, g.clk.Now()).Pack() })
	return packed
}

// Spread has others told of all suspects.
func (g *Guard) Spread() {
	if g.any.Load() {
		g.with(func(l *List) { l.Spread() })
	}
}

// newsRefusedEvery bounds the lines on word of peers that makes no sense.
const newsRefusedEvery clock.Millis = 10_000

// Hear takes what a peer of that id told, as it came. lost reports whether this entry
// found that a life of an engine cannot be reached. It returns the trials that the peer
// told of.
func (g *Guard) Hear(from, packed string, lost func(life uint32) bool) []OnTrial {
	if packed == "" {
		return nil
	}
	news, err := Unpack(packed)
	if err != nil {
		g.refuse(from, err)
		return nil
	}
	var trials []OnTrial
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

func (g *Guard) learn(from string, it Item, lost func(life uint32) bool) {
	before, strikes, news := 0, 0, false
	g.with(func(l *List) {
		before = l.Strikes(it.Digest)
		news = l.Learn(it, lost, g.clk.Now())
		strikes = l.Strikes(it.Digest)
	})
	if news && strikes != before && max(before, strikes) >= SuspectFrom {
		g.log.Info("suspect", "asked", it.Digest, "strikes", strikes, "before", before, "told_by", from)
	}
}
