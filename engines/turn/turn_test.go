package turn_test

import (
	"slices"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/turn"
)

// full returns a queue with a window of one request, which is taken, and responses of 10 ms.
func full(t *testing.T) (*turn.Queue, *turn.Ticket) {
	t.Helper()
	q := turn.NewQueue()
	for now := range clock.Millis(1000) {
		if now%10 == 0 {
			q.Responded(10, 200, now)
		}
	}
	first, _ := q.Arrive(turn.Request{Goal: 200, Left: 1000}, 1000)
	if !q.Rejected(1000) || q.Window() != 1 {
		t.Fatalf("got a window of %v, want 1 in force", q.Window())
	}
	return q, first
}

func TestNothingIsLimitedBeforeARejection(t *testing.T) {
	q := turn.NewQueue()
	for range 1000 {
		if ticket, _ := q.Arrive(turn.Request{Goal: 100, Left: 500}, 0); ticket == nil || !ticket.Admitted() {
			t.Fatal("got a request that waits, want all admitted")
		}
		q.Responded(400, 100, 0)
	}
	if q.InForce() {
		t.Error("got a window after slow responses alone, want none")
	}
}

func TestOrderOfThoseThatWait(t *testing.T) {
	q, first := full(t)
	order := []string{"urgent", "plain", "plain, later", "returning", "over share", "less urgent"}
	requests := map[string]turn.Request{
		"less urgent":  {Priority: 5},
		"over share":   {Priority: 3, OverShare: true},
		"returning":    {Priority: 3, Returning: true},
		"plain":        {Priority: 3},
		"plain, later": {Priority: 3},
		"urgent":       {Priority: 1},
	}
	names := map[*turn.Ticket]string{}
	for _, name := range []string{"less urgent", "over share", "returning", "plain", "plain, later", "urgent"} {
		r := requests[name]
		r.Goal, r.Left = 200, 1000
		ticket, refusal := q.Arrive(r, 1000)
		if ticket == nil || ticket.Admitted() {
			t.Fatalf("%s: got ticket %v, refusal %+v, want one that waits", name, ticket, refusal)
		}
		names[ticket] = name
	}
	// The window holds one request, but grew with those that found it full.
	var got []string
	for ended := []*turn.Ticket{first}; len(ended) > 0; {
		next := q.End(ended[0], 1001)
		for _, o := range next {
			got = append(got, names[o])
		}
		ended = append(ended[1:], next...)
	}
	if !slices.Equal(got, order) {
		t.Errorf("got order %q, want %q", got, order)
	}
}

func TestRefusalOfWhatCannotBeServedInTime(t *testing.T) {
	q, _ := full(t)
	if ticket, _ := q.Arrive(turn.Request{Goal: 15, Left: 1000}, 1000); ticket != nil {
		t.Error("got a ticket for a request that cannot be in time, want a refusal")
	}
	early, _ := q.Arrive(turn.Request{Goal: 200, Left: 1000}, 1000)
	if got, want := early.LeaveAt(), clock.Millis(1000+200-20-10); got != want {
		t.Errorf("got a wait until %d, want %d", got, want)
	}
	for _, r := range []float64{0, 0.5, 0.99} {
		_, refusal := q.Arrive(turn.Request{Goal: 15, Left: 600, CallerLeft: 900, Random: r}, 1000)
		if refusal.Back < 20 || refusal.Back > 300 {
			t.Errorf("random %v: got a return after %d ms, want 20 to a third of the time left", r, refusal.Back)
		}
	}
}

func TestReturnsAreSpread(t *testing.T) {
	q, _ := full(t)
	backs := map[clock.Millis]bool{}
	for i := range 100 {
		_, refusal := q.Arrive(turn.Request{Goal: 5, Left: 600, Random: float64(i) / 100}, 1000)
		backs[refusal.Back] = true
	}
	if len(backs) < 50 {
		t.Errorf("got %d times of return for 100 callers, want at least 50", len(backs))
	}
}

func TestReturningRequestLeavesPlaceToOthers(t *testing.T) {
	q, first := full(t)
	back, _ := q.Arrive(turn.Request{Goal: 200, Left: 1000, Returning: true}, 1000)
	q.Arrive(turn.Request{Goal: 5, Left: 1000}, 1000) // refused
	if !q.Scarce(1001) || q.Scarce(2100) {
		t.Error("want places scarce right after a refusal and not later")
	}
	if got := q.End(first, 1001); len(got) != 0 {
		t.Error("got the returning request admitted right after a refusal, want it to wait")
	}
	if got := q.Admit(1100); !slices.Equal(got, []*turn.Ticket{back}) {
		t.Errorf("got %v, want the returning request admitted later", got)
	}
}

func TestPlaceIsReturnedOnce(t *testing.T) {
	q, first := full(t)
	a, _ := q.Arrive(turn.Request{Goal: 200, Left: 1000}, 1000)
	b, _ := q.Arrive(turn.Request{Goal: 200, Left: 1000}, 1000)
	q.End(a, 1000) // the caller left while it waited
	if got := q.End(first, 1000); !slices.Equal(got, []*turn.Ticket{b}) {
		t.Fatalf("got %v admitted, want the one that still waits", got)
	}
	c, _ := q.Arrive(turn.Request{Goal: 200, Left: 1000}, 1000)
	if got := q.End(first, 1000); len(got) != 0 || c.Admitted() {
		t.Error("got a request admitted by a second end, want none")
	}
}

func TestSilentRequestsFreeTheirPlace(t *testing.T) {
	q, _ := full(t)
	if ticket, _ := q.Arrive(turn.Request{Goal: 200, Left: 1000}, 1201); ticket == nil || !ticket.Admitted() {
		t.Error("got a request held by one that is silent for longer than its goal, want it admitted")
	}
}

func TestWindowIsForgotten(t *testing.T) {
	q, _ := full(t)
	waits, _ := q.Arrive(turn.Request{Goal: 200, Left: 1000}, 1100)
	if over, _ := q.Expire(6099); over {
		t.Error("got the window forgotten while it was needed, want it in force")
	}
	if over, admitted := q.Expire(6100); !over || !slices.Equal(admitted, []*turn.Ticket{waits}) || q.InForce() {
		t.Errorf("got over %v, %v admitted, want the window forgotten", over, admitted)
	}
}

func TestManyReturnsBringTheWindowIntoForce(t *testing.T) {
	q := turn.NewQueue()
	for i := range 30 {
		q.Arrive(turn.Request{Goal: 100, Left: 500, Returning: i%5 == 0}, 0)
	}
	if q.Responded(40, 100, 0) || !q.Responded(60, 100, 0) {
		t.Error("got the window by another response, want it by the slow one")
	}
}

func TestLimitsRecogniseReturns(t *testing.T) {
	var l turn.Limits
	for i, limit := range []clock.Millis{4000, 3500, 3900, 3999} {
		if l.Record("a", limit) {
			t.Errorf("request %d: got a return for a limit of %d ms, want none", i, limit)
		}
	}
	if !l.Record("a", 3000) || l.Record("b", 600) || l.Record("a", 0) {
		t.Error("want a return only for a limit clearly below the usual of its route")
	}
}
