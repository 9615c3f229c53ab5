package gate

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/table"
)

// SetTable puts a version of the routes and keys in force; a describes how it arrived. A
// version older than the one in force is ignored. If it is of a later epoch, it confirms the
// one in force, as long as the store cannot lack what was written before that epoch.
func (g *Gate) SetTable(t *table.Table, a table.Arrival) {
	g.setTableMu.Lock()
	defer g.setTableMu.Unlock()
	old := g.table.Load()
	if old != nil && t.Version() < old.Version() {
		g.mu.Lock()
		if !a.Unconfirmed && a.Epoch > g.tableEpoch {
			g.confirm(a.Epoch, a.ConfirmedAt)
		}
		g.mu.Unlock()
		g.log.Warn("table_ignored", "version", t.Version(), "in_force", old.Version(), "epoch", a.Epoch, "cause", "older than the one in force")
		return
	}
	if old != nil {
		// Requests find the moves as soon as the version is in force.
		g.moves.update(old, t, g.clk.Now())
		g.pastTimeouts.record(old, g.bounds().Change, g.clk.Now())
	}
	g.mu.Lock()
	newer := old == nil || old.Version() != t.Version()
	g.table.Store(t)
	g.tableEpoch = a.Epoch
	if !a.Unconfirmed {
		g.confirm(a.Epoch, a.ConfirmedAt)
		g.newer.refute(a.ConfirmedAt)
	}
	if newer {
		g.announcedAt = 0
	}
	g.warmupParts = map[string]int{}
	g.limitAllConns(t)
	g.mu.Unlock()
	if newer {
		g.logTable(t, a)
	}
}

// ConfirmTable records that, by a response of an epoch of the store, the table and the
// evacuations in force were still the newest at the given time.
func (g *Gate) ConfirmTable(epoch int64, at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.confirm(epoch, at)
	g.newer.refute(at)
	if at > g.announcedAt {
		g.announcedAt = 0
	}
}

// BeginTableTransfer records that the store has begun to send a large version, which is
// newer than the one in force if newer is true.
func (g *Gate) BeginTableTransfer(newer bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.transferring = true
	if newer && g.announcedAt == 0 {
		g.announcedAt = g.clk.Now()
	}
}

// EndTableTransfer records that the store has stopped sending a version.
func (g *Gate) EndTableTransfer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.transferring = false
}

// outdatedMargin is subtracted from the bound for changes. A change may have been confirmed
// that much before this entry learns of it, since a slow store responds after 400 ms, and a
// request takes some time to reach an engine.
const outdatedMargin clock.Millis = 650

// outdated returns how long the version in force has been known not to be the newest, if
// that is too long to serve by it, else 0. Both are required: evidence from the store or a
// peer that a change is as old as the operators' bound, and a store that is sending it. An
// entry that cannot reach the store keeps serving with what it has, since it cannot learn
// more, and otherwise all entries would reject requests while the store is unavailable. The
// caller holds mu.
func (g *Gate) outdated(now clock.Millis) clock.Millis {
	t := g.table.Load()
	if t == nil || !g.transferring {
		return 0
	}
	var age clock.Millis
	if g.announcedAt > 0 {
		age = now - g.announcedAt
	}
	if since, ok := g.newer.since(t.Version()); ok {
		age = max(age, now-since)
	}
	if age <= g.bounds().Change-outdatedMargin {
		return 0
	}
	return age
}

// logTable logs and counts how the version in force arrived.
func (g *Gate) logTable(t *table.Table, a table.Arrival) {
	now := g.clk.Now()
	g.mu.Lock()
	age := clock.Millis(-1)
	if g.tableFreshness.Known() {
		age = g.tableFreshness.Age(now)
	}
	g.mu.Unlock()
	g.log.Info("table_in_force", "version", t.Version(), "age_ms", age, "confirmed", !a.Unconfirmed, "revision", a.Revision, "reach", a.Reach, "bytes", a.Bytes, "heard_ms", now-a.ResponseStartedAt,
		"transfer_ms", a.Transfer, "decode_us", a.DecodeMicros, "build_us", a.BuildMicros)
	g.counts.table.bytes.Update(float64(a.Bytes))
	g.counts.table.transfer.Update(inSeconds(a.Transfer))
	g.counts.table.decoding.Update(float64(a.DecodeMicros) / microsPerSecond)
	g.counts.table.building.Update(float64(a.BuildMicros) / microsPerSecond)
}

const microsPerSecond = 1_000_000

// tableAge returns the time since the table was last known to be the newest, in seconds, or
// -1 if there is no table.
func (g *Gate) tableAge() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.tableFreshness.Known() {
		return -1
	}
	return inSeconds(g.tableFreshness.Age(g.clk.Now()))
}

// tableCounts are the histograms of the arrival of versions.
type tableCounts struct {
	bytes, transfer, decoding, building *metrics.Histogram
}

func newTableCounts() tableCounts {
	return tableCounts{
		bytes:    metrics.GetOrCreateHistogram("weldfall_table_bytes"),
		transfer: metrics.GetOrCreateHistogram("weldfall_table_transfer_seconds"),
		decoding: metrics.GetOrCreateHistogram("weldfall_table_decode_seconds"),
		building: metrics.GetOrCreateHistogram("weldfall_table_build_seconds"),
	}
}
