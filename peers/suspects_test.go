package peers_test

import (
	"sync/atomic"
	"testing"

	"github.com/weldfall/weldfall/peers"
)

// suspectFacts is a process that knows suspects, or has just started and does not.
type suspectFacts struct {
	facts
	known  peers.Status
	spread atomic.Int64
}

func (f *suspectFacts) LocalStatus(int, int) peers.Status { return f.known }

func (f *suspectFacts) BroadcastSuspects() { f.spread.Add(1) }

// remembering is what a process knows that was there before, and started what one does that
// was not.
var (
	remembering = peers.Status{SuspectsComplete: true, SuspectSum: 7}
	started     = peers.Status{}
)

// Guards against entries that have just started and send on the requests that ended engines
// for as long as it takes until each has asked one that remembers them.
func TestSuspectsAreToldAtOnceWhereOneHasForgottenThem(t *testing.T) {
	for name, c := range map[string]struct {
		first, second peers.Status
		want          bool
	}{
		"one that started asks":          {first: remembering, second: started, want: true},
		"one that started is asked":      {first: started, second: remembering, want: true},
		"both remember":                  {first: remembering, second: peers.Status{SuspectsComplete: true, SuspectSum: 8}},
		"none remembers":                 {first: started, second: peers.Status{SuspectSum: 8}},
		"one that started knows as much": {first: remembering, second: peers.Status{SuspectSum: 7}},
		"there are none":                 {first: peers.Status{SuspectsComplete: true}, second: started},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := &suspectFacts{known: c.first}, &suspectFacts{known: c.second}
			addr := runPeers(t, "e1", nil, first)
			runPeers(t, "e2", []string{addr}, second)
			wait(t, "answers", func() bool { return second.answers() >= 4 })
			for _, f := range []*suspectFacts{first, second} {
				if got, want := f.spread.Load() > 0, c.want && f.known.SuspectsComplete; got != want {
					t.Errorf("got suspects told by one that knows %+v: %v, want %v", f.known, got, want)
				}
			}
		})
	}
}
