// Package silence tells an end that gives no sign from one that is only slow, and
// from a process of ours that had no time to listen.
package silence

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// parts is in how many parts a limit is waited for. Time counts only a part at
	// a time, each begun after the one before was seen to be over, so a process
	// that stands still for however long is charged with one part; what came
	// meanwhile is read before the next is over.
	parts = 7
	// least is how many bytes must come within a limit: a full packet. Fewer are no
	// sign, or a byte now and then would hold a wait for ever.
	least = 1460
)

// Guard notices when something from which bytes are expected falls silent. It is
// safe for concurrent use.
type Guard struct {
	heard atomic.Int64
	// begun is closed by Begin.
	begun chan struct{}
}

// ErrSilent is why a context ended whose Guard heard nothing.
var ErrSilent = errors.New("no answer in time")

// Context returns a context that ends with ErrSilent as its cause when no sign came
// for the limit, counted as Wait does. cancel must be called.
func (g *Guard) Context(ctx context.Context, wait, limit clock.Millis) (silent context.Context, cancel func()) {
	silent, end := context.WithCancelCause(ctx)
	go func() {
		if g.Wait(silent, wait, limit) {
			end(ErrSilent)
		}
	}()
	return silent, func() { end(nil) }
}

// New returns a guard of something that has given no sign.
func New() *Guard { return &Guard{begun: make(chan struct{})} }

// Begin records the first sign, once: what was waited for has begun.
func (g *Guard) Begin() { close(g.begun) }

// Heard records that bytes came.
func (g *Guard) Heard(bytes int) { g.heard.Add(int64(bytes)) }

// Reader returns r with each read heard.
func (g *Guard) Reader(r io.Reader) io.Reader { return reader{r, g} }

type reader struct {
	r io.Reader
	g *Guard
}

// Read implements io.Reader.
func (r reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	r.g.Heard(n)
	return n, err
}

// Wait returns true when no sign came for the limit, counted from the first sign or
// the end of the given wait, and false when ctx is done.
func (g *Guard) Wait(ctx context.Context, wait, limit clock.Millis) bool {
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	begun := g.begun
	select {
	case <-ctx.Done():
		return false
	case <-begun:
		begun = nil
	case <-t.C:
	}
	heard := g.heard.Load()
	for missed := 0; missed < parts; {
		if !clock.Sleep(ctx, limit/parts) {
			return false
		}
		missed++
		select {
		case <-begun:
			begun, missed = nil, 0
		default:
		}
		if now := g.heard.Load(); now-heard >= least {
			heard, missed = now, 0
		}
	}
	return true
}
