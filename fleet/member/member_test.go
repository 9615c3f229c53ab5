package member_test

import (
	"fmt"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/fleet/member"
	"github.com/weldfall/weldfall/internal/heaptest"
)

func instance(id string) member.Instance {
	return member.Instance{ID: id, Role: member.Daemon, Addr: "10.0.0.1:1", Pool: "drafting", State: member.Live}
}

func ids(ins []member.Instance) string {
	s := ""
	for _, in := range ins {
		s += in.ID + " "
	}
	return s
}

func TestAnInstanceLeavesByTheListOrItsOwnReport(t *testing.T) {
	v := member.NewView("me", 0)
	for _, id := range []string{"a", "b", "c"} {
		v.SetListed(instance(id), 1)
	}
	leaving := instance("b")
	leaving.State = member.Leaving
	v.SetListed(leaving, 2)
	if !v.MarkLeaving("c") || v.MarkLeaving("c") {
		t.Error("got c marked as leaving not exactly once")
	}
	if got, want := ids(v.Candidates("drafting", 3)), "a "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	v.SetUnlisted("a", 4)
	if got := v.State("a"); got != member.Gone {
		t.Errorf("got %q, want gone", got)
	}
	if got := len(v.Candidates("drafting", 5)); got != 0 {
		t.Errorf("got %d members, want 0", got)
	}
}

func TestAFlappingInstanceIsHeldLongerEachTime(t *testing.T) {
	v := member.NewView("me", 0)
	v.SetListed(instance("steady"), 0)
	v.SetListed(instance("flap"), 0)
	var held []clock.Millis
	now := clock.Millis(0)
	for range 5 {
		now += 1000
		v.SetUnlisted("flap", now)
		now += 1000
		v.SetListed(instance("flap"), now)
		wait := clock.Millis(0)
		for !v.Usable("flap", now+wait) {
			wait += 500
		}
		held = append(held, wait)
	}
	if got, want := fmt.Sprint(held), "[0 2000 4000 8000 16000]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestUnreachableInstancesAreRetriedLaterOrWhenNoneIsLeft(t *testing.T) {
	v := member.NewView("me", 0)
	v.SetListed(instance("a"), 0)
	v.SetListed(instance("b"), 0)
	v.MarkUnreachable("a", 100)
	if got, want := ids(v.Candidates("drafting", 101)), "b "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	v.MarkUnreachable("b", 101)
	if got, want := ids(v.Candidates("drafting", 102)), "a b "; got != want {
		t.Errorf("none reachable: got %q, want all", got)
	}
	v.MarkReached("a")
	if !v.Usable("a", 103) {
		t.Error("got a not usable after it was reached")
	}
}

func TestMajorityReachableFollowsTheLatestExchanges(t *testing.T) {
	v := member.NewView("me", 0)
	if !v.MajorityReachable() {
		t.Error("alone: got no majority")
	}
	v.SetListed(instance("a"), 0)
	if v.MajorityReachable() {
		t.Error("before any exchange: got a majority")
	}
	for range 16 {
		v.RecordExchange(true)
	}
	for i := range 16 {
		v.RecordExchange(false)
		if got, want := v.MajorityReachable(), i < 7; got != want {
			t.Errorf("after %d failures: got %t, want %t", i+1, got, want)
		}
	}
	v.RecordExchange(true)
	v.ResetExchanges()
	if v.MajorityReachable() {
		t.Error("after a pause: got a majority")
	}
}

func TestAViewYoungerThanTheWindowCountsAllGone(t *testing.T) {
	v := member.NewView("me", 1000)
	v.SetListed(instance("a"), 1000)
	v.SetUnlisted("a", 1100)
	if got := v.GoneWithin(60_000, 50_000); len(got) != 1 {
		t.Errorf("got %v, want a", got)
	}
	if got := v.GoneWithin(60_000, 70_000); len(got) != 0 {
		t.Errorf("after the window: got %v, want none", got)
	}
	v.Prune(60_000, 1_000_000)
	if got := v.State("a"); got != member.Gone {
		t.Errorf("got %q, want gone", got)
	}
}

func TestMemoryPerInstance(t *testing.T) {
	const n = 3300
	used := heaptest.BytesPerItem(n, func() *member.View {
		v := member.NewView("me", 0)
		for i := range n {
			in := instance(fmt.Sprint("daemon-", i))
			for e := range 3 {
				in.Engines = append(in.Engines, member.EngineInfo{ID: fmt.Sprint("engine-", 3*i+e), Slots: 64})
			}
			v.SetListed(in, 1)
		}
		return v
	})
	t.Logf("%.0f bytes an instance with three engines", used)
	if used > 1500 {
		t.Errorf("got %.0f bytes an instance, want at most 1,500", used)
	}
}
