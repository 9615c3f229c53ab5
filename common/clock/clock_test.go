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

// The time for which an instance is suspended is counted, what its time of day is set
// by is not.
func TestNowCountsSuspensions(t *testing.T) {
	for name, tc := range map[string]struct {
		move func(h *clocktest.Hands)
		want clock.Millis
	}{
		"nothing":               {func(*clocktest.Hands) {}, 0},
		"a suspension":          {func(h *clocktest.Hands) { h.Suspend(5 * time.Second) }, 5000},
		"a short one":           {func(h *clocktest.Hands) { h.Suspend(100 * time.Millisecond) }, 100},
		"the time of day set":   {func(h *clocktest.Hands) { h.Set(5 * time.Second) }, 0},
		"... back":              {func(h *clocktest.Hands) { h.Set(-5 * time.Second) }, 0},
		"both, on":              {func(h *clocktest.Hands) { h.Move(5*time.Second, time.Second) }, 5000},
		"both, back":            {func(h *clocktest.Hands) { h.Move(5*time.Second, -time.Hour) }, 5000},
		"one after the other":   {func(h *clocktest.Hands) { h.Suspend(time.Second); h.Set(-time.Second) }, 1000},
		"two suspensions apart": {func(h *clocktest.Hands) { h.Suspend(time.Second); h.Suspend(2 * time.Second) }, 3000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := clocktest.New()
				c := clock.New(h)
				time.Sleep(time.Second)
				before := c.Now()
				tc.move(h)
				c.CheckSuspended()
				if got := c.Now() - before; got != tc.want {
					t.Errorf("got %d ms gone by, want %d", got, tc.want)
				}
				time.Sleep(time.Second)
				if got := c.Now() - before; got != tc.want+1000 {
					t.Errorf("got %d ms gone by a second later, want %d", got, tc.want+1000)
				}
			})
		})
	}
}

// The first that reads the clock after a suspension notices it, unless the time of day was
// set back by just as much.
func TestTheFirstReadingNoticesASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := clocktest.New()
		c := clock.New(h)
		before, read := c.Now(), h.Boots()
		for range 1000 {
			c.Now()
		}
		if got := h.Boots() - read; got != 0 {
			t.Errorf("got the costly clock read %d times while nothing happened, want 0", got)
		}
		h.Suspend(3 * time.Second)
		if got := c.Now() - before; got != 3000 {
			t.Errorf("got %d ms gone by, want 3000", got)
		}
		h.Move(3*time.Second, -3*time.Second)
		c.CheckSuspended()
		if got := c.Now() - before; got != 6000 {
			t.Errorf("got %d ms gone by after a check, want 6000", got)
		}
	})
}

func TestTimeDoesNotGoBackOrJumpWhereBootIsNotTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := clocktest.WithoutBoot()
		c := clock.New(h)
		before := c.Now()
		h.Suspend(3 * time.Second)
		c.CheckSuspended()
		if got := c.Now() - before; got != 0 {
			t.Errorf("got %d ms gone by, want 0: a set time of day looks the same", got)
		}
	})
}

// lookedAt are hands that call look before they tell the time since the boot, once.
type lookedAt struct {
	*clocktest.Hands
	look func()
}

// SinceBoot implements clock.Source.
func (h *lookedAt) SinceBoot() (time.Duration, bool) {
	if look := h.look; look != nil {
		h.look = nil
		look()
	}
	return h.Hands.SinceBoot()
}

// Who reads the clock while another is about to find out how long a suspension lasted waits
// for that, and does not take the time of before for now.
func TestNobodyReadsTheTimeOfBeforeASuspension(t *testing.T) {
	h := &lookedAt{Hands: clocktest.New()}
	c := clock.New(h)
	before := c.Now()
	other := make(chan [2]clock.Millis, 1)
	h.look = func() {
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
		t.Errorf("got the time %d and the end of a suspension at %d beside the one who notices it, want 5000 ms after %d", got[0], got[1], before)
	}
}

func TestWokeTellsTheLatestSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := clocktest.New()
		c := clock.New(h)
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
			h.Set(time.Hour)
			if got := c.ResumedAt(); got != before+3000 {
				t.Errorf("got a suspension that ended at %d after the time of day was set, want %d", got, before+3000)
			}
		}
	})
}

// Who waits until a time hears of a suspension that goes beyond it, and who asked for it
// is told of each.
func TestWaitsEndWithASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := clocktest.New()
		c := clock.New(h)
		var mu sync.Mutex
		var told []clock.Millis
		c.OnSuspend(func(gap clock.Millis) {
			mu.Lock()
			defer mu.Unlock()
			told = append(told, gap)
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
			t.Error("got a wait of a minute ended after 21 s, want it to go on")
		default:
		}
		h.Suspend(50 * time.Second)
		c.CheckSuspended()
		if ok := <-done; !ok || time.Since(start) != time.Second {
			t.Errorf("got %v after %v, want the wait over with the second suspension", ok, time.Since(start))
		}
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		if len(told) != 2 || told[0] != 20_000 || told[1] != 50_000 {
			t.Errorf("got word of suspensions of %v ms, want 20000 and 50000", told)
		}
	})
}

func BenchmarkNow(b *testing.B) {
	c := clock.System()
	for range b.N {
		c.Now()
	}
}
