package engines_test

import (
	"fmt"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/internal/heaptest"
)

// costSizes are numbers of engines: the pools of the sites, of the large site and of one
// model of the planned fleet, and all engines of that fleet in one pool.
var costSizes = []int{12, 50, 188, 480, 1000, 10_000}

// listed returns a listing entry with newly allocated strings.
func listed(i int) engines.Info {
	return engines.Info{
		ID: fmt.Sprintf("i-%010x", 0x9b6bcf2168+i*7919), Service: service, Addr: fmt.Sprintf("10.%d.%d.%d:8242", i%5, i/250, i%250),
		Hall: fmt.Sprintf("hall-%d", i%5), Slots: 48,
	}
}

// newLoadedRegistry returns a registry of n engines that all reported a load and completed
// a request lately.
func newLoadedRegistry(n int, now clock.Millis) *engines.Registry {
	b := engines.NewRegistry()
	for i := range n {
		in := listed(i)
		b.Put(in, 0)
		e := b.Get(in.ID)
		e.RecordActivity(now - 50)
		e.RecordLoad(engines.Load{Running: 10 + i%5}, now-clock.Millis(i%900))
		e.EndRequest(engines.Succeeded, now-clock.Millis(i%900))
	}
	b.MarkSynced(now)
	return b
}

// bySize runs a benchmark on registries of each size.
func bySize(b *testing.B, f func(b *testing.B, registry *engines.Registry, now clock.Millis)) {
	const now = 100_000
	for _, n := range costSizes {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			registry := newLoadedRegistry(n, now)
			b.ReportAllocs()
			f(b, registry, now)
		})
	}
}

// BenchmarkChoose measures the choice for a chat sent before, and a choice by load.
func BenchmarkChoose(b *testing.B) {
	b.Run("chat", func(b *testing.B) {
		bySize(b, func(b *testing.B, registry *engines.Registry, now clock.Millis) {
			key := uint64(0)
			for b.Loop() {
				key++
				// Advance the time so that outcomes decay between choices.
				now++
				if _, ok := registry.Choose(query(key%1000, key%3000+1000), now); !ok {
					b.Fatal("got no engine")
				}
			}
		})
	})
	b.Run("load", func(b *testing.B) {
		bySize(b, func(b *testing.B, registry *engines.Registry, now clock.Millis) {
			for b.Loop() {
				now++
				if _, ok := registry.Choose(query(), now); !ok {
					b.Fatal("got no engine")
				}
			}
		})
	})
}

// BenchmarkLoads measures the selection of loads for one message to a peer.
func BenchmarkLoads(b *testing.B) {
	bySize(b, func(b *testing.B, registry *engines.Registry, now clock.Millis) {
		for b.Loop() {
			registry.RecentLoads(2000, 10, now)
		}
	})
}

// BenchmarkPutAgain measures an unchanged listing entry.
func BenchmarkPutAgain(b *testing.B) {
	bySize(b, func(b *testing.B, registry *engines.Registry, now clock.Millis) {
		in := listed(3)
		for b.Loop() {
			registry.Put(in, now)
		}
	})
}

// BenchmarkPutAll measures a complete new listing.
func BenchmarkPutAll(b *testing.B) {
	for _, n := range costSizes {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			all := make([]engines.Info, n)
			for i := range all {
				all[i] = listed(i)
			}
			for b.Loop() {
				registry := engines.NewRegistry()
				for _, in := range all {
					registry.Put(in, 0)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/engine")
		})
	}
}

// TestMemoryPerEngine logs the memory used by an engine and by a remembered prefix, and
// fails if either exceeds its limit.
func TestMemoryPerEngine(t *testing.T) {
	for _, n := range costSizes[3:] {
		got := heaptest.BytesPerItem(n, func() *engines.Registry { return newLoadedRegistry(n, 1000) })
		t.Logf("%d engines: %.0f bytes each", n, got)
		if got > 2048 {
			t.Errorf("got %.0f bytes an engine of %d, want at most 2,048", got, n)
		}
	}
	const chats = 8192
	got := heaptest.BytesPerItem(chats, func() *engines.Registry {
		b := newLoadedRegistry(50, 1000)
		for key := range uint64(chats) {
			b.Choose(query(key+1), 1000)
		}
		return b
	})
	t.Logf("%d prefixes: %.0f bytes each", chats, got)
	if got > 512 {
		t.Errorf("got %.0f bytes a prefix, want at most 512", got)
	}
}
