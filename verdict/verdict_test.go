package verdict_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/weldfall/weldfall/verdict"
)

func TestErrorWithoutVerdictMayHaveRun(t *testing.T) {
	e := verdict.From(errors.New("broken pipe"))
	if got, want := e.Verdict(), verdict.MayHaveRun; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestVerdictSurvivesWrapping(t *testing.T) {
	err := fmt.Errorf("send: %w", verdict.New(verdict.NotRun, verdict.Shed, "queue full").WithRetryAfter(1500))
	e := verdict.From(err)
	if e.Verdict() != verdict.NotRun || e.Reason() != verdict.Shed || e.RetryAfter() != 1500 {
		t.Errorf("got %v %v %v, want not_run shed 1500", e.Verdict(), e.Reason(), e.RetryAfter())
	}
}
