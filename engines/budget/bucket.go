package budget

import "github.com/weldfall/weldfall/common/clock"

// burstShare limits the bucket to the tokens earned by the requests of this share of a window.
const burstShare = 0.2

// tokenBucket holds the retries that were earned and not yet spent. The retries that arrive
// in one window are at most those held before it, plus those that any process earned within
// the window or within the lag before it.
type tokenBucket struct {
	tokens float64
	// filledAt is the time up to which the extra retries were added.
	filledAt clock.Millis
}

// newTokenBucket returns the bucket of a process that has just started. It holds at most one
// retry, since the previous process may have spent the extra ones.
func newTokenBucket(cfg Config) tokenBucket {
	return tokenBucket{tokens: min(1, cfg.Extra), filledAt: cfg.StartedAt}
}

// refill adds the extra retries for the time since the last refill and enforces the capacity.
// perWindow is the number of requests that clients send in a window.
func (b *tokenBucket) refill(cfg Config, now clock.Millis, perWindow float64) {
	if elapsed := now - b.filledAt; elapsed > 0 {
		b.tokens += cfg.Extra * float64(elapsed) / float64(max(1, cfg.Window))
		b.filledAt = now
	}
	b.tokens = min(b.tokens, max(1, cfg.Extra+burstShare*perWindow*cfg.tokensPerRequest()))
}

// earn adds the tokens of one request.
func (b *tokenBucket) earn(cfg Config) { b.tokens += cfg.tokensPerRequest() }

// tokensPerRequest returns the tokens that one request earns. They are fewer than the
// spendable share of the ratio, since retries held before a window and retries earned during
// the lag before it may arrive in the window as well.
func (c Config) tokensPerRequest() float64 {
	lag := float64(min(c.Lag, c.Window)) / float64(max(1, c.Window))
	return spendableShare * c.Ratio / (1 + burstShare + lag)
}
