package gate_test

import (
	"log/slog"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/gate"
	"github.com/weldfall/weldfall/internal/failuretest"
)

// Callers rely on the status, the headers and the body of each failure.
func TestEachFailureIsToldAsBefore(t *testing.T) {
	g := gate.New(gate.Config{ID: "edge-1", Clock: clock.System(), Log: slog.New(slog.DiscardHandler), Dialect: gate.Dialect{RequestID: "X-Id"}})
	failuretest.Check(t, "testdata/failures.txt", g.Failure)
}
