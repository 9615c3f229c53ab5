package silence_test

import (
	"context"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/silence"
)

const limit clock.Millis = 140

// feed tells the guard of n bytes each few milliseconds until ctx is done.
func feed(ctx context.Context, g *silence.Detector, n int) {
	for clock.Sleep(ctx, 5) {
		g.RecordBytes(n)
	}
}

func TestWhatGivesNoSignIsSilent(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		begin bool
		bytes int
		want  bool
	}{
		"nothing":             {want: true},
		"a head and no more":  {begin: true, want: true},
		"packets":             {begin: true, bytes: 3000},
		"a byte now and then": {begin: true, bytes: 1, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			if !tc.want {
				ctx, cancel = context.WithTimeout(t.Context(), time.Second)
			}
			defer cancel()
			g := silence.New()
			if tc.begin {
				g.MarkStarted()
			}
			if tc.bytes > 0 {
				go feed(ctx, g, tc.bytes)
			}
			if got := g.WaitSilent(ctx, 0, limit); got != tc.want {
				t.Errorf("got silent %v, want %v", got, tc.want)
			}
		})
	}
}

// Once something has begun, its wait is over, however long that was.
func TestASilenceAfterTheFirstSignIsNotWaitedOut(t *testing.T) {
	t.Parallel()
	g := silence.New()
	go g.MarkStarted()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if !g.WaitSilent(ctx, 600_000, limit) {
		t.Error("got no silence, want one")
	}
}
