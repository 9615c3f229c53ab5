package peers_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/weldfall/weldfall/peers"
)

// Entries that know each other split a whole exactly, whatever the numbers.
func TestSharesAddUpToTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "entries")
		whole := rapid.IntRange(0, 200).Draw(t, "whole")
		key := rapid.String().Draw(t, "key")
		var ids []string
		for i := range n {
			ids = append(ids, fmt.Sprintf("edge-%d", i))
		}
		got := 0
		for i, id := range ids {
			others := slices.Delete(slices.Clone(ids), i, i+1)
			part := peers.NewShares(id, others, 0).Part(whole, key)
			if part < whole/n || part > whole/n+1 {
				t.Fatalf("got a part of %d of %d among %d, want even parts", part, whole, n)
			}
			got += part
		}
		if got != whole {
			t.Fatalf("got parts that add up to %d, want %d", got, whole)
		}
	})
}

// The entry that gets one more depends on the key, so that no entry is always without.
func TestTheRemainderOfAShareDependsOnTheKey(t *testing.T) {
	s := peers.NewShares("edge-0", []string{"edge-1", "edge-2", "edge-3"}, 0)
	with := 0
	for i := range 400 {
		with += s.Part(2, fmt.Sprintf("engine-%d", i))
	}
	if with < 150 || with > 250 {
		t.Errorf("got a part of two among four for %d keys of 400, want about half", with)
	}
}

// An entry that knows few others assumes that the rest exist.
func TestAnEntryWithoutOthersAssumesTheLeastCount(t *testing.T) {
	if got, want := peers.NewShares("edge-0", nil, 0).Part(14, "e"), 14; got != want {
		t.Errorf("got %d alone, want %d", got, want)
	}
	if got, limit := peers.NewShares("edge-0", nil, 32).Part(14, "e"), 1; got > limit {
		t.Errorf("got %d with 32 assumed entries, want at most %d", got, limit)
	}
	if got, limit := peers.NewShares("edge-0", []string{"edge-1"}, 32).Part(320, "e"), 10; got != limit {
		t.Errorf("got %d of 320 with 32 assumed entries, want %d", got, limit)
	}
}
