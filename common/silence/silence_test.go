package silence_test

import (
	"context"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/silence"
)

const limit clock.Millis = 140

// feed records n bytes every few milliseconds until ctx is done.
func feed(ctx context.Context, d *silence.Detector, n int) {
	for clock.Sleep(ctx, 5) {
		d.RecordBytes(n)
	}
}

func TestWaitSilent(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		start bool
		bytes int
		want  bool
	}{
		"nothing":             {want: true},
		"a header only":       {start: true, want: true},
		"packets":             {start: true, bytes: 3000},
		"a byte now and then": {start: true, bytes: 1, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			if !tc.want {
				ctx, cancel = context.WithTimeout(t.Context(), time.Second)
			}
			defer cancel()
			d := silence.New()
			if tc.start {
				d.MarkStarted()
			}
			if tc.bytes > 0 {
				go feed(ctx, d, tc.bytes)
			}
			if got := d.WaitSilent(ctx, 0, limit); got != tc.want {
				t.Errorf("got silent %v, want %v", got, tc.want)
			}
		})
	}
}

// The wait for a response ends when it starts: a peer that sends nothing after that is
// detected after the limit, however long the wait was.
func TestWaitEndsWhenResponseStarts(t *testing.T) {
	t.Parallel()
	d := silence.New()
	go d.MarkStarted()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if !d.WaitSilent(ctx, 600_000, limit) {
		t.Error("got no silence detected within 10 s, want it after the limit")
	}
}
