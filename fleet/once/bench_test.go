package once_test

import (
	"fmt"
	"testing"

	"github.com/weldfall/weldfall/fleet/once"
	"github.com/weldfall/weldfall/internal/heaptest"
	"github.com/weldfall/weldfall/link/wire"
)

// fillWitness fills a witness with n keys and returns the bytes that it needs for each.
func fillWitness(n int) float64 {
	return heaptest.BytesPerItem(n, func() *once.Witness {
		w := once.NewWitness(0, 1_000_000, n)
		for i := range uint64(n) {
			w.Claim(wire.Claim{Key: i + 1, Attempt: i + 1, Window: 600_000}, 700_000, 1_700_000)
		}
		return w
	})
}

func TestMemoryPerKey(t *testing.T) {
	small, large := fillWitness(10_000), fillWitness(once.MaxKeys)
	t.Logf("%.0f bytes a key at 10,000 and %.0f at %d", small, large, once.MaxKeys)
	if large > 160 {
		t.Errorf("got %.0f bytes a key, want at most 160", large)
	}
}

func BenchmarkClaim(b *testing.B) {
	w := once.NewWitness(0, 1_000_000, once.MaxKeys)
	for i := range uint64(once.MaxKeys) {
		w.Claim(wire.Claim{Key: i + 1, Attempt: 1, Window: 600_000}, 700_000, 1_700_000)
	}
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		w.Claim(wire.Claim{Key: i%once.MaxKeys + 1, Attempt: 2, Window: 600_000}, 700_001, 1_700_001)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{15, 3200} {
		b.Run(fmt.Sprint("daemons=", n), func(b *testing.B) {
			daemons := make([]once.Daemon, n)
			for i := range daemons {
				daemons[i] = once.Daemon{ID: fmt.Sprint("daemon-", i)}
			}
			key := uint64(0)
			for b.Loop() {
				key++
				once.Choose(key, daemons)
			}
		})
	}
}
