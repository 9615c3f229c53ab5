package ports_test

import (
	"testing"

	"github.com/weldfall/weldfall/internal/ports"
)

// Guards against a process that takes the port of another one's server while that is away: the
// server could not start again, and its clients reached another one.
func TestProcessesReservePortsOfTheirOwn(t *testing.T) {
	reserve := func() *ports.Port {
		p, ln, err := ports.NewRange(20_000).Listen()
		if err != nil {
			t.Fatal(err)
		}
		_ = ln.Close()
		t.Cleanup(p.Release)
		return p
	}
	first, second := reserve(), reserve()
	if first.Addr() == second.Addr() {
		t.Errorf("got %s for two processes, want ports of their own", first.Addr())
	}
}
