// Package silence detects peers that send nothing. It distinguishes them from peers that are
// only slow, and from pauses of its own process.
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
	// timerParts is the number of consecutive timers that a limit is divided into. A pause
	// of this process, however long, counts as at most one of them, and the data that
	// arrived during the pause is read before the next one expires.
	timerParts = 7
	// minBytes must arrive within a limit: a full packet. Otherwise a byte now and then
	// would extend a wait forever.
	minBytes = 1460
)

// Detector detects when a peer from which data is expected sends none. It is safe for
// concurrent use.
type Detector struct {
	received atomic.Int64
	// started is closed by MarkStarted.
	started chan struct{}
	// sent holds a token after a request was sent, for the first time or again.
	sent chan struct{}
}

// ErrSilent is the cause of a context that ended because the peer sent nothing.
var ErrSilent = errors.New("no response in time")

// Context returns a context that ends with the cause ErrSilent when WaitSilent would return
// true, and a function that ends it, which must be called. The context traces requests of
// net/http and marks them as sent. The library silently sends a request again if an idle
// connection breaks. If the limit were counted from the first time, a peer that received
// the second one late would be considered silent.
func (d *Detector) Context(ctx context.Context, wait, limit clock.Millis) (context.Context, func()) {
	silenceCtx, end := context.WithCancelCause(ctx)
	go func() {
		if d.WaitSilent(silenceCtx, wait, limit) {
			end(ErrSilent)
		}
	}()
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { d.MarkSent() }}
	return httptrace.WithClientTrace(silenceCtx, trace), func() { end(nil) }
}

// New returns a detector for a peer that has sent nothing yet.
func New() *Detector { return &Detector{started: make(chan struct{}), sent: make(chan struct{}, 1)} }

// MarkStarted records that the response has started. It must be called at most once.
func (d *Detector) MarkStarted() { close(d.started) }

// MarkSent records that a request was sent, which restarts the wait for its response.
func (d *Detector) MarkSent() {
	select {
	case d.sent <- struct{}{}:
	default:
	}
}

// RecordBytes records that n bytes were received.
func (d *Detector) RecordBytes(n int) { d.received.Add(int64(n)) }

// Reader returns a reader of r that records the bytes read.
func (d *Detector) Reader(r io.Reader) io.Reader { return reader{r, d} }

type reader struct {
	r io.Reader
	d *Detector
}

// Read implements io.Reader.
func (r reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	r.d.RecordBytes(n)
	return n, err
}

// WaitSilent returns true when too few bytes were received for the limit, and false when ctx
// is done. The limit starts when the response starts or the given wait is over, whichever
// is first. The wait restarts each time a request is sent.
func (d *Detector) WaitSilent(ctx context.Context, wait, limit clock.Millis) bool {
	for {
		if !d.waitStart(ctx, wait) {
			return false
		}
		sent, silent := d.waitLimit(ctx, limit)
		if !sent {
			return silent
		}
	}
}

// waitStart blocks until the response has started or the given wait since the latest
// request is over. It returns false when ctx is done.
func (d *Detector) waitStart(ctx context.Context, wait clock.Millis) bool {
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-d.started:
			return true
		case <-t.C:
			return true
		case <-d.sent:
			t.Reset(wait.Duration())
		}
	}
}

// waitLimit blocks until too few bytes were received for the limit (silent), a request was
// sent again (sent), or ctx is done (neither).
func (d *Detector) waitLimit(ctx context.Context, limit clock.Millis) (sent, silent bool) {
	started := d.started
	select {
	case <-started:
		started = nil
	default:
	}
	received := d.received.Load()
	for missed := 0; missed < timerParts; {
		if !clock.Sleep(ctx, limit/timerParts) {
			return false, false
		}
		missed++
		select {
		case <-started:
			started, missed = nil, 0
		case <-d.sent:
			return true, false
		default:
		}
		if now := d.received.Load(); now-received >= minBytes {
			received, missed = now, 0
		}
	}
	return false, true
}
