package settings_test

import (
	"fmt"
	"testing"

	"github.com/weldfall/weldfall/internal/heaptest"
	"github.com/weldfall/weldfall/settings"
)

// newTree returns a tree with n workspace branches, all resolved.
func newTree(n int) *settings.Tree {
	tree := settings.NewTree()
	_, _ = tree.Apply("fleet", "[routing]\nload_bound = 1.3\n[models]\n\"draft-1\" = \"drafting\"\n", 1)
	for i := range n {
		path := fmt.Sprintf("partner%d/ws%d", i%2, i)
		_, _ = tree.Apply(path, fmt.Sprintf("[access]\nkey_sha256 = [%q]\n[limits]\ntokens_per_second = 1000.0\n", settings.HashKey(path)), int64(i+2))
		tree.Effective(path + "/chat")
	}
	return tree
}

func BenchmarkResolve(b *testing.B) {
	for _, n := range []int{20, 12_000} {
		tree := newTree(n)
		b.Run(fmt.Sprint("warm/branches=", n), func(b *testing.B) {
			for b.Loop() {
				tree.Effective("partner1/ws7/chat")
			}
		})
		rev := int64(n + 10)
		b.Run(fmt.Sprint("changed/branches=", n), func(b *testing.B) {
			for b.Loop() {
				rev++
				_, _ = tree.Apply("partner1/ws7", "[limits]\ntokens_per_second = 1000.0\n", rev)
				tree.Effective("partner1/ws7/chat")
			}
		})
	}
}

// The cost of a change must not grow with the number of branches; allocations are its measure.
func TestChangeCostIsIndependentOfTreeSize(t *testing.T) {
	var got []float64
	for _, n := range []int{20, 12_000} {
		tree := newTree(n)
		rev := int64(n + 10)
		got = append(got, testing.AllocsPerRun(100, func() {
			rev++
			_, _ = tree.Apply("partner1/ws7", "[limits]\ntokens_per_second = 1000.0\n", rev)
			tree.Effective("partner1/ws7/chat")
		}))
	}
	if got[1] > 1.1*got[0] {
		t.Errorf("got %v allocations at 20 and 12,000 branches, want no growth", got)
	}
}

// The memory of a branch must not grow with the number of branches.
func TestBranchMemoryIsIndependentOfTreeSize(t *testing.T) {
	bytesPerBranch := func(n int) float64 {
		return heaptest.BytesPerItem(n, func() *settings.Tree { return newTree(n) })
	}
	small, large := bytesPerBranch(200), bytesPerBranch(12_000)
	t.Logf("%.0f bytes per branch at 200, %.0f at 12,000", small, large)
	if large > 8000 || large > 1.5*small {
		t.Errorf("got %.0f and %.0f bytes per branch, want at most 8,000 and no growth", small, large)
	}
}
