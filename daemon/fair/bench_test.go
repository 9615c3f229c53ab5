package fair_test

import (
	"fmt"
	"testing"

	"github.com/weldfall/weldfall/daemon/fair"
)

func BenchmarkQueue(b *testing.B) {
	for _, workspaces := range []int{10, 12_000} {
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			names := make([]string, workspaces)
			for i := range names {
				names[i] = fmt.Sprint("workspace-", i)
			}
			q := fair.New(20_000, 1<<30)
			for i := range workspaces {
				q.Push(item(uint64(i), "p", names[i], 10), 0)
			}
			id := uint64(workspaces)
			b.ReportAllocs()
			for b.Loop() {
				id++
				q.Push(item(id, "p", names[id%uint64(workspaces)], 10), 0)
				it, _ := q.Pop(0)
				q.Settle(it, 12)
			}
		})
	}
}

// The number of allocations must not grow with the number of workspaces.
func TestQueueAllocations(t *testing.T) {
	var got []float64
	for _, workspaces := range []int{10, 12_000} {
		q := fair.New(20_000, 1<<30)
		for i := range workspaces {
			q.Push(item(uint64(i), "p", fmt.Sprint("w", i), 10), 0)
		}
		id := uint64(workspaces)
		got = append(got, testing.AllocsPerRun(1000, func() {
			id++
			q.Push(item(id, "p", "w1", 10), 0)
			it, _ := q.Pop(0)
			q.Settle(it, 12)
		}))
	}
	if got[1] > got[0]+1 {
		t.Errorf("got %v allocations at 10 and 12,000 workspaces, want no growth", got)
	}
}
