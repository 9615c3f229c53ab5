// Package silence tells an end that gives no sign from one that is only slow, and
// from a process of ours that had no time to listen.
package silence

import (
	"context"
	"errors"
	"io"
	"net/http/httptrace"
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

// Detector notices when something from which bytes are expected falls silent. It is
// safe for concurrent use.
type Detector struct {
	heard atomic.Int64
	// begun is closed by MarkStarted.
	begun chan struct{}
	// sent holds a token when a request was sent, for the first time or again.
	sent chan struct{}
}

// ErrSilent is why a context ended whose Detector heard nothing.
var ErrSilent = errors.New("no answer in time")

// Context returns a context that ends with ErrSilent as its cause when no sign came
// for the limit, counted as WaitSilent does, and what ends it, which must be called. A
// request that net/http sends with it tells the guard: the library sends one again,
// without word, if a connection that rested breaks under it. Counted from the first
// sending, one that was sent again late in its wait was taken for silent.
func (g *Detector) Context(ctx context.Context, wait, limit clock.Millis) (context.Context, func()) {
	silent, end := context.WithCancelCause(ctx)
	go func() {
		if g.WaitSilent(silent, wait, limit) {
			end(ErrSilent)
		}
	}()
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { g.MarkSent() }}
	return httptrace.WithClientTrace(silent, trace), func() { end(nil) }
}

// New returns a guard of something that has given no sign.
func New() *Detector { return &Detector{begun: make(chan struct{}), sent: make(chan struct{}, 1)} }

// MarkStarted records the first sign, once: what was waited for has begun.
func (g *Detector) MarkStarted() { close(g.begun) }

// MarkSent records that a request was sent: who holds it does so from now on.
func (g *Detector) MarkSent() {
	select {
	case g.sent <- struct{}{}:
	default:
	}
}

// RecordBytes records that bytes came.
func (g *Detector) RecordBytes(bytes int) { g.heard.Add(int64(bytes)) }

// Reader returns r with each read heard.
func (g *Detector) Reader(r io.Reader) io.Reader { return reader{r, g} }

type reader struct {
	r io.Reader
	g *Detector
}

// Read implements io.Reader.
func (r reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	r.g.RecordBytes(n)
	return n, err
}

// WaitSilent returns true when no sign came for the limit, counted from the first sign or
// the end of the given wait, which begins anew with each sending, and false when ctx
// is done.
func (g *Detector) WaitSilent(ctx context.Context, wait, limit clock.Millis) bool {
	for {
		if !g.hold(ctx, wait) {
			return false
		}
		sent, silent := g.listen(ctx, limit)
		if !sent {
			return silent
		}
	}
}

// hold waits for the first sign, or the given wait after the latest sending. It
// returns false when ctx is done.
func (g *Detector) hold(ctx context.Context, wait clock.Millis) bool {
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-g.begun:
			return true
		case <-t.C:
			return true
		case <-g.sent:
			t.Reset(wait.Duration())
		}
	}
}

// listen waits until no sign comes for the limit, until a request is sent again, or
// until ctx is done, which is neither.
func (g *Detector) listen(ctx context.Context, limit clock.Millis) (sent, silent bool) {
	begun := g.begun
	select {
	case <-begun:
		begun = nil
	default:
	}
	heard := g.heard.Load()
	for missed := 0; missed < parts; {
		if !clock.Sleep(ctx, limit/parts) {
			return false, false
		}
		missed++
		select {
		case <-begun:
			begun, missed = nil, 0
		case <-g.sent:
			return true, false
		default:
		}
		if now := g.heard.Load(); now-heard >= least {
			heard, missed = now, 0
		}
	}
	return false, true
}
