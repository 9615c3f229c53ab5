package route

import "github.com/weldfall/weldfall/link/wire"

// Offer is a request at the daemon of the engine it was sent to.
type Offer struct {
	Chat uint64
	Mode wire.Mode
}

// State is what the daemon knows for certain or believes of its engine.
type State struct {
	Engine string
	// Requests is the exact number running or waiting here.
	Requests int
	Slots    int
	// Mean is the pool's mean load per slot, below zero if unknown; Engines
	// is the pool's size.
	Mean     float64
	Engines  int
	Bound    float64
	Floor    int
	Draining bool
	// UnderShare is true when the requester's partner has less than its share of an
	// engine where others wait; their queue is not held against it.
	UnderShare bool
}

// Admission is what the daemon makes of an offer: Admit, Redirect or Refuse.
type Admission interface{ admission() }

// Admit takes the request.
type Admit struct{}

// Redirect names the engine where the chat's latest turn ran. Cached is what
// this engine still holds of earlier turns, in tokens.
type Redirect struct {
	Engine string
	Cached int
}

// Refuse turns the request away, for the load or because the engine leaves,
// or because it has nothing of the chat.
type Refuse struct {
	Draining  bool
	NotCached bool
	OverBound bool
}

func (Admit) admission()    {}
func (Redirect) admission() {}
func (Refuse) admission()   {}

// Decide answers an offer. The daemon is authoritative: entries act on old
// views, and this is where a wrong guess is put right.
func Decide(o Offer, s State, b *CacheIndex) Admission {
	if s.Draining {
		return Refuse{Draining: true}
	}
	if o.Mode == wire.ModeCachedOnly {
		cached := b.CachedTokens(o.Chat)
		if at := b.Placement(o.Chat); at != "" && at != s.Engine {
			return Redirect{Engine: at, Cached: cached}
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
