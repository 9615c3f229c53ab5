package filter_test

import (
	"context"
	"slices"
	"testing"

	"github.com/weldfall/weldfall/callers/filter"
	"github.com/weldfall/weldfall/verdict"
)

// recorder is a request that records the filters that ran.
type recorder struct{ ran []string }

// newFilter returns a filter that fails with err unless err is nil.
func newFilter(name string, err *verdict.Error) filter.Filter[*recorder] {
	return filter.Filter[*recorder]{Name: name, Run: func(_ context.Context, r *recorder) *verdict.Error {
		r.ran = append(r.ran, name)
		return err
	}}
}

func TestRunStopsAtFirstError(t *testing.T) {
	refused := verdict.New(verdict.NotRun, verdict.TooLarge, "too large")
	later := verdict.New(verdict.MayHaveRun, verdict.LinkLost, "lost")
	for name, c := range map[string]struct {
		list     filter.List[*recorder]
		wantRan  []string
		wantName string
		wantErr  *verdict.Error
	}{
		"no filter":    {},
		"all pass":     {list: filter.List[*recorder]{newFilter("a", nil), newFilter("b", nil), newFilter("c", nil)}, wantRan: []string{"a", "b", "c"}},
		"first fails":  {list: filter.List[*recorder]{newFilter("a", refused), newFilter("b", nil)}, wantRan: []string{"a"}, wantName: "a", wantErr: refused},
		"second fails": {list: filter.List[*recorder]{newFilter("a", nil), newFilter("b", refused), newFilter("c", later)}, wantRan: []string{"a", "b"}, wantName: "b", wantErr: refused},
		"last fails":   {list: filter.List[*recorder]{newFilter("a", nil), newFilter("b", later)}, wantRan: []string{"a", "b"}, wantName: "b", wantErr: later},
	} {
		r := &recorder{}
		gotName, gotErr := c.list.Run(t.Context(), r)
		if gotName != c.wantName || gotErr != c.wantErr {
			t.Errorf("%s: got %q, %v, want %q, %v", name, gotName, gotErr, c.wantName, c.wantErr)
		}
		if !slices.Equal(r.ran, c.wantRan) {
			t.Errorf("%s: got filters %q run, want %q", name, r.ran, c.wantRan)
		}
	}
}
