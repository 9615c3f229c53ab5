// Package downlink shares what a process's link carries in between callers, who go
// first, and transfers of many bytes that can wait a little. A transfer that takes
// all it gets keeps a queue on the link, and every answer to a caller waits behind
// it.
package downlink

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// part is the part of the link that transfers and callers take together, as
	// long as callers leave any of it. A larger one brings transfers sooner, a
	// smaller one leaves more to chance: 1.38 MB, which are 1 MB of settings, take
	// 1.39, 1.45 and 1.56 s of 10 Mbit/s at 0.88, 0.84 and 0.78. Where five of them
	// come in 34 s, 0.7, 0.5 and 0.4% of the requests of 30 entries are late, and
	// 0.3% where none comes.
	part = 0.86
	// pieceTime is what a transfer reads at once, in time of the link: a caller's
	// bytes wait so long behind it. With 10, 5 and 2 ms 1.8, 1.5 and 1.1% were late
	// on such a day.
	pieceTime clock.Millis = 2
	// leastPiece is a full packet, in bytes.
	leastPiece = 1460
	// burst is how many pieces may come at once after a timer that fired late.
	burst = 2
	// mostDebt is how many pieces callers may be ahead of a transfer, so that it has a
	// sixth of the common part however busy callers keep the link: settings must land
	// on a busy entry too. With 3, 5 and no bound 1.4, 0.9 and 0.9% were late where
	// 1,400 routes were added six times.
	mostDebt = 5
)

// Downlink is the link of a process. Nil is a link of which nothing is known; it
// holds nothing up. It is safe for concurrent use.
type Downlink struct {
	limiter *rate.Limiter
	// piece is how many bytes a transfer reads at once.
	piece int
	// mostDelay is the time that mostDebt pieces take.
	mostDelay time.Duration
	// transfers is how many there are. Callers' bytes are counted only meanwhile.
	transfers atomic.Int64
}

// New returns a link of so many bytes a second, or nil if that is not known.
func New(bytes int64) *Downlink {
	if bytes <= 0 {
		return nil
	}
	piece := max(leastPiece, int(bytes*int64(pieceTime)/millisPerSecond))
	pace := part * float64(bytes)
	return &Downlink{
		limiter: rate.NewLimiter(rate.Limit(pace), burst*piece), piece: piece,
		mostDelay: time.Duration(mostDebt * float64(piece) / pace * float64(time.Second)),
	}
}

const millisPerSecond = 1000

// RecordCallerBytes records bytes that came for or from a caller. It never waits.
func (d *Downlink) RecordCallerBytes(n int) {
	if d == nil || d.transfers.Load() == 0 {
		return
	}
	now := clock.WallTime()
	for n > 0 {
		m := min(n, d.limiter.Burst())
		r := d.limiter.ReserveN(now, m)
		if r.DelayFrom(now) > d.mostDelay {
			r.CancelAt(now)
			return
		}
		n -= m
	}
}

// BeginTransfer records that a transfer begins; end is called when it has ended.
func (d *Downlink) BeginTransfer() (end func()) {
	if d == nil {
		return func() {}
	}
	d.transfers.Add(1)
	return func() { d.transfers.Add(-1) }
}

// Chunk returns the part of a buffer that a transfer may fill at once.
func (d *Downlink) Chunk(b []byte) []byte {
	if d == nil {
		return b
	}
	return b[:min(len(b), d.piece)]
}

// Wait waits until a transfer that has read n bytes may go on, or ctx is done.
func (d *Downlink) Wait(ctx context.Context, n int) error {
	if d == nil {
		return nil
	}
	return d.limiter.WaitN(ctx, n)
}
