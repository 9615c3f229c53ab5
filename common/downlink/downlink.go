// Package downlink divides the inbound bandwidth of a process between callers, which have
// priority, and bulk transfers, which tolerate delay. An unlimited transfer would keep a
// queue on the link that delays the traffic of all callers.
package downlink

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// utilization is the fraction of the link that transfers and callers may use together.
	// A higher value makes transfers faster and more requests late: 1 MB of settings,
	// 1.38 MB on the link, take 1.39, 1.45 and 1.56 s of 10 Mbit/s at 0.88, 0.84 and 0.78.
	// Five such transfers in 34 s make 0.7, 0.5 and 0.4% of the requests of 30 entries
	// late, against 0.3% without transfers.
	utilization = 0.86
	// chunkTime is the time on the link of the bytes that a transfer reads at once, and so
	// the maximum delay of a caller's bytes behind them. 10, 5 and 2 ms make 1.8, 1.5 and
	// 1.1% of the requests late with the same five transfers.
	chunkTime clock.Millis = 2
	// minChunk is a full packet, in bytes.
	minChunk = 1460
	// burstChunks is how many chunks may be read at once after a late timer.
	burstChunks = 2
	// maxDebt is how many chunks callers may be ahead of a transfer. It guarantees the
	// transfer a sixth of the utilization, so that settings also reach a busy entry. 3, 5
	// and no limit make 1.4, 0.9 and 0.9% of the requests late while 1,400 routes are added
	// six times.
	maxDebt = 5
)

// Downlink limits the transfers on the link of a process. A nil Downlink, for a link of
// unknown bandwidth, limits nothing. It is safe for concurrent use.
type Downlink struct {
	limiter *rate.Limiter
	// chunk is the number of bytes that a transfer reads at once.
	chunk int
	// maxDelay is the time that maxDebt chunks take.
	maxDelay time.Duration
	// transfers is the number of running transfers. Callers' bytes count only while there
	// are any.
	transfers atomic.Int64
}

// New returns the Downlink of a link with the given bytes per second, nil if that is not
// positive because the bandwidth is unknown.
func New(bytesPerSecond int64) *Downlink {
	if bytesPerSecond <= 0 {
		return nil
	}
	chunk := max(minChunk, int(bytesPerSecond*int64(chunkTime)/millisPerSecond))
	rateLimit := utilization * float64(bytesPerSecond)
	return &Downlink{
		limiter: rate.NewLimiter(rate.Limit(rateLimit), burstChunks*chunk), chunk: chunk,
		maxDelay: time.Duration(maxDebt * float64(chunk) / rateLimit * float64(time.Second)),
	}
}

const millisPerSecond = 1000

// RecordCallerBytes records n bytes received from a caller or for one. It never blocks.
func (d *Downlink) RecordCallerBytes(n int) {
	if d == nil || d.transfers.Load() == 0 {
		return
	}
	now := clock.WallTime()
	for n > 0 {
		m := min(n, d.limiter.Burst())
		r := d.limiter.ReserveN(now, m)
		if r.DelayFrom(now) > d.maxDelay {
			r.CancelAt(now)
			return
		}
		n -= m
	}
}

// BeginTransfer records the start of a transfer. The caller calls end when it has ended.
func (d *Downlink) BeginTransfer() (end func()) {
	if d == nil {
		return func() {}
	}
	d.transfers.Add(1)
	return func() { d.transfers.Add(-1) }
}

// Chunk returns the leading part of b that a transfer may fill at once.
func (d *Downlink) Chunk(b []byte) []byte {
	if d == nil {
		return b
	}
	return b[:min(len(b), d.chunk)]
}

// Wait blocks until a transfer that has read n bytes may continue. It fails if ctx is done
// or would be before that.
func (d *Downlink) Wait(ctx context.Context, n int) error {
	if d == nil {
		return nil
	}
	return d.limiter.WaitN(ctx, n)
}
