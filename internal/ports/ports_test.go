package soak_test

import (
	"testing"

	"github.com/weldfall/weldfall/measure/soak"
)

// Guards against a run that takes the port of another run's gate while that gate is away: the
// gate could not start again, and its callers got no connection.
func TestRunsReservePortsOfTheirOwn(t *testing.T) {
	first, second, err := soak.ReservePorts()
	if err != nil {
		t.Fatal(err)
	}
	if first == second {
		t.Errorf("got %s for two runs, want ports of their own", first)
	}
}
