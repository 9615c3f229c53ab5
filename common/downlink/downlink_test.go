package downlink_test

import (
	"context"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/downlink"
)

// Callers' bytes come out of what a transfer may read, and only while there is one.
func TestTransfersTakeWhatCallersLeave(t *testing.T) {
	const bytes = 1_000_000
	for name, during := range map[string]bool{"callers during a transfer": true, "callers before": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := downlink.New(bytes)
			if !during {
				d.Came(bytes / 4)
			}
			end := d.Begin()
			defer end()
			if during {
				d.Came(bytes / 4)
			}
			// A wait that is longer than the context allows fails at once.
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			n := len(d.Piece(make([]byte, bytes)))
			err := d.Wait(ctx, n)
			if got, want := err != nil, during; got != want {
				t.Errorf("got %v, want an error %v: callers took a quarter of a second's bytes", err, want)
			}
		})
	}
}

// Nothing is held up on a link of which nothing is known.
func TestAnUnknownLinkHoldsNothingUp(t *testing.T) {
	d := downlink.New(0)
	defer d.Begin()()
	d.Came(1 << 30)
	if got := len(d.Piece(make([]byte, 1<<20))); got != 1<<20 {
		t.Errorf("got a piece of %d bytes, want the whole buffer", got)
	}
	if err := d.Wait(t.Context(), 1<<30); err != nil {
		t.Errorf("got %v, want no wait", err)
	}
}
