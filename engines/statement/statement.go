// Package statement keeps what engines say of themselves in their responses: that they
// leave, or that they want no requests for a while. A statement is about one incarnation of
// an engine. It holds whatever the listing says, since the listing may be older. Package
// statement does no I/O; the caller passes the time.
package statement

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/weldfall/weldfall/common/clock"
)

// Said is what one response of an engine says of the engine.
type Said struct {
	// Leaving is true if the engine is about to end and wants no new requests.
	Leaving bool
	// Rest is how long the engine wants no requests from this entry, zero if it does not
	// say. It is not negative.
	Rest clock.Millis
	// Ignored is a value without effect, "" if there is none. Reason tells why, in one of a
	// few texts.
	Ignored, Reason string
}

// MaxRest is the longest rest that one response can ask for. An engine that asks for more is
// sent a request at its end, and may then ask again.
const MaxRest clock.Millis = 600_000

// Change is the effect of a statement on what is known of an engine.
type Change string

const (
	// Same means that nothing new was said.
	Same Change = ""
	// Left means that the engine says for the first time that it leaves.
	Left Change = "leaving"
	// RestBegun means that the engine asks for a rest while it had none.
	RestBegun Change = "resting"
	// Ignored means that a value was ignored, for the first time for its reason.
	Ignored Change = "ignored"
)

// State is what an incarnation of an engine said of itself, in responses or by its entry in the
// listing. A nil State has said nothing.
type State struct {
	// leaving is true from when the engine said that it leaves.
	leaving bool
	// draining is true from when the listing said that the engine drains, until that is known
	// to be wrong.
	draining bool
	// restUntil is the latest end of all rests that were asked for, zero if there was none.
	restUntil clock.Millis
	// ignored holds the reasons for which values were ignored.
	ignored []string
	// begun counts the requests since restUntil, as long as the engine reopens.
	begun int
}

// Leaving reports whether the engine leaves, by its own responses or by the listing.
func (s *State) Leaving() bool { return s != nil && (s.leaving || s.draining) }

// Resting reports whether the engine wants no requests at present.
func (s *State) Resting(now clock.Millis) bool { return s != nil && now < s.restUntil }

// RestUntil returns when the latest rest ends or ended, zero if there was none.
func (s *State) RestUntil() clock.Millis {
	if s == nil {
		return 0
	}
	return s.restUntil
}

// Closed reports whether the engine must get no requests.
func (s *State) Closed(now clock.Millis) bool { return s.Leaving() || s.Resting(now) }

const (
	// reopenPeriod is how long after a rest the requests to the engine are limited, so that
	// those that went elsewhere do not come back at one moment.
	reopenPeriod clock.Millis = 1000
	// reopenStep is the time for each request in this period.
	reopenStep clock.Millis = 100
)

// Held reports whether the engine has had its requests for now after a rest. The limit is
// not binding if no other engine is there.
func (s *State) Held(now clock.Millis) bool {
	if s == nil || s.restUntil == 0 || now < s.restUntil || now-s.restUntil >= reopenPeriod {
		return false
	}
	return s.begun > int((now-s.restUntil)/reopenStep)
}

// Begin counts a request that is about to be sent.
func (s *State) Begin(now clock.Millis) {
	if s != nil && s.restUntil > 0 && now >= s.restUntil && now-s.restUntil < reopenPeriod {
		s.begun++
	}
}

// record adds a statement.
func (s *State) record(in Said, now clock.Millis) Change {
	change := Same
	if in.Ignored != "" && !slices.Contains(s.ignored, in.Reason) {
		s.ignored = append(s.ignored, in.Reason)
		change = Ignored
	}
	if in.Rest > 0 {
		if now >= s.restUntil {
			change, s.begun = RestBegun, 0
		}
		s.restUntil = max(s.restUntil, now+min(in.Rest, MaxRest))
	}
	if in.Leaving && !s.leaving {
		s.leaving, change = true, Left
	}
	return change
}

// maxStates limits the states of a Book, at about 200 bytes each. A fleet has up to 10,000
// engines, and each of them may leave.
const maxStates = 16384

// Book holds the states of incarnations, which K identifies. The states that were not used
// for longest give way. It must be locked by the caller.
type Book[K comparable] struct {
	states *simplelru.LRU[K, *State]
}

// NewBook returns an empty book.
func NewBook[K comparable]() *Book[K] {
	// NewLRU fails only if the size is not positive.
	states, _ := simplelru.NewLRU[K, *State](maxStates, nil)
	return &Book[K]{states: states}
}

// Of returns the state of an incarnation, nil if it has said nothing. The state is kept up to
// date by Record.
func (b *Book[K]) Of(n K) *State {
	s, _ := b.states.Get(n)
	return s
}

// Record adds what a response of an incarnation said and returns its state, which is nil as
// long as it has said nothing.
func (b *Book[K]) Record(n K, in Said, now clock.Millis) (*State, Change) {
	s := b.Of(n)
	if s == nil {
		if in == (Said{}) {
			return nil, Same
		}
		s = &State{}
		b.states.Add(n, s)
	}
	return s, s.record(in, now)
}

// RecordDraining records that the listing has an incarnation as draining, and returns its state.
func (b *Book[K]) RecordDraining(n K) *State {
	s := b.Of(n)
	if s == nil {
		s = &State{}
		b.states.Add(n, s)
	}
	s.draining = true
	return s
}

// ForgetDraining drops what the listing said of the incarnations that match. What they said in
// responses holds.
func (b *Book[K]) ForgetDraining(match func(K) bool) {
	for _, n := range b.states.Keys() {
		if s, ok := b.states.Peek(n); ok && match(n) {
			s.draining = false
		}
	}
}
