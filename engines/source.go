package engines

import "github.com/weldfall/weldfall/common/clock"

const (
	// youth is for how long an engine that joined is taken to lack what its
	// place in the rankings would make it keep: most chats that are going on
	// return within this time.
	youth clock.Millis = 15_000
	// soundFor bounds the age of the last sign of an engine that proves it reachable.
	soundFor clock.Millis = 6000
)

// source returns the engine that most likely keeps more of the prompt than
// the chosen one, nil if none is likely to. What this entry sent comes first;
// for prompts that other entries sent, the ranking tells where these put them.
// Leaving and evacuated engines still give what they have. A wrong guess costs the
// engine one question.
func (b *Registry) source(q Query, order *ranking, chosen *Engine, now clock.Millis) *Engine {
	last := len(q.Keys) - 1
	for i := last; i >= 0; i-- {
		if b.keeps(chosen, q.Keys[i], now) {
			return nil
		}
		for _, n := range b.memory.holders(q.Keys[i]) {
			if e := b.Find(n); e != nil && e != chosen && e.info.Service == q.Service && b.sound(e, q.MaxSilence, now) {
				return e
			}
		}
		if i == last {
			if e := b.keeper(order, q, chosen, now); e != nil {
				return e
			}
		}
	}
	return nil
}

// keeper returns the engine to which other entries most likely sent a prompt
// before: one that ranks before the chosen one and is left out, or else the
// next of its homes, which were also those before the chosen one joined.
func (b *Registry) keeper(order *ranking, q Query, chosen *Engine, now clock.Millis) *Engine {
	i := 0
	for ; order.has(i); i++ {
		e := order.in[order.at(i)]
		if e == chosen {
			break
		}
		if b.sound(e, q.MaxSilence, now) {
			return e
		}
	}
	if homes(q.Tokens) == 1 && !chosen.young(now) {
		return nil
	}
	for i++; order.has(i); i++ {
		if e := order.in[order.at(i)]; !e.young(now) && b.sound(e, q.MaxSilence, now) {
			return e
		}
	}
	return nil
}

// keeps reports whether an engine most likely keeps a beginning that this entry
// sent it. One that was evacuated meanwhile may not, if another had it later.
func (b *Registry) keeps(e *Engine, key uint64, now clock.Millis) bool {
	n := e.info.Incarnation()
	if !b.memory.holds(key, n) {
		return false
	}
	return !e.returned(now) || b.memory.holders(key)[0] == n
}

// young reports whether an engine lacks what its place in the rankings would make
// it keep.
func (e *Engine) young(now clock.Millis) bool { return now-e.listedAt < youth || e.returned(now) }

// returned reports whether an engine's data hall was taken back lately.
func (e *Engine) returned(now clock.Millis) bool { return e.reopenedAt > 0 && now-e.reopenedAt < youth }

// sound reports whether an engine answers, as far as is known.
func (b *Registry) sound(e *Engine, silence, now clock.Millis) bool {
	if e.invalid || e.ousted() || e.health.held(now) || e.silence(now) > silence {
		return false
	}
	if since, ok := b.evacuated[e.info.Hall]; ok && e.listedAt > since {
		// It came when nothing was sent there any more.
		return false
	}
	heard := e.lastActiveAt
	if e.hasReport {
		heard = max(heard, e.reportedAt)
	}
	return heard > 0 && (now-heard < soundFor || b.vouched(e, now))
}

// vouched reports whether an evacuated engine is there though nothing is sent to
// it that could bring a sign: the list says so. It is worth asking while the
// chats that it had return, unless it started since and had none.
func (b *Registry) vouched(e *Engine, now clock.Millis) bool {
	since, ok := b.evacuated[e.info.Hall]
	return ok && now-since < youth && e.listedAt <= since
}
