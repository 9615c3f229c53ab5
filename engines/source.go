package engines

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// youth is for how long an engine that joined is taken to lack what its
	// place in the rankings would make it keep: most chats that are going on
	// return within this time.
	youth clock.Millis = 15_000
	// soundFor is how long the last sign of an engine is good for.
	soundFor clock.Millis = 3000
)

// source returns the engine that most likely keeps more of the prompt than
// the chosen one, nil if none is likely to. What this entry sent comes first;
// for prompts that other entries sent, the ranking tells where these put them.
// Leaving engines still give what they have. A wrong guess costs the engine one
// question.
func (b *Book) source(q Query, p *pool, chosen *Engine, now clock.Millis) *Engine {
	last := len(q.Keys) - 1
	for i := last; i >= 0; i-- {
		if b.memory.holds(q.Keys[i], chosen.info.ID) {
			return nil
		}
		for _, id := range b.memory.holders(q.Keys[i]) {
			if e := b.byID[id]; e != nil && e.info.Service == q.Service && e.sound(q.Silence, now) {
				return e
			}
		}
		if i == last {
			if e := p.keeper(q, chosen, now); e != nil {
				return e
			}
		}
	}
	return nil
}

// keeper returns the engine to which other entries most likely sent a prompt
// before: one that ranks before the chosen one and is left out, or else the
// next of its homes, which were also those before the chosen one joined.
func (p *pool) keeper(q Query, chosen *Engine, now clock.Millis) *Engine {
	order := ranked(q.Keys[len(q.Keys)-1], p.engines)
	at := slices.Index(order, chosen)
	for _, e := range order[:at] {
		if e.sound(q.Silence, now) {
			return e
		}
	}
	if homes(q.Tokens) == 1 && !chosen.young(now) {
		return nil
	}
	for _, e := range order[at+1:] {
		if !e.young(now) && e.sound(q.Silence, now) {
			return e
		}
	}
	return nil
}

func (e *Engine) young(now clock.Millis) bool { return now-e.seenAt < youth }

// sound reports whether an engine answers, as far as is known.
func (e *Engine) sound(silence, now clock.Millis) bool {
	heard := e.heardAt
	if e.told {
		heard = max(heard, e.othersAt)
	}
	return !e.health.held(now) && e.silence(now) <= silence && heard > 0 && now-heard < soundFor
}
