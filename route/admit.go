package route

import "github.com/weldfall/weldfall/wire"

// Offer is a request at the daemon of the engine it was sent to.
type Offer struct {
	Chat      uint64
	Returning bool
	Mode      wire.Mode
}

// State is what the daemon knows for certain or believes of its engine.
type State struct {
	Engine string
	// Requests is the exact number running or waiting here.
	Requests int
	Slots    int
	// Mean is the pool's mean load per slot, below zero if unknown; Engines
	// is the pool's size.
	Mean    float64
	Engines int
	Bound   float64
	Floor   int
	Leaving bool
	// Next is the engine after this one in the chat's ranking, "" if none.
	Next string
}

// Answer is what the daemon makes of an offer: Admit, Redirect or Refuse.
type Answer interface{ answer() }

// Admit takes the request.
type Admit struct{}

// Redirect names an engine that may hold the chat's prefix.
type Redirect struct{ Engine string }

// Refuse turns the request away, for the load or because the engine leaves,
// or because it has nothing of the chat.
type Refuse struct {
	Leaving   bool
	NotCached bool
	OverBound bool
}

func (Admit) answer()    {}
func (Redirect) answer() {}
func (Refuse) answer()   {}

// Decide answers an offer. The daemon is authoritative: entries act on old
// views, and this is where a wrong guess is put right.
func Decide(o Offer, s State, b *Book) Answer {
	if s.Leaving {
		return Refuse{Leaving: true}
	}
	cached := o.Chat != 0 && b.Cached(o.Chat) > 0
	if o.Mode == wire.ModeCachedOnly && !cached {
		return Refuse{NotCached: true}
	}
	if o.Mode != wire.ModeForce && s.Mean >= 0 && s.Requests+1 > Limit(s.Bound, s.Mean, s.Floor, s.Slots, s.Engines) {
		return Refuse{OverBound: true}
	}
	if o.Chat == 0 || cached || !o.Returning || o.Mode == wire.ModeFinal || o.Mode == wire.ModeForce {
		return Admit{}
	}
	if at := b.PlacedAt(o.Chat); at != "" && at != s.Engine {
		return Redirect{Engine: at}
	}
	// Before this engine joined, the next in the ranking was the home.
	if s.Next != "" {
		return Redirect{Engine: s.Next}
	}
	return Admit{}
}
