package peers_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/weldfall/weldfall/peers"
)

// Entries that know of each other share a whole exactly, whatever the numbers.
func TestSharesSumUpToTheWhole(t *testing.T) {
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
				t.Fatalf("got a part of %d of %d among %d, want them even", part, whole, n)
			}
			got += part
		}
		if got != whole {
			t.Fatalf("got parts that sum up to %d, want %d", got, whole)
		}
	})
}

// Who has one more changes with the key, so that no entry is always without.
func TestTheRestOfAWholeGoesToOthersForAnotherKey(t *testing.T) {
	s := peers.NewShares("edge-0", []string{"edge-1", "edge-2", "edge-3"}, 0)
	with := 0
	for i := range 400 {
		with += s.Part(2, fmt.Sprintf("engine-%d", i))
	}
	if with < 150 || with > 250 {
		t.Errorf("got one of two in four for %d keys of 400, want about half", with)
	}
}

// An entry that knows few others takes them to be there all the same.
func TestAnEntryThatKnowsNoOthersTakesLess(t *testing.T) {
	if got, want := peers.NewShares("edge-0", nil, 0).Part(14, "e"), 14; got != want {
		t.Errorf("got %d alone, want %d", got, want)
	}
	if got, most := peers.NewShares("edge-0", nil, 32).Part(14, "e"), 1; got > most {
		t.Errorf("got %d where 32 are taken to be there, want at most %d", got, most)
	}
	if got, most := peers.NewShares("edge-0", []string{"edge-1"}, 32).Part(320, "e"), 10; got != most {
		t.Errorf("got %d of 320 where 32 are taken to be there, want %d", got, most)
	}
}
