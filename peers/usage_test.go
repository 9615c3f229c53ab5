package peers_test

import (
	"slices"
	"sync"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/peers"
)

// usageHost reports a usage and keeps what it receives in requests.
type usageHost struct {
	fakeHost
	usage string

	mu       sync.Mutex
	received []string
}

func (f *usageHost) LocalStatus(int, int) peers.Status { return peers.Status{Usage: f.usage} }

func (f *usageHost) ReceiveUsage(from, usage string, _ clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, from+" "+usage)
}

func TestRequestsCarryUsage(t *testing.T) {
	t.Parallel()
	first, second := &usageHost{}, &usageHost{usage: "u"}
	addr := runPeers(t, "e1", nil, first)
	runPeers(t, "e2", []string{addr}, second)
	wait(t, "usage of e2", func() bool {
		first.mu.Lock()
		defer first.mu.Unlock()
		return slices.Contains(first.received, "e2 u")
	})
}
