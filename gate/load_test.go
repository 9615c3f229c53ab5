package gate_test

import (
	"testing"

	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/gate"
)

func TestParseLoad(t *testing.T) {
	for _, c := range []struct {
		value string
		want  engines.Load
		ok    bool
	}{
		{"3,1,8", engines.Load{Running: 3, Waiting: 1}, true},
		{"3,1", engines.Load{Running: 3, Waiting: 1}, true},
		{"3,1,8,100", engines.Load{Running: 3, Waiting: 1, Pace: 1}, true},
		{" 3, 1, 8, 250 ", engines.Load{Running: 3, Waiting: 1, Pace: 2.5}, true},
		{"3,1,8,", engines.Load{Running: 3, Waiting: 1}, true},
		{"3,1,8,0", engines.Load{Running: 3, Waiting: 1}, true},
		{"3,1,8,-5", engines.Load{Running: 3, Waiting: 1}, true},
		{"3,1,8,NaN", engines.Load{Running: 3, Waiting: 1}, true},
		{"3,1,8,Inf", engines.Load{Running: 3, Waiting: 1}, true},
		{"3,1,8,x", engines.Load{Running: 3, Waiting: 1}, true},
		{"3", engines.Load{}, false},
		{"-1,1,8,100", engines.Load{}, false},
		{"", engines.Load{}, false},
	} {
		if got, ok := gate.ParseLoad(c.value); got != c.want || ok != c.ok {
			t.Errorf("%q: got %+v, %v, want %+v, %v", c.value, got, ok, c.want, c.ok)
		}
	}
}
