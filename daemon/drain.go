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

// startDraining makes the daemon refuse new requests, even if entries still send them, and
// announces that to the fleet. If the settings enable it, the handover of cached prefixes
// starts in the background. Later calls have no effect.
func (d *Daemon) startDraining() {
	d.mu.Lock()
	already := d.draining
	d.draining = true
	d.mu.Unlock()
	if already {
		return
	}
	d.node.AnnounceLeaving()
	if d.settings().Leave.Handover {
		go d.handOver(context.Background())
	}
}

// drainCheckPeriod is how often a draining daemon checks whether all attempts have ended.
const drainCheckPeriod clock.Millis = 20

// Drain prepares a shutdown. The daemon refuses new requests and finishes queued and running
// ones within the drain time. If the settings enable the handover and time is left, Drain then
// repeats the one that startDraining began, since the finished requests cached more prefixes.
// Drain returns the number of attempts that are not finished.
func (d *Daemon) Drain(ctx context.Context) int {
	d.log.Info("leaving", "cause", "stop", "active", d.attempts.active())
	d.startDraining()
	deadline := d.clk.Now() + d.settings().Leave.Drain()
	for d.attempts.active() > 0 && d.clk.Now() < deadline && clock.Sleep(ctx, drainCheckPeriod) {
	}
	if d.settings().Leave.Handover && d.clk.Now() < deadline {
		d.handOver(ctx)
	}
	unfinished := d.attempts.active()
	d.log.Info("drained", "cut_off", unfinished)
	return unfinished
}

const (
	// maxHandoversInFlight limits the concurrent exports.
	maxHandoversInFlight = 8
	// maxHandoverChats limits the prefixes of one engine that are exported. The most
	// recently used go first.
	maxHandoverChats = 4096
)

// handOver exports the cached prefix of each chat to the engine that ranks highest for the
// chat, apart from the one that has it.
func (d *Daemon) handOver(ctx context.Context) {
	var exported atomic.Int64
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxHandoversInFlight)
	for _, e := range d.engines {
		e.mu.Lock()
		chats := e.cache.Chats()
		e.mu.Unlock()
		for i := len(chats) - 1; i >= max(0, len(chats)-maxHandoverChats); i-- {
			g.Go(func() error {
				if d.handOverChat(ctx, e, chats[i]) {
					exported.Add(1)
				}
				return nil
			})
		}
	}
	_ = g.Wait()
	metrics.GetOrCreateCounter("weldfall_handover_total").Add(int(exported.Load()))
	d.log.Info("handed_over", "chats", exported.Load())
}

// handOverChat exports the prefix of one chat and reports whether the other engine imported
// it.
func (d *Daemon) handOverChat(ctx context.Context, e *engine, chat uint64) bool {
	e.mu.Lock()
	tokens := e.cache.CachedTokens(chat)
	e.mu.Unlock()
	next, instance := d.node.NextEngine(d.cfg.Pool, chat, e.id)
	if next == "" || tokens == 0 {
		return false
	}
	// pollTimeout also limits the whole transfer of a prefix.
	ctx, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
	defer cancel()
	blob, err := e.client.ExportPrefix(ctx, strconv.FormatUint(chat, 16))
	if err != nil {
		return false
	}
	c, err := d.links.Get(instance.Addr, link.Data)
	if err != nil {
		return false
	}
	if err := c.Call(ctx, wire.MethodImport, wire.Import{Engine: next, Chat: chat, Tokens: tokens, Blob: blob}, nil); err != nil {
		return false
	}
	e.mu.Lock()
	e.cache.RecordEvicted(chat, d.clk.Now())
	e.mu.Unlock()
	return true
}
