// Package clock is the only package that reads the time. All others take a
// Clock or a Millis.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Millis is a point in time or a duration in milliseconds. Points are
// counted from the start of the process unless a function says otherwise.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration rounds d down to whole milliseconds.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Source reads the clocks of an instance.
type Source interface {
	// Read returns the monotonic time, which stands still while the instance is
	// suspended, and the wall time, which may be set. Each is counted from a fixed
	// moment.
	Read() (monotonic, wall time.Duration)
	// SinceBoot returns the time since the boot, which includes suspensions. It returns
	// false if the instance cannot read it.
	SinceBoot() (time.Duration, bool)
}

// Clock returns monotonic and wall time. The zero value is not usable; use
// System. It is safe for concurrent use.
//
// The monotonic clock and timers stand still while an instance is suspended, so ages
// measured by them would be too low. The time since the boot includes suspensions, but
// reading it takes a system call: 220 ns, against 85 ns for monotonic and wall time
// together and 45 ns for monotonic time alone (benchmark of this package, one core). The
// clock therefore reads it only in CheckSuspended and when the wall time has moved against
// the monotonic time, which happens on a suspension and when the wall time is set.
type Clock struct {
	source Source
	// suspended is the sum of all suspensions, in nanoseconds.
	suspended atomic.Int64
	// resumedAt is when the end of the latest suspension was detected, in nanoseconds.
	resumedAt atomic.Int64
	// wallOffset is wall time minus monotonic time at the last comparison, in
	// nanoseconds. It is stored after suspended and resumedAt, so that a reader of its
	// new value also reads theirs.
	wallOffset atomic.Int64

	mu sync.Mutex
	// bootOffset is the time since the boot minus monotonic time when the clock was
	// made; hasBoot is false if the instance cannot read the former.
	bootOffset time.Duration
	hasBoot    bool
	// onSuspend is called with the length of each suspension.
	onSuspend []func(gap Millis)
	// resumed is closed and replaced at the end of each suspension.
	resumed chan struct{}
}

const (
	// minSuspension is the shift between two clocks from which a suspension is assumed:
	// far more than the time between two readings, and little against any bound.
	minSuspension = 20 * time.Millisecond
	// maxReadTime is how long reading all clocks may take for a valid comparison, and
	// readAttempts how often it is tried: a process that is preempted in between would
	// mistake that for a suspension.
	maxReadTime  = time.Millisecond
	readAttempts = 5
)

// System returns the clock of this process.
func System() *Clock { return FromSource(newSystemSource()) }

// newSystemSource returns the source that System reads.
var newSystemSource = func() Source { return systemSource{time.Now()} }

// SetSystemSource makes System read another source. It is for processes of tests and must
// be called before any other goroutine runs.
func SetSystemSource(source func() Source) { newSystemSource = source }

// FromSource returns a clock that reads s.
func FromSource(s Source) *Clock {
	c := &Clock{source: s, resumed: make(chan struct{})}
	c.bootOffset, c.hasBoot = c.readBootOffset()
	monotonic, wall := s.Read()
	c.wallOffset.Store(int64(wall - monotonic))
	return c
}

// readBootOffset returns the time since the boot minus the monotonic time, or false if the
// instance cannot read the former.
func (c *Clock) readBootOffset() (time.Duration, bool) {
	best, known := time.Duration(0), false
	for range readAttempts {
		before, _ := c.source.Read()
		boot, ok := c.source.SinceBoot()
		if !ok {
			return 0, false
		}
		after, _ := c.source.Read()
		// If the process was preempted after it read boot, this offset is too small,
		// never too large.
		if offset := boot - after; !known || offset > best {
			best, known = offset, true
		}
		if after-before < maxReadTime {
			return boot - after, true
		}
	}
	return best, known
}

// now returns the monotonic time including suspensions.
func (c *Clock) now() time.Duration {
	monotonic, wall := c.source.Read()
	moved := int64(wall-monotonic) - c.wallOffset.Load()
	if max(moved, -moved) > int64(minSuspension) {
		c.CheckSuspended()
		monotonic, _ = c.source.Read()
	}
	return monotonic + time.Duration(c.suspended.Load())
}

// Now returns the monotonic milliseconds since the clock was made, including the time for
// which the process was stopped or the instance suspended. The first reading after a
// suspension detects it or, if the wall time was set back by the same length, the next
// CheckSuspended does.
func (c *Clock) Now() Millis { return FromDuration(c.now()) }

// Micros returns the monotonic microseconds since the clock was made, for
// latency histograms only.
func (c *Clock) Micros() int64 { return c.now().Microseconds() }

// CheckSuspended detects whether the instance was suspended since the last check.
func (c *Clock) CheckSuspended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasBoot {
		return
	}
	monotonic, wall := c.source.Read()
	defer c.wallOffset.Store(int64(wall - monotonic))
	bootOffset, ok := c.readBootOffset()
	gap := bootOffset - c.bootOffset - time.Duration(c.suspended.Load())
	if !ok || gap <= minSuspension {
		return
	}
	now, _ := c.source.Read()
	c.resumedAt.Store(int64(now) + c.suspended.Add(int64(gap)))
	close(c.resumed)
	c.resumed = make(chan struct{})
	for _, f := range c.onSuspend {
		go f(FromDuration(gap))
	}
}

// ResumedAt returns when the end of the latest suspension was detected, 0 if there was
// none. It checks for one first.
func (c *Clock) ResumedAt() Millis {
	c.now()
	return FromDuration(time.Duration(c.resumedAt.Load()))
}

// OnSuspend registers f, which is called in a new goroutine after each suspension with the
// length of it.
func (c *Clock) OnSuspend(f func(gap Millis)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onSuspend = append(c.onSuspend, f)
}

// SleepUntil waits until a point in time or until ctx is done, and reports whether the
// point was reached. A suspension beyond the point ends the wait.
func (c *Clock) SleepUntil(ctx context.Context, at Millis) bool {
	for {
		c.mu.Lock()
		resumed := c.resumed
		c.mu.Unlock()
		left := at - c.Now()
		if left <= 0 {
			return ctx.Err() == nil
		}
		t := time.NewTimer(left.Duration())
		select {
		case <-ctx.Done():
			t.Stop()
			return false
		case <-t.C:
			return true
		case <-resumed:
			t.Stop()
		}
	}
}

// Wall returns milliseconds since the Unix epoch. Wall clocks differ between
// instances, so comparisons must allow for a difference.
func (c *Clock) Wall() Millis { return Millis(time.Now().UnixMilli()) }

// Every calls f every period until ctx is done.
func Every(ctx context.Context, period Millis, f func()) {
	t := time.NewTicker(period.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}

// AfterFunc calls f in a new goroutine after d.
func AfterFunc(d Millis, f func()) { time.AfterFunc(d.Duration(), f) }

// AfterFuncWithStop calls f in a new goroutine after d. stop cancels the call and reports
// whether it did.
func AfterFuncWithStop(d Millis, f func()) (stop func() bool) {
	return time.AfterFunc(d.Duration(), f).Stop
}

// Sleep waits for d or until ctx is done, and reports whether d has passed.
func Sleep(ctx context.Context, d Millis) bool {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Await waits until ch is closed or received from, for d or until ctx is done, and reports
// whether ctx is not done.
func Await(ctx context.Context, ch <-chan struct{}, d Millis) bool {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ch:
	case <-t.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// PauseDetector detects that a process stood still between two ticks, so that
// what it knew before may be outdated.
type PauseDetector struct {
	// limit is the longest gap between ticks that does not count as a pause.
	limit Millis
	// last is the time of the latest tick. It never decreases.
	last Millis
}

// NewPauseDetector returns a detector that counts gaps over limit as pauses.
func NewPauseDetector(limit, now Millis) *PauseDetector {
	return &PauseDetector{limit: limit, last: now}
}

// Tick records that the process runs at now. It returns the length of the
// pause that has just ended, or zero.
func (p *PauseDetector) Tick(now Millis) Millis {
	gap := now - p.last
	p.last = max(p.last, now)
	if gap > p.limit {
		return gap
	}
	return 0
}

// WallTime returns the wall time for libraries that take a time.Time.
func WallTime() time.Time { return time.Now() }

// Deadline returns the wall time d from now for libraries that take a time.Time.
func Deadline(d Millis) time.Time { return time.Now().Add(d.Duration()) }

// NoDeadline returns the time that removes a deadline from a connection.
func NoDeadline() time.Time { return time.Time{} }
