package peers_test

import (
	"sync/atomic"
	"testing"

	"github.com/weldfall/weldfall/peers"
)

// suspectHost has a fixed status and counts broadcasts of suspects.
type suspectHost struct {
	fakeHost
	status     peers.Status
	broadcasts atomic.Int64
}

func (f *suspectHost) LocalStatus(int, int) peers.Status { return f.status }

func (f *suspectHost) BroadcastSuspects() { f.broadcasts.Add(1) }

// complete is the status of a process with suspects from before it started, empty that of
// one that has just started.
var (
	complete = peers.Status{SuspectsComplete: true, SuspectSum: 7}
	empty    = peers.Status{}
)

// Guards against newly started entries that forward requests known to crash engines until
// each of them has called a peer that knows the suspects.
func TestSuspectsAreBroadcastToAPeerThatLacksThem(t *testing.T) {
	for name, c := range map[string]struct {
		first, second peers.Status
		want          bool
	}{
		"caller just started":         {first: complete, second: empty, want: true},
		"callee just started":         {first: empty, second: complete, want: true},
		"both complete":               {first: complete, second: peers.Status{SuspectsComplete: true, SuspectSum: 8}},
		"none complete":               {first: empty, second: peers.Status{SuspectSum: 8}},
		"just started, same checksum": {first: complete, second: peers.Status{SuspectSum: 7}},
		"no suspects":                 {first: peers.Status{SuspectsComplete: true}, second: empty},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := &suspectHost{status: c.first}, &suspectHost{status: c.second}
			addr := runPeers(t, "e1", nil, first)
			runPeers(t, "e2", []string{addr}, second)
			wait(t, "responses", func() bool { return second.responses() >= 4 })
			for _, f := range []*suspectHost{first, second} {
				if got, want := f.broadcasts.Load() > 0, c.want && f.status.SuspectsComplete; got != want {
					t.Errorf("host with status %+v: got broadcast %v, want %v", f.status, got, want)
				}
			}
		})
	}
}
