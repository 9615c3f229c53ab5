package engines_test

import (
	"fmt"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/internal/heaptest"
)

// costSizes are pools: of sites, of the large one, of a model of the plan, and all
// engines of the plan in one.
var costSizes = []int{12, 50, 188, 480, 1000, 10_000}

// listed returns an engine as the platform lists it, with strings of its own.
func listed(i int) engines.Info {
	return engines.Info{
		ID: fmt.Sprintf("i-%010x", 0x9b6bcf2168+i*7919), Service: service, Addr: fmt.Sprintf("10.%d.%d.%d:8242", i%5, i/250, i%250),
		Hall: fmt.Sprintf("hall-%d", i%5), Slots: 48,
	}
}

// toldBook returns a book of n engines that all told a load lately, and answered.
func toldBook(n int, now clock.Millis) *engines.Registry {
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

// bySize runs a benchmark on books of each size.
func bySize(b *testing.B, f func(b *testing.B, book *engines.Registry, now clock.Millis)) {
	const now = 100_000
	for _, n := range costSizes {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			book := toldBook(n, now)
			b.ReportAllocs()
			f(b, book, now)
		})
	}
}

// BenchmarkChoose is the choice for a chat that has come before, and one by load.
func BenchmarkChoose(b *testing.B) {
	b.Run("chat", func(b *testing.B) {
		bySize(b, func(b *testing.B, book *engines.Registry, now clock.Millis) {
			key := uint64(0)
			for b.Loop() {
				key++
				// Results fade from choice to choice.
				now++
				if _, ok := book.Choose(query(key%1000, key%3000+1000), now); !ok {
					b.Fatal("got no engine")
				}
			}
		})
	})
	b.Run("load", func(b *testing.B) {
		bySize(b, func(b *testing.B, book *engines.Registry, now clock.Millis) {
			for b.Loop() {
				now++
				if _, ok := book.Choose(query(), now); !ok {
					b.Fatal("got no engine")
				}
			}
		})
	})
}

// BenchmarkLoads is the choice of the loads that one message to a peer tells.
func BenchmarkLoads(b *testing.B) {
	bySize(b, func(b *testing.B, book *engines.Registry, now clock.Millis) {
		for b.Loop() {
			book.RecentLoads(2000, 10, now)
		}
	})
}

// BenchmarkPutAgain is an engine that the list names again, unchanged.
func BenchmarkPutAgain(b *testing.B) {
	bySize(b, func(b *testing.B, book *engines.Registry, now clock.Millis) {
		in := listed(3)
		for b.Loop() {
			book.Put(in, now)
		}
	})
}

// BenchmarkPutAll is a whole list that is new.
func BenchmarkPutAll(b *testing.B) {
	for _, n := range costSizes {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			all := make([]engines.Info, n)
			for i := range all {
				all[i] = listed(i)
			}
			for b.Loop() {
				book := engines.NewRegistry()
				for _, in := range all {
					book.Put(in, 0)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/engine")
		})
	}
}

// TestCostsOfAnEngine tells what an engine and a remembered beginning cost in
// memory, and fails if they grow out of proportion.
func TestCostsOfAnEngine(t *testing.T) {
	for _, n := range costSizes[3:] {
		got := heaptest.BytesEach(n, func() *engines.Registry { return toldBook(n, 1000) })
		t.Logf("%d engines: %.0f bytes each", n, got)
		if got > 2048 {
			t.Errorf("got %.0f bytes an engine of %d, want at most 2,048", got, n)
		}
	}
	const chats = 8192
	got := heaptest.BytesEach(chats, func() *engines.Registry {
		b := toldBook(50, 1000)
		for key := range uint64(chats) {
			b.Choose(query(key+1), 1000)
		}
		return b
	})
	t.Logf("%d beginnings: %.0f bytes each", chats, got)
	if got > 512 {
		t.Errorf("got %.0f bytes a beginning, want at most 512", got)
	}
}
