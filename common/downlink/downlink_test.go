package downlink_test

import (
	"context"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/downlink"
)

// link is so slow, in bytes a second, that a piece takes 85 ms of it.
const link = 20_000

// wait reports whether a transfer may go on at once after its first piece.
func wait(t *testing.T, d *downlink.Downlink, limit time.Duration) bool {
	t.Helper()
	// A wait that is longer than the context allows fails at once.
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	return d.Wait(ctx, len(d.Chunk(make([]byte, link)))) == nil
}

// Callers' bytes come out of what a transfer may read, and only while there is one.
func TestTransfersTakeWhatCallersLeave(t *testing.T) {
	for name, during := range map[string]bool{"callers during a transfer": true, "callers before": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := downlink.New(link)
			if !during {
				d.RecordCallerBytes(link)
			}
			defer d.BeginTransfer()()
			if during {
				d.RecordCallerBytes(link)
			}
			if got, want := wait(t, d, 150*time.Millisecond), !during; got != want {
				t.Errorf("got no wait %v, want %v: callers took a second's bytes", got, want)
			}
		})
	}
}

// However much callers take, a transfer goes on: settings land on a busy entry too.
func TestCallersDoNotStopATransfer(t *testing.T) {
	t.Parallel()
	d := downlink.New(link)
	defer d.BeginTransfer()()
	for range 4 {
		d.RecordCallerBytes(1 << 20)
		if !wait(t, d, 5*time.Second) {
			t.Fatal("got a wait of over 5 s, want a piece: callers took a minute's bytes")
		}
	}
}

// Nothing is held up on a link of which nothing is known.
func TestAnUnknownLinkHoldsNothingUp(t *testing.T) {
	d := downlink.New(0)
	defer d.BeginTransfer()()
	d.RecordCallerBytes(1 << 30)
	if got := len(d.Chunk(make([]byte, 1<<20))); got != 1<<20 {
		t.Errorf("got a piece of %d bytes, want the whole buffer", got)
	}
	if err := d.Wait(t.Context(), 1<<30); err != nil {
		t.Errorf("got %v, want no wait", err)
	}
}
