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
	// parts is how many parts a window is counted in.
	parts = 20
	// slices is those of two windows and one more, so that what is counted is never less
	// than that.
	slices = 2*parts + 1
)

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
	// Since is when this process began to take requests.
	Since clock.Millis
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
	n := b.part(now)
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

// Left returns how many repeats are allowed now. Those count that may arrive in one window
// with the next.
func (b *Budget) Left(now clock.Millis) float64 {
	b.advance(now)
	lag := b.part(b.cfg.Lag + b.partTime() - 1)
	repeats := 0
	for age := range min(slices, parts+1+lag) {
		repeats += b.latest(age).repeats
	}
	return b.cfg.Ratio*b.base() + b.cfg.Extra - float64(repeats)
}

// base returns how many requests callers sent in a window, by the mean of the stretch from
// one to two windows, ending now, in which it is the least. A process may read late what
// they sent, and then much at once: the requests of one window may be those of a longer
// time. A stretch that begins before they were held up tells how long. What was sent before
// the process began is not held up for it.
func (b *Budget) base() float64 {
	life := b.at - b.part(b.cfg.Since)
	n, least := 0, math.Inf(1)
	for age := range 1 + max(parts, min(slices-1, life)) {
		n += b.latest(age).requests
		if age >= parts {
			least = min(least, float64(n*parts)/float64(age))
		}
	}
	return least
}

// latest returns the part of so many parts ago.
func (b *Budget) latest(age int64) count {
	return b.counts[((b.at-age)%slices+slices)%slices]
}

// partTime returns the length of a part.
func (b *Budget) partTime() clock.Millis { return max(1, b.cfg.Window/parts) }

// part returns the number of the part in which a time lies.
func (b *Budget) part(t clock.Millis) int64 { return int64(t / b.partTime()) }

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
