// Package budget bounds what a process sends beyond the first time of each
// request, so that retries of the whole fleet stay within a share of its
// requests. Each process keeps to a ratio of its own requests; since the ratio
// holds for each, it holds for the sum, and no process needs to know the others.
//
// The bound is one of arrivals in a window, against what callers sent. A process
// knows when it read a request and when it decided to repeat one, and nothing of
// the process that ran before it. So what it may repeat is counted in two ways,
// and the lesser is what is left: by window, whatever was read late, and from a
// bucket that holds little, so that a process that ends has not spent much ahead.
//
// It is pure: the time is handed in, and callers lock.
package budget

import (
	"math"

	"github.com/weldfall/weldfall/common/clock"
)

// share is the part of the ratio that may be spent in a window, by a process and by those that
// follow it. The rest is a margin for what no process sees.
const share = 0.8

// Config sets up a Budget.
type Config struct {
	// Ratio is how many repeats are allowed for each request.
	Ratio float64
	// Window is the time over which both are counted.
	Window clock.Millis
	// Extra is how many repeats this process may add to the ratio in a window.
	Extra float64
	// Lag is how long after it was taken a repeat may still arrive. More than a window
	// counts as a window.
	Lag clock.Millis
	// StartedAt is when this process began to take requests.
	StartedAt clock.Millis
}

// Budget counts the requests and the repeats of one service.
type Budget struct {
	cfg    Config
	window window
	bucket bucket
	usage  Usage
}

// Usage is what a budget counted since it was made.
type Usage struct {
	// Requests is how many requests were counted, Spent how many repeats were taken, and
	// Denied how many more were asked for.
	Requests, Spent, Denied uint64
	// MinRemaining is the least that was left when a repeat was asked for, since the call of
	// Usage before; it is what is left now if none was.
	MinRemaining float64
}

// New returns a budget that has counted nothing.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, bucket: newBucket(cfg), usage: Usage{MinRemaining: math.Inf(1)}}
}

// Configure changes what is allowed. What was counted stays, unless the window is
// another.
func (b *Budget) Configure(cfg Config) {
	if cfg.Window != b.cfg.Window {
		b.window = window{}
	}
	b.cfg = cfg
}

// RecordRequest counts a request that is about to be sent for the first time.
func (b *Budget) RecordRequest(now clock.Millis) {
	b.window.at(b.cfg, now).requests++
	b.bucket.fill(b.cfg, now, b.window.base(b.cfg))
	b.bucket.request(b.cfg)
	b.usage.Requests++
}

// Remaining returns how many repeats are allowed now.
func (b *Budget) Remaining(now clock.Millis) float64 {
	b.window.at(b.cfg, now)
	base := b.window.base(b.cfg)
	b.bucket.fill(b.cfg, now, base)
	return min(b.bucket.tokens, share*b.cfg.Ratio*base+b.cfg.Extra-float64(b.window.repeats(b.cfg)))
}

// Spend takes one repeat, or reports that none is left.
func (b *Budget) Spend(now clock.Millis) bool {
	left := b.Remaining(now)
	b.usage.MinRemaining = min(b.usage.MinRemaining, left)
	if left < 1 {
		b.usage.Denied++
		return false
	}
	b.window.at(b.cfg, now).repeats++
	b.bucket.tokens--
	b.usage.Spent++
	return true
}

// Usage returns what was counted.
func (b *Budget) Usage(now clock.Millis) Usage {
	u := b.usage
	u.MinRemaining = min(u.MinRemaining, b.Remaining(now))
	b.usage.MinRemaining = math.Inf(1)
	return u
}
