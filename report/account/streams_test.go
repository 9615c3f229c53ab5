package account_test

import (
	"strings"
	"testing"
)

// A stream is reported with all attempts of its caller, from the logs of all entries, with the
// versions that sent its events.
func TestResumedStreamsAreTold(t *testing.T) {
	long := strings.Repeat("x", 70)
	out := report(t,
		line("01.0", `msg=failed request=a1 route=chat status=200 cut=true verdict=may_have_run reason=engine_failed events=4 engine_version=v1`)+
			line("01.1", `msg=answered request=b1 route=chat status=200 late="" events=8 engine_version=v2`)+
			line("01.2", `msg=failed request=c1 route=chat status=200 cut=true verdict=may_have_run reason=engine_failed events=2 engine_version=v2`)+
			line("01.3", `msg=failed request=`+long+` route=other status=200 cut=true verdict=may_have_run reason=engine_failed events=2 engine_version=v2`),
		line("02.0", `msg=failed request=a2 route=chat status=200 cut=true verdict=may_have_run reason=engine_failed events=2 engine_version=v1 resumes=a1 after=4 origin=record`)+
			line("02.1", `msg=answered request=a3 route=chat status=200 late="" events=2 engine_version=v1 resumes=a1 after=6 origin=record`)+
			line("02.2", `msg=failed request=c2 route=chat status=503 verdict=not_run reason=unknown_origin resumes=c1 after=2 origin=""`)+
			line("02.3", `msg=failed request=c3 route=chat status=503 verdict=not_run reason=version_gone events=0 engine_version=v2 resumes=c1 after=2 origin=record`)+
			line("02.4", `msg=answered request=o2 route=other status=200 late="" events=6 engine_version=v1 resumes=`+long[:64]+` after=2 origin=record`),
	)
	var got []string
	for l := range strings.Lines(out) {
		if f := strings.Fields(l); len(f) == 7 && strings.HasSuffix(f[0], ":") {
			got = append(got, strings.Join(f, " "))
		}
	}
	want := []string{"chat: 2 4 2 1 1 0", "other: 1 1 1 0 0 1"}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got %q, want %q in:\n%s", got, want, out)
	}
	if out := report(t, line("01.0", `msg=answered request=a route=r status=200 late=""`)); strings.Contains(out, "resumed streams") {
		t.Errorf("got a table of resumed streams without any:\n%s", out)
	}
}
