// Package replay runs routing decisions on recorded arrivals and simulated engines, and
// compares them with baselines: an omniscient router, plain hashing, round robin, least
// reported load and two random choices. It is deterministic: the results depend only on the
// trace, the configuration and the seed.
package replay

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/fleet/member"
	"github.com/weldfall/weldfall/measure/trace"
	"github.com/weldfall/weldfall/route"
)

// Config describes the pool and its disturbances.
type Config struct {
	Engines, Entries int
	Slots            int
	// CacheTokens is the cache capacity of one engine in tokens.
	CacheTokens int
	// PrefillTokensPerMS and TokenGap determine how long a turn runs.
	PrefillTokensPerMS int
	TokenGap           clock.Millis
	// ReplacePeriod is the time between replacements of one engine, zero for none;
	// DrainNotice is how long before its end an engine is known to drain, zero for an
	// engine that fails.
	ReplacePeriod, DrainNotice clock.Millis
	// ListLag is the maximum delay of changes of the list; each change reaches each entry
	// after a random part of it.
	ListLag clock.Millis
	// ReportLag is the age of loads that do not arrive with a response.
	ReportLag clock.Millis
	// Bound and Floor are settings of the pool.
	Bound float64
	Floor int
	// UnequalSlots gives every third engine half the slots.
	UnequalSlots bool
	// HalfLostAt is when half of the engines fail, zero for never.
	HalfLostAt clock.Millis
	// SplitAt is when the entries are split in two groups, each of which sees only half of
	// the engines from then on; zero for never.
	SplitAt clock.Millis
	// FlapPeriod is how often one engine leaves the list and returns, zero for never.
	FlapPeriod clock.Millis
	Seed       uint64
}

// Outcome holds the measurements of one run.
type Outcome struct {
	Policy string
	// Reuse is the cached share of the tokens of earlier turns.
	Reuse float64
	// SkewWorst and SkewP99 are the ratio of the highest to the mean load per slot, sampled
	// at each arrival while the mean is at least one request per engine.
	SkewWorst, SkewP99 float64
	// OverBound is the share of samples in which an engine exceeds the load bound, rounded
	// to whole requests.
	OverBound float64
	// Tries is the number of offers per turn, Shed the share of turns that no engine
	// admitted.
	Tries, Shed float64
	Turns       int
}

// engine is the actual state of one engine.
type engine struct {
	id       string
	slots    int
	running  int
	index    *route.CacheIndex
	cache    *lru
	stopped  bool
	draining bool
	joined   clock.Millis
	// history holds the load at past times, for delayed reports.
	history []loadSample
	// loads are the loads of other engines known to the daemon beside this one.
	loads *route.Loads
}

type loadSample struct {
	at       clock.Millis
	requests int
}

func (e *engine) recordLoad(now clock.Millis) {
	e.history = append(e.history, loadSample{now, e.running})
}

// reported returns the load at the given time and drops older samples.
func (e *engine) reported(at clock.Millis) int {
	i := 0
	for i+1 < len(e.history) && e.history[i+1].at <= at {
		i++
	}
	e.history = e.history[min(i, len(e.history)):]
	if len(e.history) == 0 || e.history[0].at > at {
		return 0
	}
	return e.history[0].requests
}

// lru is the actual cache of an engine.
type lru struct {
	capacity, tokens int
	order            []int
	size             map[int]int
}

func newLRU(capacity int) *lru { return &lru{capacity: capacity, size: map[int]int{}} }

func (l *lru) put(chat, tokens int) {
	l.remove(chat)
	l.order = append(l.order, chat)
	l.size[chat] = tokens
	l.tokens += tokens
	for l.tokens > l.capacity && len(l.order) > 1 {
		l.remove(l.order[0])
	}
}

func (l *lru) remove(chat int) {
	if n, ok := l.size[chat]; ok {
		l.tokens -= n
		delete(l.size, chat)
		l.order = slices.DeleteFunc(l.order, func(c int) bool { return c == chat })
	}
}

// event is an action at a simulated time.
type event struct {
	at  clock.Millis
	seq int
	do  func()
}

type eventQueue struct {
	list []event
	seq  int
}

var _ heap.Interface = (*eventQueue)(nil)

func (a eventQueue) Len() int { return len(a.list) }
func (a eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a.list[i].at, a.list[j].at), cmp.Compare(a.list[i].seq, a.list[j].seq)) < 0
}
func (a eventQueue) Swap(i, j int) { a.list[i], a.list[j] = a.list[j], a.list[i] }

// Push implements heap.Interface.
func (a *eventQueue) Push(x any) { a.list = append(a.list, x.(event)) }

// Pop implements heap.Interface.
func (a *eventQueue) Pop() any {
	h := a.list[len(a.list)-1]
	a.list = a.list[:len(a.list)-1]
	return h
}

func (a *eventQueue) schedule(at clock.Millis, do func()) {
	a.seq++
	heap.Push(a, event{at, a.seq, do})
}

// Policy chooses the engine of a turn; nil sheds the turn. Only types of this package
// implement it.
type Policy interface {
	Name() string
	choose(p *pool, entry int, t trace.Turn) (e *engine, tries int)
	// turnFinished is called at the end of each turn.
	turnFinished(p *pool, entry int, t trace.Turn, e *engine)
}

// pool is the state of one run.
type pool struct {
	cfg     Config
	now     clock.Millis
	rnd     *rand.Rand
	engines []*engine
	events  eventQueue
	// listed holds the engines that each entry knows from the list alone.
	listed [][]*engine
	// views hold the same engines as weldfall's membership view keeps them.
	views  []*member.View
	policy Policy
	next   int
}

func (p *pool) key(t trace.Turn) uint64 { return uint64(t.Chat)*0x9e3779b97f4a7c15 + 1 }

// alive returns the engines that run, including draining ones.
func (p *pool) alive() []*engine {
	return slices.DeleteFunc(slices.Clone(p.engines), func(e *engine) bool { return e.stopped })
}

func (p *pool) join() *engine {
	slots := p.cfg.Slots
	if p.cfg.UnequalSlots && p.next%3 == 0 {
		slots = max(1, slots/2)
	}
	e := &engine{id: fmt.Sprint("engine-", p.next), slots: slots, index: route.NewCacheIndex(p.cfg.CacheTokens), cache: newLRU(p.cfg.CacheTokens), joined: p.now, loads: route.NewLoads()}
	p.next++
	p.engines = append(p.engines, e)
	return e
}

// notifyEntries applies a change of the list at each entry after a random delay.
func (p *pool) notifyEntries(change func(entry int)) {
	for i := range p.listed {
		lag := clock.Millis(0)
		if p.cfg.ListLag > 0 {
			lag = clock.Millis(p.rnd.Int64N(int64(p.cfg.ListLag)))
		}
		p.events.schedule(p.now+lag, func() { change(i) })
	}
}

func (p *pool) announceListed(e *engine) { p.notifyEntries(func(i int) { p.list(i, e) }) }

func (p *pool) list(entry int, e *engine) {
	p.listed[entry] = append(p.listed[entry], e)
	p.views[entry].SetListed(member.Instance{
		ID: e.id, Role: member.Daemon, Pool: poolName, State: member.Live, Engines: []member.EngineInfo{{ID: e.id, Slots: e.slots}},
	}, p.now)
}

func (p *pool) announceUnlisted(e *engine) { p.notifyEntries(func(i int) { p.unlist(i, e) }) }

func (p *pool) unlist(entry int, e *engine) {
	p.listed[entry] = slices.DeleteFunc(p.listed[entry], func(x *engine) bool { return x == e })
	p.views[entry].SetUnlisted(e.id, p.now)
}

// poolName is the only pool of a run.
const poolName = "pool"

// candidates returns the engines that an entry may send new work to.
func (p *pool) candidates(entry int) []*engine {
	var out []*engine
	for _, in := range p.views[entry].Candidates(poolName, p.now) {
		out = append(out, p.find(in.ID))
	}
	return out
}

// replace removes the oldest engine, with notice if configured, and adds a new one.
func (p *pool) replace() {
	p.events.schedule(p.now+p.cfg.ReplacePeriod, p.replace)
	live := slices.DeleteFunc(p.alive(), func(e *engine) bool { return e.draining })
	old := live[0]
	for _, e := range live {
		if e.joined < old.joined {
			old = e
		}
	}
	old.draining = p.cfg.DrainNotice > 0
	p.announceUnlisted(old)
	if h, ok := p.policy.(handover); ok && p.cfg.DrainNotice > 0 {
		h.handOver(p, old)
	}
	p.events.schedule(p.now+p.cfg.DrainNotice, func() { old.stopped = true })
	p.announceListed(p.join())
}

// handover is implemented by policies that move cached prefixes on a planned stop.
type handover interface{ handOver(p *pool, old *engine) }

// scheduleDisturbances schedules the configured disturbances.
func (p *pool) scheduleDisturbances() {
	if p.cfg.ReplacePeriod > 0 {
		p.events.schedule(p.cfg.ReplacePeriod, p.replace)
	}
	if p.cfg.HalfLostAt > 0 {
		p.events.schedule(p.cfg.HalfLostAt, func() {
			for _, e := range p.engines[:len(p.engines)/2] {
				e.stopped = true
				p.announceUnlisted(e)
			}
		})
	}
	if p.cfg.SplitAt > 0 {
		p.events.schedule(p.cfg.SplitAt, func() {
			half := len(p.engines) / 2
			for i := range p.listed {
				lost := p.engines[:half]
				if i%2 == 0 {
					lost = p.engines[half:]
				}
				for _, e := range lost {
					p.unlist(i, e)
				}
			}
		})
	}
	if p.cfg.FlapPeriod > 0 {
		var flap func()
		flap = func() {
			e := p.engines[0]
			p.announceUnlisted(e)
			p.events.schedule(p.now+p.cfg.FlapPeriod/4, func() { p.announceListed(e) })
			p.events.schedule(p.now+p.cfg.FlapPeriod, flap)
		}
		p.events.schedule(p.cfg.FlapPeriod, flap)
	}
}

// Run replays the turns under a policy.
func Run(cfg Config, policy Policy, turns []trace.Turn) Outcome {
	p := &pool{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 7)), policy: policy, listed: make([][]*engine, cfg.Entries)}
	for i := range p.listed {
		p.views = append(p.views, member.NewView(fmt.Sprint("entry-", i), 0))
	}
	for range cfg.Engines {
		e := p.join()
		for i := range p.listed {
			p.list(i, e)
		}
	}
	p.scheduleDisturbances()
	m := meter{cfg: cfg}
	for _, t := range turns {
		p.advance(t.Arrival)
		p.turn(t, &m)
	}
	return m.outcome(policy.Name())
}

func (p *pool) advance(to clock.Millis) {
	for len(p.events.list) > 0 && p.events.list[0].at <= to {
		h := heap.Pop(&p.events).(event)
		p.now = h.at
		h.do()
	}
	p.now = to
}

func (p *pool) turn(t trace.Turn, m *meter) {
	entry := p.rnd.IntN(p.cfg.Entries)
	e, tries := p.policy.choose(p, entry, t)
	m.turns++
	m.tries += tries
	if e == nil {
		m.shed++
		return
	}
	cached := min(e.cache.size[t.Chat], t.SharedTokens)
	if t.Number > 0 {
		m.shared += t.SharedTokens
		m.cached += cached
	}
	e.running++
	e.recordLoad(p.now)
	m.sample(p)
	took := clock.Millis((t.PromptTokens-cached)/p.cfg.PrefillTokensPerMS) + clock.Millis(t.OutputTokens)*p.cfg.TokenGap
	p.events.schedule(p.now+took, func() {
		e.running--
		e.recordLoad(p.now)
		e.cache.put(t.Chat, t.PromptTokens+t.OutputTokens)
		p.policy.turnFinished(p, entry, t, e)
	})
}

// meter sums up the measurements of a run.
type meter struct {
	cfg                           Config
	turns, tries, shed            int
	cached, shared, over, samples int
	ratios                        []float64
}

// sample records the actual loads of the pool.
func (m *meter) sample(p *pool) {
	total, slots, n := 0, 0, 0
	for _, e := range p.engines {
		if !e.stopped && !e.draining {
			total += e.running
			slots += e.slots
			n++
		}
	}
	if n == 0 || total < n {
		return
	}
	mean := float64(total) / float64(slots)
	worst, over := 0.0, false
	for _, e := range p.engines {
		if e.stopped || e.draining {
			continue
		}
		worst = max(worst, float64(e.running)/float64(e.slots)/mean)
		over = over || e.running > route.Limit(m.cfg.Bound, mean, m.cfg.Floor, e.slots, n)
	}
	m.samples++
	if over {
		m.over++
	}
	m.ratios = append(m.ratios, worst)
}

func (m *meter) outcome(name string) Outcome {
	o := Outcome{Policy: name, Turns: m.turns}
	if m.turns > 0 {
		o.Tries, o.Shed = float64(m.tries)/float64(m.turns), float64(m.shed)/float64(m.turns)
	}
	if m.shared > 0 {
		o.Reuse = float64(m.cached) / float64(m.shared)
	}
	if m.samples > 0 {
		slices.Sort(m.ratios)
		o.SkewWorst, o.SkewP99 = m.ratios[len(m.ratios)-1], m.ratios[len(m.ratios)*99/100]
		o.OverBound = float64(m.over) / float64(m.samples)
	}
	return o
}
