package engines

import "github.com/weldfall/weldfall/common/clock"

const (
	// newEnginePeriod is for how long an engine that joined is assumed to lack the
	// prefixes that its place in the rankings would give it. Most chats in progress
	// return within this time.
	newEnginePeriod clock.Millis = 15_000
	// maxActivityAge is the highest age of an engine's last activity that shows that the
	// engine is reachable.
	maxActivityAge clock.Millis = 6000
)

// fetchSource returns the engine that most likely has more of the prompt cached than the
// chosen one, or nil if none is likely to. Engines that this entry sent the prefix come
// first; for prompts that other entries sent, the ranking shows where they sent them.
// Draining and evacuated engines can still be fetched from. A wrong guess costs the
// engine one query.
func (r *Registry) fetchSource(q Query, order *ranking, chosen *Engine, now clock.Millis) *Engine {
	last := len(q.Keys) - 1
	for i := last; i >= 0; i-- {
		if r.likelyCached(chosen, q.Keys[i], now) {
			return nil
		}
		for _, n := range r.prefixes.holders(q.Keys[i]) {
			if e := r.Find(n); e != nil && e != chosen && e.info.Service == q.Service && r.canServeFetch(e, q.MaxSilence, now) {
				return e
			}
		}
		if i == last {
			if e := r.rankedHolder(order, q, chosen, now); e != nil {
				return e
			}
		}
	}
	return nil
}

// rankedHolder returns the engine that other entries most likely sent the prompt to
// before. That is one that ranks before the chosen engine and was passed over, or else the
// next home in the ranking, which was a home already before the chosen engine joined.
func (r *Registry) rankedHolder(order *ranking, q Query, chosen *Engine, now clock.Millis) *Engine {
	i := 0
	for ; order.has(i); i++ {
		e := order.in[order.index(i)]
		if e == chosen {
			break
		}
		if r.canServeFetch(e, q.MaxSilence, now) {
			return e
		}
	}
	if homeCount(q.Tokens) == 1 && !chosen.isNew(now) {
		return nil
	}
	for i++; order.has(i); i++ {
		if e := order.in[order.index(i)]; !e.isNew(now) && r.canServeFetch(e, q.MaxSilence, now) {
			return e
		}
	}
	return nil
}

// likelyCached reports whether an engine most likely still has a prefix that this entry
// sent it. An engine in a reopened data hall may not, if another engine got the prefix
// later.
func (r *Registry) likelyCached(e *Engine, key uint64, now clock.Millis) bool {
	n := e.info.Incarnation()
	if !r.prefixes.holds(key, n) {
		return false
	}
	return !e.recentlyReopened(now) || r.prefixes.holders(key)[0] == n
}

// isNew reports whether an engine may still lack the prefixes that its place in the
// rankings would give it.
func (e *Engine) isNew(now clock.Millis) bool {
	return now-e.listedAt < newEnginePeriod || e.recentlyReopened(now)
}

// recentlyReopened reports whether the evacuation of an engine's data hall ended lately.
func (e *Engine) recentlyReopened(now clock.Millis) bool {
	return e.reopenedAt > 0 && now-e.reopenedAt < newEnginePeriod
}

// canServeFetch reports whether an engine is likely to respond to a fetch. One that rests is
// spared, one that leaves is not.
func (r *Registry) canServeFetch(e *Engine, maxSilence, now clock.Millis) bool {
	if e.unreadable || e.displaced() || e.said.Resting(now) || e.health.avoided(now) || e.silence(now) > maxSilence {
		return false
	}
	if since, ok := r.evacuated[e.info.Hall]; ok && e.listedAt > since {
		// It joined during the evacuation and was never sent a request.
		return false
	}
	activeAt := e.lastActiveAt
	if e.hasReport {
		activeAt = max(activeAt, e.reportedAt)
	}
	return activeAt > 0 && (now-activeAt < maxActivityAge || r.listedInEvacuation(e, now))
}

// listedInEvacuation reports whether the listing alone shows that an engine is there. That
// holds during an evacuation, when no requests are sent to the engine that would show
// activity, for as long as the chats it had return. It does not hold for an engine that
// was listed since, which had none.
func (r *Registry) listedInEvacuation(e *Engine, now clock.Millis) bool {
	since, ok := r.evacuated[e.info.Hall]
	return ok && now-since < newEnginePeriod && e.listedAt <= since
}
