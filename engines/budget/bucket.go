package budget

import "github.com/weldfall/weldfall/common/clock"

// burst is the part of a window whose requests earn what a bucket holds at most.
const burstShare = 0.2

// bucket holds the repeats that were earned and not yet taken. At most those arrive in a
// window that were held before it, and those that were earned in it and in the lag before
// it, by whichever processes.
type tokenBucket struct {
	tokens float64
	// filled is up to when the extra was added.
	filledAt clock.Millis
}

// newBucket returns the bucket of a process that has just begun. It has one repeat, since
// the extra of the process before it may be spent.
func newTokenBucket(cfg Config) tokenBucket {
	return tokenBucket{tokens: min(1, cfg.Extra), filledAt: cfg.StartedAt}
}

// fill adds the extra of the time since it was last added. base is how many requests callers
// send in a window.
func (b *tokenBucket) refill(cfg Config, now clock.Millis, base float64) {
	if passed := now - b.filledAt; passed > 0 {
		b.tokens += cfg.Extra * float64(passed) / float64(max(1, cfg.Window))
		b.filledAt = now
	}
	b.tokens = min(b.tokens, max(1, cfg.Extra+burstShare*base*cfg.tokensPerRequest()))
}

// request adds what a request earns.
func (b *tokenBucket) earn(cfg Config) { b.tokens += cfg.tokensPerRequest() }

// earned returns what a request earns. It is less than the share of the ratio, since what was
// held before a window and what was earned in the lag before it may arrive in the window, too.
func (c Config) tokensPerRequest() float64 {
	lag := float64(min(c.Lag, c.Window)) / float64(max(1, c.Window))
	return spendableShare * c.Ratio / (1 + burstShare + lag)
}
