package failure_test

import (
	"testing"

	"github.com/weldfall/weldfall/callers/failure"
	"github.com/weldfall/weldfall/verdict"
)

func TestStatusCodesFor(t *testing.T) {
	s := failure.StatusCodes{
		ByReason:   map[verdict.Reason]int{verdict.BadRequest: 400},
		MayHaveRun: map[verdict.Reason]int{verdict.Deadline: 504},
		NotRun:     503, Default: 502,
	}
	for _, tc := range []struct {
		v    verdict.Verdict
		r    verdict.Reason
		want int
	}{
		{verdict.NotRun, verdict.BadRequest, 400},
		{verdict.MayHaveRun, verdict.BadRequest, 400},
		{verdict.NotRun, verdict.Deadline, 503},
		{verdict.MayHaveRun, verdict.Deadline, 504},
		{verdict.NotRun, verdict.NoEngine, 503},
		{verdict.MayHaveRun, verdict.NoEngine, 502},
	} {
		if got := s.For(verdict.New(tc.v, tc.r, "cause")); got != tc.want {
			t.Errorf("%s %s: got %d, want %d", tc.r, tc.v, got, tc.want)
		}
	}
}
