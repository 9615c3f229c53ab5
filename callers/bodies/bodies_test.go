package bodies_test

import (
	"io"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/callers/bodies"
)

// held returns the gauge of the bytes that are held.
func held() float64 { return metrics.GetOrCreateGauge("weldfall_request_bodies_bytes", nil).Get() }

func TestBodiesAreCountedUntilTheirRequestsEnd(t *testing.T) {
	a := bodies.NewAccount(0)
	first, second := a.Body(), a.Body()
	for _, b := range []*bodies.Body{first, second} {
		if _, err := io.ReadAll(b.Reader(strings.NewReader(strings.Repeat("x", 1000)))); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := held(), 2000.0; got != want {
		t.Errorf("got %v bytes held, want %v", got, want)
	}
	first.Release()
	first.Release()
	if got, want := held(), 1000.0; got != want {
		t.Errorf("got %v bytes held after one was released, want %v", got, want)
	}
	second.Release()
	if got, want := held(), 0.0; got != want {
		t.Errorf("got %v bytes held after both were released, want %v", got, want)
	}
}
