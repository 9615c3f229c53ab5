// Package clock is the only place that reads the time. All other packages
// take a Clock or are handed a Millis.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Millis is a point in time or a length of time in milliseconds. Points are
// counted from the start of the process unless a function says otherwise.
type Millis int64

// Duration converts m for the standard library.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration rounds d down to whole milliseconds.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Source are the clocks of an instance that a Clock reads.
type Source interface {
	// Read returns the steady time, which stands still while the instance is suspended,
	// and the time of day, which may be set. Both are counted from moments that do not
	// change.
	Read() (steady, day time.Duration)
	// SinceBoot returns the steady time with suspensions counted, from another such moment. It
	// reports false if the instance does not tell it.
	SinceBoot() (time.Duration, bool)
}

// Clock tells monotonic and wall time. The zero value is not usable; use
// System. It is safe for concurrent use.
//
// The steady clock and the timers stand still while an instance is suspended, and ages
// counted by them would be too young by as long. The time since the boot counts it, but
// reading it takes a system call: 220 ns, where the steady time and the time of day together
// take 85 and the steady time alone 45 (the benchmark of this package, one core). So it is
// read only when the time of day has moved against the steady time, which a suspension does
// and a set time of day, too, and by Check.
type Clock struct {
	hands Source
	// suspended is how long the steady time stood still so far, in nanoseconds.
	suspended atomic.Int64
	// woke is when the end of the latest suspension was noticed, in nanoseconds.
	woke atomic.Int64
	// apart is what the time of day was ahead of the steady time by when that was last
	// looked at, in nanoseconds. It is stored after suspended and woke, so that whoever
	// reads a new value reads theirs, too.
	apart atomic.Int64

	mu sync.Mutex
	// ahead is what the time since the boot was ahead of the steady time by at the
	// beginning, known if the instance tells it.
	ahead time.Duration
	known bool
	// tell are told of each suspension.
	tell []func(gap Millis)
	// ended is closed and replaced at the end of each suspension.
	ended chan struct{}
}

const (
	// notice is from how far apart the hands have moved that a suspension is looked for:
	// far more than the time between two readings, and little against any bound.
	notice = 20 * time.Millisecond
	// steadyLook is how long the reading of all hands may take for them to be compared,
	// and looks how often that is tried: a process that loses its turn in between would
	// take that for a suspension.
	steadyLook = time.Millisecond
	looks      = 5
)

// System returns the clock of this process.
func System() *Clock { return New(machine()) }

// machine returns the hands that System reads.
var machine = func() Source { return systemHands{time.Now()} }

// SetSystemSource makes System read other hands from now on. It is for processes of tests, and
// called before any other goroutine runs.
func SetSystemSource(hands func() Source) { machine = hands }

// New returns a clock that reads the given hands.
func New(h Source) *Clock {
	c := &Clock{hands: h, ended: make(chan struct{})}
	c.ahead, c.known = c.boot()
	steady, day := h.Read()
	c.apart.Store(int64(day - steady))
	return c
}

// boot returns what the time since the boot is ahead of the steady time by, or false if
// that cannot be told.
func (c *Clock) boot() (time.Duration, bool) {
	best, known := time.Duration(0), false
	for range looks {
		before, _ := c.hands.Read()
		boot, ok := c.hands.SinceBoot()
		if !ok {
			return 0, false
		}
		after, _ := c.hands.Read()
		// If the process lost its turn after boot was read this is too little, never
		// too much.
		if ahead := boot - after; !known || ahead > best {
			best, known = ahead, true
		}
		if after-before < steadyLook {
			return boot - after, true
		}
	}
	return best, known
}

// now returns the steady time with suspensions counted.
func (c *Clock) now() time.Duration {
	steady, day := c.hands.Read()
	moved := int64(day-steady) - c.apart.Load()
	if max(moved, -moved) > int64(notice) {
		c.CheckSuspended()
		steady, _ = c.hands.Read()
	}
	return steady + time.Duration(c.suspended.Load())
}

// Now returns the monotonic milliseconds since the clock was made. It goes on
// counting while the process is stopped and while the instance is suspended. That is
// noticed by the first who reads the clock, or, if the time of day was set back by just
// as much, by the next Check.
func (c *Clock) Now() Millis { return FromDuration(c.now()) }

// Micros returns the monotonic microseconds since the clock was made, for
// latency histograms alone.
func (c *Clock) Micros() int64 { return c.now().Microseconds() }

// CheckSuspended looks whether the instance was suspended.
func (c *Clock) CheckSuspended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return
	}
	steady, day := c.hands.Read()
	defer c.apart.Store(int64(day - steady))
	ahead, ok := c.boot()
	gap := ahead - c.ahead - time.Duration(c.suspended.Load())
	if !ok || gap <= notice {
		return
	}
	now, _ := c.hands.Read()
	c.woke.Store(int64(now) + c.suspended.Add(int64(gap)))
	close(c.ended)
	c.ended = make(chan struct{})
	for _, f := range c.tell {
		go f(FromDuration(gap))
	}
}

// ResumedAt returns when the end of the latest suspension was noticed, 0 if there was none. It
// looks for one first.
func (c *Clock) ResumedAt() Millis {
	c.now()
	return FromDuration(time.Duration(c.woke.Load()))
}

// OnSuspend has f told how long the instance was suspended, each time, in a goroutine of
// its own.
func (c *Clock) OnSuspend(f func(gap Millis)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tell = append(c.tell, f)
}

// SleepUntil waits until a point in time or until ctx is done, and reports whether the
// point was reached. A suspension beyond the point ends the wait.
func (c *Clock) SleepUntil(ctx context.Context, at Millis) bool {
	for {
		c.mu.Lock()
		ended := c.ended
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
		case <-ended:
			t.Stop()
		}
	}
}

// Wall returns milliseconds since the Unix epoch. Wall clocks differ between
// instances, so it may only be compared with an allowance.
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

// AfterFunc calls f in a goroutine of its own when d has gone by.
func AfterFunc(d Millis, f func()) { time.AfterFunc(d.Duration(), f) }

// AfterFuncWithStop calls f in a goroutine of its own when d has gone by, unless stop is called
// before, which then returns true.
func AfterFuncWithStop(d Millis, f func()) (stop func() bool) {
	return time.AfterFunc(d.Duration(), f).Stop
}

// Sleep waits for d or until ctx is done, and reports whether d went by.
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

// PauseDetector notices that a process stood still between two ticks, so that
// what it knew before may be out of date.
type PauseDetector struct {
	// limit is the longest gap between ticks that is not a pause.
	limit Millis
	// last is the time of the latest tick; it never goes back.
	last Millis
}

// NewPauseDetector returns a detector that takes gaps over limit for pauses.
func NewPauseDetector(limit, now Millis) *PauseDetector {
	return &PauseDetector{limit: limit, last: now}
}

// Tick records that the process runs at now, and returns the length of the
// pause that ended with it, or zero.
func (p *PauseDetector) Tick(now Millis) Millis {
	gap := now - p.last
	p.last = max(p.last, now)
	if gap > p.limit {
		return gap
	}
	return 0
}

// WallTime returns the wall time for libraries that want a time.Time.
func WallTime() time.Time { return time.Now() }

// Deadline returns the point d from now for libraries that want a time.Time.
func Deadline(d Millis) time.Time { return time.Now().Add(d.Duration()) }

// NoDeadline returns the point that takes a deadline away.
func NoDeadline() time.Time { return time.Time{} }
