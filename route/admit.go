package route

import "github.com/weldfall/weldfall/link/wire"

// Offer is a request for an engine, as the engine's daemon receives it.
type Offer struct {
	Chat uint64
	Mode wire.Mode
}

// State is the state of an engine and its pool as the engine's daemon knows it.
type State struct {
	Engine string
	// Requests is the exact number of running and waiting requests.
	Requests int
	Slots    int
	// Mean is the pool's mean load per slot, negative if it is unknown. Engines is the
	// number of engines in the pool.
	Mean     float64
	Engines  int
	Bound    float64
	Floor    int
	Draining bool
	// UnderShare is true if the request's partner has less than its share of the engine
	// while others wait. The load limit doesn't apply then, because the queue is theirs.
	UnderShare bool
}

// Admission is a daemon's decision on an offer: Admit, Redirect or Refuse.
type Admission interface{ admission() }

// Admit accepts the request.
type Admit struct{}

// Redirect names the engine that ran the chat's latest turn. Cached is the number of
// tokens of earlier turns that this engine still caches.
type Redirect struct {
	Engine string
	Cached int
}

// Refuse rejects the request because the engine drains, has nothing of the chat cached, or
// is over its load limit.
type Refuse struct {
	Draining  bool
	NotCached bool
	OverBound bool
}

func (Admit) admission()    {}
func (Redirect) admission() {}
func (Refuse) admission()   {}

// Decide returns a daemon's decision on an offer. It is authoritative: entries choose
// engines by stale views, and this decision corrects them.
func Decide(o Offer, s State, index *CacheIndex) Admission {
	if s.Draining {
		return Refuse{Draining: true}
	}
	if o.Mode == wire.ModeCachedOnly {
		cached := index.CachedTokens(o.Chat)
		if engine := index.Placement(o.Chat); engine != "" && engine != s.Engine {
			return Redirect{Engine: engine, Cached: cached}
		}
		if cached == 0 {
			return Refuse{NotCached: true}
		}
	}
	if o.Mode != wire.ModeForce && !s.UnderShare && s.Mean >= 0 && s.Requests+1 > Limit(s.Bound, s.Mean, s.Floor, s.Slots, s.Engines) {
		return Refuse{OverBound: true}
	}
	return Admit{}
}
