package fair_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/weldfall/weldfall/daemon/fair"
)

func item(id uint64, partner, workspace string, cost int) fair.Item {
	return fair.Item{ID: id, Partner: partner, Workspace: workspace, PartnerShare: 1, WorkspaceShare: 1, Cost: cost}
}

func TestPartnersShareTokens(t *testing.T) {
	q := fair.New(1000, 1000)
	for i := range uint64(100) {
		q.Push(item(i, "big", "w", 100), 0)
		q.Push(item(1000+i, "small", "w", 10), 0)
	}
	tokens := map[string]int{}
	for range 66 {
		it, _ := q.Pop(0)
		tokens[it.Partner] += it.Cost
	}
	if d := tokens["big"] - tokens["small"]; d < -100 || d > 100 {
		t.Errorf("got %v, want equal tokens up to one request", tokens)
	}
}

func TestWeightedShares(t *testing.T) {
	q := fair.New(1000, 1000)
	for i := range uint64(200) {
		a := item(i, "a", fmt.Sprint("w", i%2), 10)
		a.PartnerShare = 3
		q.Push(a, 0)
		q.Push(item(1000+i, "b", "w", 10), 0)
	}
	got := map[string]int{}
	for range 100 {
		it, _ := q.Pop(0)
		got[it.Partner+it.Workspace] += it.Cost
	}
	if a, b := got["aw0"]+got["aw1"], got["bw"]; a < 740 || a > 760 || b < 240 || b > 260 {
		t.Errorf("got a %d b %d, want 750 and 250", a, b)
	}
	if d := got["aw0"] - got["aw1"]; d < -10 || d > 10 {
		t.Errorf("got %v, want equal workspaces", got)
	}
}

func TestIdleFlowStartsAtPresent(t *testing.T) {
	q := fair.New(1000, 1000)
	// Partner a has an idle engine to itself for a long time.
	for i := range uint64(50) {
		q.Push(item(i, "a", "w", 1000), 0)
		q.Pop(0)
	}
	for i := range uint64(10) {
		q.Push(item(100+i, "a", "w", 10), 0)
		q.Push(item(200+i, "b", "w", 10), 0)
	}
	got := map[string]int{}
	for range 10 {
		it, _ := q.Pop(0)
		got[it.Partner]++
	}
	if got["a"] < 4 || got["b"] < 4 {
		t.Errorf("got %v, want about 5 each", got)
	}
}

func TestPushShedsFlowOverItsShare(t *testing.T) {
	q := fair.New(10, 1000)
	for i := range uint64(10) {
		if shed := q.Push(item(i, "surge", "w", 10), 0); len(shed) != 0 {
			t.Fatalf("push %d: got %v shed, want none", i, shed)
		}
	}
	shed := q.Push(item(100, "other", "w", 10), 0)
	if len(shed) != 1 || shed[0].Partner != "surge" || shed[0].ID != 9 {
		t.Errorf("got %v shed, want the newest of the surge", shed)
	}
	if it, _ := q.Pop(0); it.Partner != "surge" && it.Partner != "other" {
		t.Errorf("got %v", it)
	}
	if it, _ := q.Pop(0); it.Partner != "other" {
		t.Errorf("second: got %v, want the other partner's", it)
	}
}

func TestUnderShare(t *testing.T) {
	q := fair.New(100, 4)
	push := func(id uint64, partner string) { q.Push(item(id, partner, "w", 10), 0) }
	if q.UnderShare("b", 1, 0) {
		t.Error("idle engine: got under its share, want not")
	}
	for i := range uint64(8) {
		push(i, "a")
		q.Pop(0)
	}
	if q.UnderShare("a", 1, 0) {
		t.Error("alone and waiting: got under its share, want not")
	}
	if !q.UnderShare("b", 1, 0) {
		t.Error("another partner without requests: got not under its share, want it so")
	}
	push(100, "b")
	push(101, "b")
	if q.UnderShare("b", 1, 0) {
		t.Error("with half of the slots: got under its share, want not")
	}
}

// With random pushes, pops and removals, no item is lost or returned twice, the limit
// holds, and the queue is work-conserving.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		q := fair.New(limit, 1000)
		waiting := map[uint64]bool{}
		next := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				next++
				it := item(next, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "p"), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "w"), rapid.IntRange(1, 50).Draw(t, "c"))
				waiting[next] = true
				for _, s := range q.Push(it, 0) {
					if !waiting[s.ID] {
						t.Fatalf("got %d shed, which did not wait", s.ID)
					}
					delete(waiting, s.ID)
				}
			case 2:
				it, ok := q.Pop(0)
				if ok != (len(waiting) > 0) || ok && !waiting[it.ID] {
					t.Fatalf("got %v %v, want one of %v", it, ok, waiting)
				}
				if ok {
					delete(waiting, it.ID)
					q.Settle(it, rapid.IntRange(1, 50).Draw(t, "cost"))
				}
			case 3:
				id := rapid.Uint64Range(0, next).Draw(t, "id")
				if got, want := q.Remove(id), waiting[id]; got != want {
					t.Fatalf("remove %d: got %v, want %v", id, got, want)
				}
				delete(waiting, id)
				q.PruneIdle(0)
			}
			if q.Len() != len(waiting) || q.Len() > limit {
				t.Fatalf("got length %d, want %d within %d", q.Len(), len(waiting), limit)
			}
		}
	})
}

func TestPruneIdle(t *testing.T) {
	q := fair.New(100, 100_000)
	for i := range uint64(12_000) {
		q.Push(item(i, "p", fmt.Sprint("w", i), 10), 0)
		q.Pop(0)
		if i%100 == 99 {
			q.PruneIdle(0)
		}
	}
	if got := q.Flows(); got > 250 {
		t.Errorf("got %d flows, want those of the last hundred", got)
	}
}
