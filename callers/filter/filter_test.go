package filter_test

import (
	"context"
	"slices"
	"testing"

	"github.com/weldfall/weldfall/callers/filter"
	"github.com/weldfall/weldfall/verdict"
)

// visits is a request that remembers the filters that it met.
type visits struct{ met []string }

// step returns a filter that fails with err, if it is not nil.
func step(name string, err *verdict.Error) filter.Filter[*visits] {
	return filter.Filter[*visits]{Name: name, Run: func(_ context.Context, v *visits) *verdict.Error {
		v.met = append(v.met, name)
		return err
	}}
}

func TestTheFirstFilterThatFailsEndsTheWay(t *testing.T) {
	refused := verdict.New(verdict.NotRun, verdict.TooLarge, "too large")
	later := verdict.New(verdict.MayHaveRun, verdict.LinkLost, "lost")
	for name, c := range map[string]struct {
		list     filter.List[*visits]
		wantMet  []string
		wantName string
		wantErr  *verdict.Error
	}{
		"no filter":   {},
		"all pass":    {list: filter.List[*visits]{step("a", nil), step("b", nil), step("c", nil)}, wantMet: []string{"a", "b", "c"}},
		"the first":   {list: filter.List[*visits]{step("a", refused), step("b", nil)}, wantMet: []string{"a"}, wantName: "a", wantErr: refused},
		"the second":  {list: filter.List[*visits]{step("a", nil), step("b", refused), step("c", later)}, wantMet: []string{"a", "b"}, wantName: "b", wantErr: refused},
		"only at end": {list: filter.List[*visits]{step("a", nil), step("b", later)}, wantMet: []string{"a", "b"}, wantName: "b", wantErr: later},
	} {
		v := &visits{}
		gotName, gotErr := c.list.Run(t.Context(), v)
		if gotName != c.wantName || gotErr != c.wantErr {
			t.Errorf("%s: got %q, %v, want %q, %v", name, gotName, gotErr, c.wantName, c.wantErr)
		}
		if !slices.Equal(v.met, c.wantMet) {
			t.Errorf("%s: met %q, want %q", name, v.met, c.wantMet)
		}
	}
}
