package clock_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/internal/clocktest"
)

// Now includes suspensions of the instance. Setting the wall time does not change it.
func TestNowCountsSuspensions(t *testing.T) {
	for name, tc := range map[string]struct {
		move func(h *clocktest.Source)
		want clock.Millis
	}{
		"nothing":                        {func(*clocktest.Source) {}, 0},
		"a suspension":                   {func(h *clocktest.Source) { h.Suspend(5 * time.Second) }, 5000},
		"a short suspension":             {func(h *clocktest.Source) { h.Suspend(100 * time.Millisecond) }, 100},
		"wall time set forward":          {func(h *clocktest.Source) { h.StepWallTime(5 * time.Second) }, 0},
		"wall time set back":             {func(h *clocktest.Source) { h.StepWallTime(-5 * time.Second) }, 0},
		"both, forward":                  {func(h *clocktest.Source) { h.SuspendAndStep(5*time.Second, time.Second) }, 5000},
		"both, back":                     {func(h *clocktest.Source) { h.SuspendAndStep(5*time.Second, -time.Hour) }, 5000},
		"suspension, then wall time set": {func(h *clocktest.Source) { h.Suspend(time.Second); h.StepWallTime(-time.Second) }, 1000},
		"two suspensions":                {func(h *clocktest.Source) { h.Suspend(time.Second); h.Suspend(2 * time.Second) }, 3000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := clocktest.New()
				c := clock.FromSource(h)
				time.Sleep(time.Second)
				before := c.Now()
				tc.move(h)
				c.CheckSuspended()
				if got := c.Now() - before; got != tc.want {
					t.Errorf("got %d ms elapsed, want %d", got, tc.want)
				}
				time.Sleep(time.Second)
				if got := c.Now() - before; got != tc.want+1000 {
					t.Errorf("got %d ms elapsed a second later, want %d", got, tc.want+1000)
				}
			})
		})
	}
}

// The first reading after a suspension detects it, unless the wall time was set back by
// the same length. Without a suspension the time since the boot, which is slow to read, is
// not read.
func TestFirstReadingDetectsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := clocktest.New()
		c := clock.FromSource(h)
		before, bootReads := c.Now(), h.BootTimeReads()
		for range 1000 {
			c.Now()
		}
		if got := h.BootTimeReads() - bootReads; got != 0 {
			t.Errorf("got the time since the boot read %d times without a suspension, want 0", got)
		}
		h.Suspend(3 * time.Second)
		if got := c.Now() - before; got != 3000 {
			t.Errorf("got %d ms elapsed, want 3000", got)
		}
		h.SuspendAndStep(3*time.Second, -3*time.Second)
		c.CheckSuspended()
		if got := c.Now() - before; got != 6000 {
			t.Errorf("got %d ms elapsed after a check, want 6000", got)
		}
	})
}

// Without the time since the boot a suspension looks the same as a wall time that was set, so
// Now must neither jump nor go back.
func TestNowIgnoresWallTimeWithoutBootTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := clocktest.NewWithoutBootTime()
		c := clock.FromSource(h)
		before := c.Now()
		h.Suspend(3 * time.Second)
		c.CheckSuspended()
		if got := c.Now() - before; got != 0 {
			t.Errorf("got %d ms elapsed, want 0: setting the wall time looks the same", got)
		}
	})
}

// hookedSource calls hook once, before it returns the time since the boot.
type hookedSource struct {
	*clocktest.Source
	hook func()
}

// SinceBoot implements clock.Source.
func (h *hookedSource) SinceBoot() (time.Duration, bool) {
	if hook := h.hook; hook != nil {
		h.hook = nil
		hook()
	}
	return h.Source.SinceBoot()
}

// A reading while another goroutine determines the length of a suspension waits for the
// result. It used to be possible to return the time from before the suspension.
func TestConcurrentReadingIncludesSuspension(t *testing.T) {
	h := &hookedSource{Source: clocktest.New()}
	c := clock.FromSource(h)
	before := c.Now()
	other := make(chan [2]clock.Millis, 1)
	h.hook = func() {
		read := make(chan bool)
		go func() {
			now := c.Now()
			other <- [2]clock.Millis{now, c.ResumedAt()}
			close(read)
		}()
		select {
		case <-read:
		case <-time.After(50 * time.Millisecond):
		}
	}
	h.Suspend(5 * time.Second)
	c.Now()
	if got := <-other; got[0] < before+5000 || got[1] < before+5000 {
		t.Errorf("got the time %d and ResumedAt %d in the concurrent goroutine, want at least 5000 ms after %d", got[0], got[1], before)
	}
}

func TestResumedAtReturnsLatestSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := clocktest.New()
		c := clock.FromSource(h)
		if got := c.ResumedAt(); got != 0 {
			t.Errorf("got a suspension that ended at %d, want none", got)
		}
		for range 2 {
			time.Sleep(time.Second)
			before := c.Now()
			h.Suspend(3 * time.Second)
			if got := c.ResumedAt(); got != before+3000 {
				t.Errorf("got a suspension that ended at %d, want %d", got, before+3000)
			}
			h.StepWallTime(time.Hour)
			if got := c.ResumedAt(); got != before+3000 {
				t.Errorf("got a suspension that ended at %d after the wall time was set, want %d", got, before+3000)
			}
		}
	})
}

// SleepUntil returns when a suspension goes beyond its point in time, as timers stand still
// meanwhile. Functions registered with OnSuspend are called for each suspension.
func TestSuspensionEndsSleepUntil(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := clocktest.New()
		c := clock.FromSource(h)
		var mu sync.Mutex
		var reported []clock.Millis
		c.OnSuspend(func(gap clock.Millis) {
			mu.Lock()
			defer mu.Unlock()
			reported = append(reported, gap)
		})
		done := make(chan bool, 1)
		start := time.Now()
		go func() { done <- c.SleepUntil(context.Background(), c.Now()+60_000) }()
		time.Sleep(time.Second)
		h.Suspend(20 * time.Second)
		c.CheckSuspended()
		synctest.Wait()
		select {
		case <-done:
			t.Error("got SleepUntil ended 21 s into a minute, want it to go on")
		default:
		}
		h.Suspend(50 * time.Second)
		c.CheckSuspended()
		if ok := <-done; !ok || time.Since(start) != time.Second {
			t.Errorf("got %v after %v, want SleepUntil to return after the second suspension", ok, time.Since(start))
		}
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		if len(reported) != 2 || reported[0] != 20_000 || reported[1] != 50_000 {
			t.Errorf("got suspensions of %v ms reported, want 20000 and 50000", reported)
		}
	})
}

func BenchmarkNow(b *testing.B) {
	c := clock.System()
	for range b.N {
		c.Now()
	}
}

// A wait ends with its channel, its time or its context, and only the last one is a failure.
func TestAwaitEndsWithTheFirstOfThree(t *testing.T) {
	const long clock.Millis = 60_000
	closed, never := make(chan struct{}), make(chan struct{})
	close(closed)
	done, cancel := context.WithCancel(t.Context())
	cancel()
	for _, tc := range []struct {
		name string
		ctx  context.Context
		ch   chan struct{}
		d    clock.Millis
		want bool
	}{
		{"the channel is closed", t.Context(), closed, long, true},
		{"the time is over", t.Context(), never, 1, true},
		{"the context is done", done, never, long, false},
		{"the context is done, too", done, closed, long, false},
	} {
		if got := clock.Await(tc.ctx, tc.ch, tc.d); got != tc.want {
			t.Errorf("%s: got %t, want %t", tc.name, got, tc.want)
		}
	}
}
