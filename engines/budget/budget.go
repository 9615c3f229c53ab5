// Package budget limits retries, so that those of the whole fleet stay within a
// share of its requests. Each process keeps to a ratio of its own requests.
// Since the ratio holds for each process, it holds for the sum, and no process
// needs to know the others.
//
// The limit applies to the retries that arrive in a window, relative to the
// requests that clients sent in it. A process only knows when it read a request
// and when it decided to retry one, and nothing of the process that ran before
// it. So the allowed retries are counted in two ways, and the smaller result
// applies: a sliding window accounts for requests that are read late, and a small
// token bucket limits what a process can have spent ahead when it terminates.
//
// The package reads no clock and does no locking; callers pass the time and
// synchronize access.
package budget

import (
	"math"

	"github.com/weldfall/weldfall/common/clock"
)

// spendableShare is the share of the ratio that a process and its successors may spend in a
// window. The rest is a margin for what no process can observe.
const spendableShare = 0.8

// Config configures a Budget.
type Config struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Window is the time over which requests and retries are counted.
	Window clock.Millis
	// Extra is the number of retries that this process may add in a window, beyond the ratio.
	Extra float64
	// Lag is the longest time from spending a retry to its arrival. It is capped at Window.
	Lag clock.Millis
	// StartedAt is the time at which this process began to accept requests.
	StartedAt clock.Millis
}

// Budget counts the requests and the retries of one service.
type Budget struct {
	cfg    Config
	window slidingWindow
	bucket tokenBucket
	usage  Usage
}

// Usage holds the counts of a budget since it was created.
type Usage struct {
	// Requests counts requests, Spent the retries that were taken, and Denied the retries that
	// were refused.
	Requests, Spent, Denied uint64
	// MinRemaining is the lowest remaining budget when a retry was requested since the previous
	// call of Usage, or the current remaining budget if that is lower.
	MinRemaining float64
}

// New returns a budget without any counted requests or retries.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, bucket: newTokenBucket(cfg), usage: Usage{MinRemaining: math.Inf(1)}}
}

// Configure replaces the configuration. Counts are kept unless the window changes.
func (b *Budget) Configure(cfg Config) {
	if cfg.Window != b.cfg.Window {
		b.window = slidingWindow{}
	}
	b.cfg = cfg
}

// RecordRequest counts a request that is about to be sent for the first time.
func (b *Budget) RecordRequest(now clock.Millis) {
	b.window.slotAt(b.cfg, now).requests++
	b.bucket.refill(b.cfg, now, b.window.requestsPerWindow(b.cfg))
	b.bucket.earn(b.cfg)
	b.usage.Requests++
}

// Remaining returns how many retries are allowed now.
func (b *Budget) Remaining(now clock.Millis) float64 {
	b.window.slotAt(b.cfg, now)
	perWindow := b.window.requestsPerWindow(b.cfg)
	b.bucket.refill(b.cfg, now, perWindow)
	return min(b.bucket.tokens, spendableShare*b.cfg.Ratio*perWindow+b.cfg.Extra-float64(b.window.retries(b.cfg)))
}

// Spend takes one retry from the budget. It returns false if none remains.
func (b *Budget) Spend(now clock.Millis) bool {
	remaining := b.Remaining(now)
	b.usage.MinRemaining = min(b.usage.MinRemaining, remaining)
	if remaining < 1 {
		b.usage.Denied++
		return false
	}
	b.window.slotAt(b.cfg, now).retries++
	b.bucket.tokens--
	b.usage.Spent++
	return true
}

// Refund gives back a retry that was taken at spentAt and not used.
func (b *Budget) Refund(spentAt, now clock.Millis) {
	b.window.slotAt(b.cfg, now)
	b.window.refund(b.cfg, spentAt)
	b.bucket.tokens++
	b.bucket.refill(b.cfg, now, b.window.requestsPerWindow(b.cfg))
	b.usage.Spent--
}

// Usage returns the counts and resets MinRemaining.
func (b *Budget) Usage(now clock.Millis) Usage {
	u := b.usage
	u.MinRemaining = min(u.MinRemaining, b.Remaining(now))
	b.usage.MinRemaining = math.Inf(1)
	return u
}
