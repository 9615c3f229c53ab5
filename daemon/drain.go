package daemon

import (
	"context"
	"strconv"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
)

// startLeaving refuses new work from now on, whatever routers believe, and
// tells the others.
func (d *Daemon) startLeaving() {
	d.mu.Lock()
	already := d.leaving
	d.leaving = true
	d.mu.Unlock()
	if already {
		return
	}
	d.node.AnnounceLeaving()
	if d.settings().Leave.Handover {
		go d.handOver(context.Background())
	}
}

// drainCheck is how often a leaving daemon looks whether it is done.
const drainCheck clock.Millis = 20

// Drain is the planned stop: new work is refused, what is queued or runs is
// finished within the drain time, and cached prefixes go to where their chats
// go next. It returns the number of attempts that were cut off.
func (d *Daemon) Drain(ctx context.Context) int {
	d.log.Info("leaving", "cause", "stop", "active", d.attempts.active())
	d.startLeaving()
	end := d.clk.Now() + d.settings().Leave.Drain()
	for d.attempts.active() > 0 && d.clk.Now() < end && clock.Sleep(ctx, drainCheck) {
	}
	if d.settings().Leave.Handover && d.clk.Now() < end {
		d.handOver(ctx)
	}
	left := d.attempts.active()
	d.log.Info("drained", "cut_off", left)
	return left
}

const (
	// handOverParallel bounds the prefixes in flight.
	handOverParallel = 8
	// handOverChats bounds the prefixes of one engine that are handed over,
	// most recently used first.
	handOverChats = 4096
)

// handOver exports the cached prefix of each chat to the engine that is next
// in the chat's ranking.
func (d *Daemon) handOver(ctx context.Context) {
	var moved atomic.Int64
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(handOverParallel)
	for _, e := range d.engines {
		e.mu.Lock()
		chats := e.book.Chats()
		e.mu.Unlock()
		for i := len(chats) - 1; i >= max(0, len(chats)-handOverChats); i-- {
			g.Go(func() error {
				if d.handOverChat(ctx, e, chats[i]) {
					moved.Add(1)
				}
				return nil
			})
		}
	}
	_ = g.Wait()
	metrics.GetOrCreateCounter("weldfall_handover_total").Add(int(moved.Load()))
	d.log.Info("handed_over", "chats", moved.Load())
}

// handOverChat moves one prefix and reports whether it arrived.
func (d *Daemon) handOverChat(ctx context.Context, e *engine, chat uint64) bool {
	e.mu.Lock()
	tokens := e.book.CachedTokens(chat)
	e.mu.Unlock()
	next, at := d.node.NextEngine(d.cfg.Pool, chat, e.id)
	if next == "" || tokens == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
	defer cancel()
	blob, err := e.client.ExportPrefix(ctx, strconv.FormatUint(chat, 16))
	if err != nil {
		return false
	}
	c, err := d.links.Get(at.Addr, link.Data)
	if err != nil {
		return false
	}
	if err := c.Call(ctx, wire.MethodImport, wire.Import{Engine: next, Chat: chat, Tokens: tokens, Blob: blob}, nil); err != nil {
		return false
	}
	e.mu.Lock()
	e.book.RecordEvicted(chat, d.clk.Now())
	e.mu.Unlock()
	return true
}
