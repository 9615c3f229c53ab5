// Package budget bounds what a process sends beyond the first time of each
// request, so that retries of the whole fleet stay within a share of its
// requests. Each process keeps to the ratio of its own requests; since the
// ratio holds for each, it holds for the sum, and no process needs to know the
// others. It is pure: the time is handed in, and callers lock.
package budget

import (
	"math"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// parts is how many parts the window is counted in.
	parts = 20
	// slices is one more, so that what is counted is never less than a window.
	slices = parts + 1
)

// Config sets up a Budget.
type Config struct {
	// Ratio is how many repeats are allowed for each request.
	Ratio float64
	// Window is the time over which both are counted.
	Window clock.Millis
	// Extra is how many repeats this process may add to the ratio in a window.
	Extra float64
}

// Budget counts the requests and the repeats of one service.
type Budget struct {
	cfg Config
	// counts has one part of the window each; at is the number of the latest.
	counts [slices]count
	at     int64
	usage  Usage
}

type count struct{ requests, repeats int }

// Usage is what a budget counted since it was made.
type Usage struct {
	// Requests is how many requests were counted, Spent how many repeats were taken, and
	// Denied how many more were asked for.
	Requests, Spent, Denied uint64
	// Least is the least that was left when a repeat was asked for, since the call of
	// Usage before; it is what is left now if none was.
	Least float64
}

// New returns a budget that has counted nothing.
func New(cfg Config) *Budget { return &Budget{cfg: cfg, usage: Usage{Least: math.Inf(1)}} }

// Set changes what is allowed. What was counted stays, unless the window is
// another.
func (b *Budget) Set(cfg Config) {
	if cfg.Window != b.cfg.Window {
		*b = Budget{usage: b.usage}
	}
	b.cfg = cfg
}

func (b *Budget) advance(now clock.Millis) *count {
	n := int64(now) / max(1, int64(b.cfg.Window)/parts)
	if n-b.at >= slices {
		b.counts = [slices]count{}
	} else {
		for i := b.at + 1; i <= n; i++ {
			b.counts[i%slices] = count{}
		}
	}
	b.at = max(b.at, n)
	return &b.counts[b.at%slices]
}

// Request counts a request that is about to be sent for the first time.
func (b *Budget) Request(now clock.Millis) {
	b.advance(now).requests++
	b.usage.Requests++
}

// Left returns how many repeats are allowed now.
func (b *Budget) Left(now clock.Millis) float64 {
	b.advance(now)
	requests, repeats := 0, 0
	for _, c := range b.counts {
		requests += c.requests
		repeats += c.repeats
	}
	return b.cfg.Ratio*float64(requests) + b.cfg.Extra - float64(repeats)
}

// Spend takes one repeat, or reports that none is left.
func (b *Budget) Spend(now clock.Millis) bool {
	left := b.Left(now)
	b.usage.Least = min(b.usage.Least, left)
	if left < 1 {
		b.usage.Denied++
		return false
	}
	b.advance(now).repeats++
	b.usage.Spent++
	return true
}

// Usage returns what was counted.
func (b *Budget) Usage(now clock.Millis) Usage {
	u := b.usage
	u.Least = min(u.Least, b.Left(now))
	b.usage.Least = math.Inf(1)
	return u
}
