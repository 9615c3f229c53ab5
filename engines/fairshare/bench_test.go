package fairshare_test

import (
	"fmt"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/fairshare"
)

func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{24, 256, 100_000} {
		b.Run(fmt.Sprint("workspaces=", n), func(b *testing.B) {
			tr, names := fairshare.New(fairshare.Config{}), make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("w", i)
			}
			for i := 0; b.Loop(); i++ {
				tr.Record(fairshare.Request{Service: "s", Workspace: names[i*7919%n], ID: "abcdefgh", Cost: 1}, start+clock.Millis(i/2))
			}
		})
	}
}
