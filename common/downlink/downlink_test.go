package downlink_test

import (
	"context"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/downlink"
)

// bytesPerSecond is so low that a chunk takes 85 ms.
const bytesPerSecond = 20_000

// continues reports whether a transfer may continue within limit after its first chunk.
func continues(t *testing.T, d *downlink.Downlink, limit time.Duration) bool {
	t.Helper()
	// Wait fails at once if it would exceed the deadline of its context.
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	return d.Wait(ctx, len(d.Chunk(make([]byte, bytesPerSecond)))) == nil
}

// Callers' bytes reduce what a transfer may read, but only while it is running.
func TestCallerBytesDelayTransfer(t *testing.T) {
	for name, during := range map[string]bool{"callers during a transfer": true, "callers before": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := downlink.New(bytesPerSecond)
			if !during {
				d.RecordCallerBytes(bytesPerSecond)
			}
			defer d.BeginTransfer()()
			if during {
				d.RecordCallerBytes(bytesPerSecond)
			}
			if got, want := continues(t, d, 150*time.Millisecond), !during; got != want {
				t.Errorf("got the transfer continued %v, want %v: callers used the bandwidth of a second", got, want)
			}
		})
	}
}

// A transfer continues whatever callers use, so that settings also reach a busy entry.
func TestCallersDoNotStopTransfer(t *testing.T) {
	t.Parallel()
	d := downlink.New(bytesPerSecond)
	defer d.BeginTransfer()()
	for range 4 {
		d.RecordCallerBytes(1 << 20)
		if !continues(t, d, 5*time.Second) {
			t.Fatal("got a wait of over 5 s, want a chunk: callers used the bandwidth of a minute")
		}
	}
}

// A link of unknown bandwidth delays nothing.
func TestUnknownLinkLimitsNothing(t *testing.T) {
	d := downlink.New(0)
	defer d.BeginTransfer()()
	d.RecordCallerBytes(1 << 30)
	if got := len(d.Chunk(make([]byte, 1<<20))); got != 1<<20 {
		t.Errorf("got a chunk of %d bytes, want the whole buffer", got)
	}
	if err := d.Wait(t.Context(), 1<<30); err != nil {
		t.Errorf("got %v, want no wait", err)
	}
}
