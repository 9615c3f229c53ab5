// Package fairshare decides which requests belong to what a workspace uses above its fair
// part of a service. It does no I/O: requests, the reports of other entries and the time
// are passed in.
//
// The part of a workspace is its usual use times the growth that it shares with the
// others, and at least an equal part of what all use. docs/design/fair-parts.md gives the
// reasons.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
)

// Defaults of Config.
const (
	DefaultTracked  = 256
	DefaultServices = 64
)

const (
	// slack is the growth beyond the others' that a workspace may have.
	slack = 1.25
	// ownSigmas is the number of standard deviations by which use must exceed the part if
	// no others report it, sumSigmas that by which the sum of all entries must.
	ownSigmas = 1.25
	sumSigmas = 1
	// shortSigmas is the number of standard deviations from which an excess is reported to
	// others while engines are short of room, quietSigmas that while they aren't.
	shortSigmas = 1
	quietSigmas = 2
	// learnFor is how long a service is watched before anything counts as an excess.
	learnFor clock.Millis = 5000
	// creditFor is how much of its part a workspace may use at once and have it counted as
	// usual.
	creditFor clock.Millis = 1000
	// burstSigmas is how many standard deviations, and how many requests, it may use more.
	burstSigmas = 2
	// refreshPeriod is how often the growth of all workspaces is computed.
	refreshPeriod clock.Millis = 200
	// activeFor is how long a workspace without requests still counts for the equal part.
	activeFor clock.Millis = 30_000
	// maxVote is the greatest weight of one workspace in the growth of all.
	maxVote = 0.25
	// logPeriod is the least time between two reported changes of a service.
	logPeriod clock.Millis = 1000
)

// Config configures a Tracker.
type Config struct {
	// Tracked is the number of workspaces of a service that are counted one by one.
	Tracked int
	// Services is the number of services that are tracked.
	Services int
	// Weight returns the weight of a workspace in the equal parts. All have the same
	// weight if it is nil.
	Weight func(workspace string) float64
}

// Request is a request that is counted.
type Request struct {
	Service, Workspace, ID string
	// Cost is the work that it asks for, in a unit that all requests of a service share.
	Cost float64
	// Short is true if the engines seem short of room.
	Short bool
}

// Decision is what is known of the workspace of a request.
type Decision struct {
	// Over is true if the request belongs to the excess.
	Over bool
	// Usage is what the workspace asks for per second at this entry, Part its fair part.
	Usage, Part float64
	// Excess is the use as a multiple of the fair part. At most 1 means no excess.
	Excess float64
	// Changed is true if the workspace went over its part or back, and this should be
	// logged.
	Changed bool
	// Gates is the number of other entries whose reports counted, Age the age of the
	// oldest.
	Gates int
	Age   clock.Millis
	// deviation is the standard deviation of the use if it were the part at most.
	deviation float64
}

// Tracker tracks the use of services by workspaces. It is safe for concurrent use.
type Tracker struct {
	cfg Config

	mu       sync.Mutex
	services map[string]*service
	// reportUntil is until when there may be something to report.
	reportUntil clock.Millis
}

// New returns a Tracker that has seen no requests.
func New(cfg Config) *Tracker {
	cfg.Tracked = cmp.Or(cfg.Tracked, DefaultTracked)
	cfg.Services = cmp.Or(cfg.Services, DefaultServices)
	return &Tracker{cfg: cfg, services: map[string]*service{}}
}

// service is the use of one service.
type service struct {
	// start is when the first request was counted.
	start      clock.Millis
	workspaces map[uint32]*workspace
	// tracked has the same workspaces. It is searched faster.
	tracked []*workspace
	// usual is the usual use by all workspaces, tracked or not.
	usual average
	// growths is sorted by growth and has the workspaces that have been tracked for long.
	// votes is the sum of their weights, weights that of the weights of all active
	// workspaces. They are computed at refreshedAt.
	growths     []growth
	votes       float64
	weights     float64
	refreshedAt clock.Millis
	loggedAt    clock.Millis
}

// workspace is the use of a service by a workspace.
type workspace struct {
	hash   uint32
	weight float64
	recent window
	usual  average
	// since is when the workspace was first tracked, seenAt when it last was.
	since, seenAt clock.Millis
	// credit is the cost that may still count as usual.
	credit float64
	// rank is the use that decides which workspace is no longer tracked.
	rank float64
	// overAt is when the entry's own count last showed an excess, zero if never.
	overAt clock.Millis
	// reportedOver is what was last logged.
	reportedOver bool
	others       reports
}

// growth is the recent use of a workspace divided by its usual use.
type growth struct {
	hash        uint32
	ratio, vote float64
}

// Hash identifies a workspace of a service in reports.
func Hash(service, workspace string) uint32 {
	return uint32(xxh3.HashString(service + "\x00" + workspace))
}

// Record counts a request and decides about it.
func (t *Tracker) Record(r Request, now clock.Millis) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(r.Service, now)
	w := t.workspace(s, r, now)
	cost := max(0, r.Cost)
	w.recent.add(cost, now)
	w.rank += cost / windowSeconds
	if now-s.refreshedAt >= refreshPeriod {
		t.refresh(s, now)
	}
	d := t.decide(s, w, r.Short, now)
	usual := w.spendCredit(cost, d, now)
	if now-s.start < learnFor {
		usual, d.Excess = cost, 1
	}
	w.usual.add(usual, now)
	s.usual.add(usual, now)
	d.Over = d.Excess > 1 && draw(r.ID) < 1-1/d.Excess
	if over := d.Excess > 1; over != w.reportedOver && (s.loggedAt == 0 || now-s.loggedAt >= logPeriod) {
		w.reportedOver, s.loggedAt, d.Changed = over, now, true
	}
	return d
}

// spendCredit returns how much of a cost counts as usual, so that an excess does not become
// usual. Over time that is at most the part; bursts that may be chance count.
func (w *workspace) spendCredit(cost float64, d Decision, now clock.Millis) float64 {
	burst := d.Part*float64(creditFor)/millisPerSecond + burstSigmas*d.deviation*windowSeconds + burstSigmas*cost
	if w.seenAt == 0 {
		w.credit = burst
	} else {
		w.credit = min(burst, w.credit+d.Part*float64(now-w.seenAt)/millisPerSecond)
	}
	w.seenAt = now
	spent := min(cost, w.credit)
	w.credit -= spent
	return spent
}

// draw returns a number in [0, 1) that depends on a request alone.
func draw(id string) float64 { return float64(xxh3.HashString(id)>>11) / (1 << 53) }

// service returns the state of a service. It drops the one that was used least lately if
// there are too many.
func (t *Tracker) service(name string, now clock.Millis) *service {
	if s := t.services[name]; s != nil {
		return s
	}
	if len(t.services) >= t.cfg.Services {
		oldest := ""
		for n, s := range t.services {
			if oldest == "" || s.usual.at < t.services[oldest].usual.at {
				oldest = n
			}
		}
		delete(t.services, oldest)
	}
	s := &service{start: now, workspaces: map[uint32]*workspace{}, usual: average{at: now}, refreshedAt: now - refreshPeriod}
	t.services[name] = s
	return s
}

// workspace returns the state of the workspace of a request. If there are too many, the
// one that uses the least is dropped, of several the one that was seen first.
func (t *Tracker) workspace(s *service, r Request, now clock.Millis) *workspace {
	h := Hash(r.Service, r.Workspace)
	if w := s.workspaces[h]; w != nil {
		return w
	}
	w := &workspace{hash: h, weight: 1, usual: average{at: now}, since: now}
	if len(s.workspaces) >= t.cfg.Tracked {
		i := s.least()
		delete(s.workspaces, s.tracked[i].hash)
		// Of those that use the least, the new one is the last to be dropped.
		w.rank = s.tracked[i].rank
		s.tracked[i] = w
	} else {
		s.tracked = append(s.tracked, w)
	}
	if t.cfg.Weight != nil {
		w.weight = t.cfg.Weight(r.Workspace)
	}
	s.workspaces[h] = w
	return w
}

// least returns the index of the workspace that uses the least, of several that of the one
// that was seen first.
func (s *service) least() int {
	least := 0
	for i, w := range s.tracked {
		if l := s.tracked[least]; w.rank < l.rank || w.rank == l.rank && w.seenAt < l.seenAt {
			least = i
		}
	}
	return least
}

// refresh computes the growth of the tracked workspaces.
func (t *Tracker) refresh(s *service, now clock.Millis) {
	s.refreshedAt = now
	s.growths, s.votes, s.weights = s.growths[:0], 0, 0
	// What is new has grown from nothing, which says nothing of the others.
	known := min(usualHalfLife, now-s.start) / 2
	most := maxVote * s.usual.rate(s.start, now)
	for _, w := range s.tracked {
		rate, _ := w.recent.rate(s.start, now)
		usual := w.usual.rate(s.start, now)
		w.rank = rate + usual
		if now-w.seenAt <= activeFor {
			s.weights += w.weight
		}
		if vote := min(usual, most); vote > 0 && now-w.since >= known {
			s.growths = append(s.growths, growth{w.hash, rate / usual, vote})
			s.votes += vote
		}
	}
	slices.SortFunc(s.growths, func(a, b growth) int { return cmp.Compare(a.ratio, b.ratio) })
}

// growthBeside returns the median growth of the other workspaces, weighted by their usual
// use, or 1 if it is less.
func (s *service) growthBeside(hash uint32) float64 {
	half := s.votes
	for _, g := range s.growths {
		if g.hash == hash {
			half -= g.vote
		}
	}
	half /= 2
	for _, g := range s.growths {
		if g.hash == hash {
			continue
		}
		if half -= g.vote; half <= 0 {
			return max(1, g.ratio)
		}
	}
	return 1
}

// part returns the fair part of a workspace.
func (s *service) part(w *workspace, now clock.Millis) float64 {
	g := s.growthBeside(w.hash)
	usual := w.usual.rate(s.start, now)
	equal := s.usual.rate(s.start, now) * w.weight / max(s.weights, w.weight)
	return g * slack * max(usual, equal)
}

// decide compares the use of a workspace with its part. The reports of others say whether
// an excess is more than chance, and what it is in all entries together; it is never more
// than what this entry sees itself.
func (t *Tracker) decide(s *service, w *workspace, short bool, now clock.Millis) Decision {
	rate, variance := w.recent.rate(s.start, now)
	d := Decision{Usage: rate, Part: s.part(w, now)}
	d.deviation = math.Sqrt(variance * min(1, d.Part/max(rate, math.SmallestNonzeroFloat64)))
	reported := float64(quietSigmas)
	if short {
		reported = shortSigmas
	}
	if excess(rate, d.Part, variance, reported) > 1 {
		w.overAt = now
		t.reportUntil = max(t.reportUntil, now+overFor)
	}
	p := w.others.pool(now)
	if p.gates == 0 {
		d.Excess = excess(rate, d.Part, variance, ownSigmas)
		return d
	}
	d.Gates, d.Age = p.gates, p.age
	// The requests at others vary as much as those here.
	pooled := variance * (rate + p.rate*p.noise) / max(rate, math.SmallestNonzeroFloat64)
	d.Excess = min(excess(rate, d.Part, 0, 0), excess(rate+p.rate, d.Part+p.part, pooled, sumSigmas))
	return d
}

// excess returns the use as a multiple of the part, or 1 if it may be more than the part
// by chance.
func excess(rate, part, variance, sigmas float64) float64 {
	if rate-part <= sigmas*math.Sqrt(variance) {
		return 1
	}
	return rate / max(part, math.SmallestNonzeroFloat64)
}

// Tracked returns the number of workspaces that are counted one by one.
func (t *Tracker) Tracked() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.services {
		n += len(s.workspaces)
	}
	return n
}
