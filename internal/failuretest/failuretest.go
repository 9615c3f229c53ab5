// Package failuretest compares the responses to all failures with a golden file, byte for byte.
package failuretest

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/verdict"
)

var update = flag.Bool("update", false, "write the current responses into the golden files of failures")

// reasons are all reasons of failures, and an unknown one.
var reasons = []verdict.Reason{
	verdict.BadRequest, verdict.Unauthorized, verdict.UnknownModel, verdict.TooLarge, verdict.HeaderTooLarge, verdict.RateLimited,
	verdict.Overloaded, verdict.Shed, verdict.OverBound, verdict.NotCached, verdict.Leaving, verdict.NoEngine, verdict.Unreachable,
	verdict.Deadline, verdict.CallerGone, verdict.LinkLost, verdict.EngineFailed, verdict.Duplicate, verdict.UnknownHistory,
	verdict.NotReady, verdict.NoRoute, verdict.HeldBack, verdict.PartHeldBack, "a reason that nobody knows",
}

// Check compares the responses to all failures with the golden file. respond returns the
// response to a failure.
func Check(t *testing.T, file string, respond func(err *verdict.Error) *http.Response) {
	t.Helper()
	var got bytes.Buffer
	for _, reason := range reasons {
		for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun} {
			for _, retryAfter := range []clock.Millis{0, 1250} {
				res := respond(verdict.New(v, reason, "cause of %s", reason).WithRetryAfter(retryAfter))
				body, err := io.ReadAll(res.Body)
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprintf(&got, "%s %s %d: %d", reason, v, retryAfter, res.StatusCode)
				var names []string
				for name := range res.Header {
					names = append(names, name)
				}
				slices.Sort(names)
				for _, name := range names {
					fmt.Fprintf(&got, " %s=%q", name, res.Header[name])
				}
				fmt.Fprintf(&got, " %s\n", body)
			}
		}
	}
	if *update {
		if err := os.WriteFile(file, got.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := bytes.Split(got.Bytes(), []byte("\n")), bytes.Split(want, []byte("\n"))
	if len(gotLines) != len(wantLines) {
		t.Fatalf("got %d lines, want %d", len(gotLines), len(wantLines))
	}
	for i := range wantLines {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			t.Errorf("got  %s\nwant %s", gotLines[i], wantLines[i])
		}
	}
}
