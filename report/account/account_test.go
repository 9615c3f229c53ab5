package account_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/weldfall/weldfall/report/account"
)

// line returns a log line that was written at a second of a fixed minute.
func line(at, rest string) string {
	return "time=2026-01-01T00:00:" + at + "Z level=INFO " + rest + "\n"
}

func report(t *testing.T, logs ...string) string {
	t.Helper()
	a := account.New()
	for _, l := range logs {
		if err := a.ReadLog(strings.NewReader(l)); err != nil {
			t.Fatal(err)
		}
	}
	var b bytes.Buffer
	if err := a.WriteReport(&b, time.Second); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestLossesHaveCauses(t *testing.T) {
	for name, tc := range map[string]struct{ logs, want string }{
		"in time": {line("01.1", `msg=answered request=a route=r status=200 how=home kept=true late=""`), ""},
		"failed by the engine": {
			line("01.0", "msg=attempt_ended request=a outcome=failed") + line("01.1", "msg=answered request=a route=r status=500 late=\"\""),
			"failed engine's own failure r",
		},
		"connection broken during the response": {
			line("01.0", "msg=attempt_ended request=a outcome=broken") + line("01.1", "msg=failed request=a route=r status=200 cut=true verdict=may_have_run reason=engine_failed"),
			"cut engine broke off r",
		},
		"engine crashed": {
			line("01.0", "msg=struck request=a asked=d1 engine=i-1 strikes=1") + line("01.0", "msg=attempt_ended request=a outcome=broken") +
				line("01.1", "msg=failed request=a route=r status=502 verdict=may_have_run reason=engine_failed"),
			"failed engine ended r",
		},
		"held back": {
			line("01.0", "msg=held_back request=a asked=d1 strikes=3") + line("01.0", "msg=failed request=a route=r status=503 verdict=not_run reason=held_back"),
			"refused held_back r",
		},
		"engine unresponsive": {
			line("01.0", "msg=attempt_ended request=a outcome=silent") + line("01.1", "msg=answered request=a route=r status=200 late=first how=rank"),
			"late engine dark r",
		},
		"prompt not cached":                {line("01.1", "msg=answered request=a route=r status=200 late=first how=home kept=false fetched=false"), "late cold prompt r"},
		"prompt fetched":                   {line("01.1", "msg=answered request=a route=r status=200 late=first how=home fetched=true"), "late prompt moved r"},
		"contention":                       {line("01.1", "msg=answered request=a route=r status=200 late=first how=home kept=true fetched=false"), "late behind other requests r"},
		"paused":                           {line("01.1", "msg=answered request=a route=r status=200 late=pause how=home kept=true"), "late pause in the stream r"},
		"no engine but closed ones":        {line("01.1", "msg=failed request=a route=r status=503 verdict=not_run reason=no_engine closed=3"), "refused engines leave or rest r"},
		"held back beside a closed engine": {line("01.1", "msg=failed request=a route=r status=503 verdict=not_run reason=held_back closed=1"), "refused held_back r"},
		"asked for a rest": {
			line("01.0", "msg=attempt_ended request=a outcome=refused rest_ms=3000") + line("01.1", "msg=failed request=a route=r status=503 verdict=not_run reason=overloaded closed=1"),
			"refused engine rests r",
		},
		"full": {
			line("01.0", "msg=attempt_ended request=a outcome=refused rest_ms=0") + line("01.1", "msg=failed request=a route=r status=503 verdict=not_run reason=overloaded"),
			"refused engine full r",
		},
		"refused":             {line("01.1", "msg=failed request=a route=r status=503 verdict=not_run reason=leaving"), "refused leaving r"},
		"aborted at shutdown": {line("01.1", "msg=failed request=a route=r status=200 cut=true verdict=may_have_run reason=leaving"), "cut leaving r"},
		"failed at shutdown":  {line("01.1", "msg=failed request=a route=r status=502 cut=false verdict=may_have_run reason=leaving"), "failed leaving r"},
		"deadline exceeded":   {line("01.1", "msg=failed request=a route=r status=504 verdict=may_have_run reason=deadline"), "failed no time r"},
		"denied":              {line("01.1", "msg=failed request=a route=r status=401 verdict=not_run reason=unauthorized"), ""},
		"caller disconnected": {line("01.1", "msg=failed request=a route=r status=0 cut=true verdict=may_have_run reason=caller_gone"), ""},
		"failed attempt of another request": {
			line("01.0", "msg=attempt_ended request=b outcome=failed") + line("01.1", "msg=answered request=a route=r status=200 late=first how=home kept=true"),
			"late behind other requests r",
		},
	} {
		t.Run(name, func(t *testing.T) {
			out := report(t, tc.logs)
			got := ""
			for l := range strings.Lines(out) {
				if strings.Contains(l, "100.0%") {
					got = strings.Join(strings.Fields(l)[2:], " ")
				}
			}
			if got != tc.want {
				t.Errorf("got cause %q, want %q in:\n%s", got, tc.want, out)
			}
		})
	}
}

// Two engines crash during d1. Only one crashes during d2, which just happened to
// run beside d1.
func TestRequestsThatCrashEnginesAreListed(t *testing.T) {
	out := report(t,
		line("01.0", "msg=struck instance=e1 request=a asked=d1 engine=i-1")+line("01.0", "msg=struck instance=e1 request=b asked=d2 engine=i-1")+
			line("01.1", "msg=failed request=a route=r status=502 verdict=may_have_run reason=engine_failed"),
		line("02.0", "msg=struck instance=e2 request=c asked=d1 engine=i-2")+line("03.5", "msg=held_back instance=e2 request=d asked=d1 strikes=2"),
	)
	if want := "d1     2              2           1          00:00:01.000  00:00:03.500"; !strings.Contains(out, want) {
		t.Errorf("got no %q in:\n%s", want, out)
	}
	if strings.Contains(out, "d2") {
		t.Errorf("got a request with a single engine crash in:\n%s", out)
	}
}

// Requests that share a part of their prompts have digests of their own, and the part another.
func TestPartsThatCrashEnginesAreListed(t *testing.T) {
	out := report(t,
		line("01.0", "msg=struck instance=e1 request=a asked=d1 engine=i-1 parts=5c,91")+line("02.0", "msg=struck instance=e1 request=b asked=d2 engine=i-2 parts=5c")+
			line("02.0", "msg=part_suspected instance=e1 request=b asked=d3 part=5c engine=i-2 strikes=2"),
		line("03.0", "msg=part_suspected instance=e2 request=c asked=d3 part=5c engine=i-3 strikes=3")+line("04.0", "msg=held_back instance=e2 request=d asked=d3 strikes=3 part=5c")+
			line("04.0", "msg=failed request=d route=r status=503 verdict=not_run reason=part_held_back"),
	)
	if want := "d3     2              2           1          00:00:02.000  00:00:04.000  5c"; !strings.Contains(out, want) {
		t.Errorf("got no %q in:\n%s", want, out)
	}
}

// A crash may be detected after the request that it broke has been logged. It must
// not become the cause of a later attempt with the same request ID.
func TestCrashDetectedLateIsNotCauseOfLaterAttempt(t *testing.T) {
	late := func(at, engine string) string {
		return line(at, "msg=struck instance=e1 request=a asked=d1 engine="+engine+" strikes=1 ground=listed late_ms=700")
	}
	out := report(t,
		line("01.0", "msg=attempt_ended request=a outcome=broken")+line("01.0", "msg=failed request=a route=r status=502 verdict=may_have_run reason=engine_failed")+
			late("01.7", "i-1")+late("01.8", "i-2")+
			line("02.0", "msg=attempt_ended request=a outcome=broken")+line("02.0", "msg=failed request=a route=r status=502 verdict=may_have_run reason=engine_failed"),
	)
	if want := "d1     2              1           0          00:00:01.700  00:00:01.800"; !strings.Contains(out, want) {
		t.Errorf("got no %q in:\n%s", want, out)
	}
	if strings.Contains(out, string(account.EngineCrashed)) || !strings.Contains(out, string(account.EngineBroken)) {
		t.Errorf("got the cause %q, want %q alone in:\n%s", account.EngineCrashed, account.EngineBroken, out)
	}
}

func TestIntervalsWithoutLossAreOmitted(t *testing.T) {
	out := report(t,
		line("01.1", "msg=answered request=a route=r status=200")+line("02.1", "msg=answered request=b route=r status=200 late=first how=home kept=true"),
		line("02.9", "msg=failed request=c route=r status=503 verdict=not_run reason=not_ready")+"half a li",
	)
	for _, want := range []string{"00:00:02.000  2", "3 requests, 0 other lines"} {
		if !strings.Contains(out, want) {
			t.Errorf("got no %q in:\n%s", want, out)
		}
	}
	if strings.Contains(out, "00:00:01.000") {
		t.Errorf("got an interval without loss in:\n%s", out)
	}
}

func TestLogsWithoutRequestsFail(t *testing.T) {
	a := account.New()
	if err := a.ReadLog(strings.NewReader("=\n")); err != nil {
		t.Fatal(err)
	}
	if err := a.WriteReport(&bytes.Buffer{}, time.Second); err == nil || !strings.Contains(err.Error(), "1 lines were skipped") {
		t.Errorf("got %v, want an error that says that no request was found", err)
	}
	if err := a.ReadLog(strings.NewReader(strings.Repeat("x", 100<<10))); err == nil || !strings.Contains(err.Error(), "longer than") {
		t.Errorf("got %v for an endless line, want an error that says so", err)
	}
}

// The report must show an entry that keeps serving with an old settings version.
func TestSettingsVersionsOfRequests(t *testing.T) {
	ran := func(at, instance string, version int) string {
		return line(at, fmt.Sprintf("msg=answered instance=%s request=a route=r status=200 table=%d", instance, version))
	}
	inForce := func(at, instance string, version int) string {
		return line(at, fmt.Sprintf("msg=table_in_force instance=%s version=%d", instance, version))
	}
	out := report(t,
		inForce("01.000", "edge-1", 16)+ran("01.5", "edge-1", 16)+inForce("02.000", "edge-1", 19)+ran("03.0", "edge-1", 19),
		inForce("01.100", "edge-2", 16)+ran("08.25", "edge-2", 16),
	)
	for _, want := range []string{
		"16 2 2 00:00:01.000 00:00:01.100 00:00:08.250 edge-2 6.25s",
		"19 1 1 00:00:02.000 00:00:02.000 00:00:03.000 edge-1 -",
	} {
		found := false
		for l := range strings.Lines(out) {
			found = found || strings.Join(strings.Fields(l), " ") == want
		}
		if !found {
			t.Errorf("got no line %q in:\n%s", want, out)
		}
	}
}

// The report must show the window in which the retries of a service came nearest to
// their bound, also if the requests that set the bound came before the window. It
// must also show that the budgets counted more retries than the logged attempts.
func TestWorstRetryWindow(t *testing.T) {
	var logs strings.Builder
	ran := func(at string) {
		logs.WriteString(line(at, "msg=answered instance=e1 request=a route=r service=s attempts=1 total_ms=100 status=200"))
	}
	retry := func(at, repeat string) {
		logs.WriteString(line(at, "msg=attempt_ended instance=e1 request=a service=s outcome=failed repeat="+repeat))
	}
	for i := range 20 {
		ran(fmt.Sprintf("%02d.5", 1+i/2))
	}
	retry("02.0", "spent")
	for range 3 {
		retry("18.0", "spent")
		retry("18.0", "free")
		retry("18.0", "denied")
	}
	budget := func(instance string, spent int) string {
		return line("21.0", fmt.Sprintf("msg=repeats instance=%s service=s requests=20 spent=%d denied=3 least_left=0 ratio=0.1 extra=2 window_ms=10000", instance, spent))
	}
	// e1 restarts between its two lines.
	logs.WriteString(budget("e1", 3) + budget("e1", 2) + budget("e2", 1))
	out := report(t, logs.String())
	if want := "s        00:00:18.000               3        6         3        1.15  4               6"; !strings.Contains(out, want) {
		t.Errorf("got no %q in:\n%s", want, out)
	}
}

func TestRetriesWithoutBudgetAreNotReported(t *testing.T) {
	out := report(t, line("01.0", "msg=attempt_ended request=a service=s outcome=failed repeat=spent")+
		line("01.1", "msg=answered request=a route=r service=s attempts=2 total_ms=100 status=200"))
	if strings.Contains(out, "nearest to the bound") {
		t.Errorf("got a retry table without a budget in:\n%s", out)
	}
}
