package gate_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/gate"
	"github.com/weldfall/weldfall/table"
)

func TestTheLongestOfManyAnswersIsRemembered(t *testing.T) {
	d := gate.NewDurations()
	route := &table.Route{Name: "r", Timeout: 9000}
	if got, want := d.Longest(route), clock.Millis(9000); got != want {
		t.Errorf("got %d before any answer, want the timeout of %d", got, want)
	}
	d.Note("r", 4000)
	for range 250 {
		d.Note("r", 100)
	}
	if got, want := d.Longest(route), clock.Millis(4000); got != want {
		t.Errorf("got %d after 250 short answers, want %d", got, want)
	}
	for range 600 {
		d.Note("r", 100)
	}
	if got, want := d.Longest(route), clock.Millis(100); got != want {
		t.Errorf("got %d after 600 more, want %d", got, want)
	}
}
