package budget

import "github.com/weldfall/weldfall/common/clock"

// burst is the part of a window whose requests earn what a bucket holds at most.
const burst = 0.2

// bucket holds the repeats that were earned and not yet taken. At most those arrive in a
// window that were held before it, and those that were earned in it and in the lag before
// it, by whichever processes.
type bucket struct {
	tokens float64
	// filled is up to when the extra was added.
	filled clock.Millis
}

// newBucket returns the bucket of a process that has just begun. It has one repeat, since
// the extra of the process before it may be spent.
func newBucket(cfg Config) bucket {
	return bucket{tokens: min(1, cfg.Extra), filled: cfg.StartedAt}
}

// fill adds the extra of the time since it was last added. base is how many requests callers
// send in a window.
func (b *bucket) fill(cfg Config, now clock.Millis, base float64) {
	if passed := now - b.filled; passed > 0 {
		b.tokens += cfg.Extra * float64(passed) / float64(max(1, cfg.Window))
		b.filled = now
	}
	b.tokens = min(b.tokens, max(1, cfg.Extra+burst*base*cfg.earned()))
}

// request adds what a request earns.
func (b *bucket) request(cfg Config) { b.tokens += cfg.earned() }

// earned returns what a request earns. It is less than the share of the ratio, since what was
// held before a window and what was earned in the lag before it may arrive in the window, too.
func (c Config) earned() float64 {
	lag := float64(min(c.Lag, c.Window)) / float64(max(1, c.Window))
	return share * c.Ratio / (1 + burst + lag)
}
