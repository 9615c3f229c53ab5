package account_test

import (
	"fmt"
	"strings"
	"testing"
)

// rowsOf returns the rows of the table with the given first heading, with single spaces.
func rowsOf(out, heading string) []string {
	var rows []string
	in := false
	for l := range strings.Lines(out) {
		fields := strings.Fields(l)
		switch {
		case len(fields) == 0:
			in = false
		case fields[0] == heading && len(fields) > 1 && fields[1] == "asked":
			in = true
		case in:
			rows = append(rows, strings.Join(fields, " "))
		}
	}
	return rows
}

// An operator sees who waited, who was refused and who paid.
func TestDemandByWorkspaceAndPriority(t *testing.T) {
	out := report(t,
		line("01.0", "msg=answered request=a route=r status=200 workspace=ws-1 priority=0 pressure=0.5 over_share=false")+
			line("01.1", "msg=answered request=b route=r status=200 late=first how=load workspace=ws-1 priority=0 pressure=1.2 over_share=false turn_ms=40")+
			line("01.2", "msg=failed request=c route=r status=503 verdict=not_run reason=no_room workspace=ws-2 priority=2 pressure=1.3 over_share=true")+
			line("01.3", "msg=failed request=d route=r status=503 verdict=not_run reason=no_room workspace=ws-2 priority=10 pressure=1 over_share=false"),
		line("01.4", "msg=failed request=e route=r status=503 verdict=not_run reason=overloaded workspace=ws-2 priority=2")+
			line("01.5", "msg=failed request=f route=r status=502 verdict=may_have_run reason=engine_failed workspace=ws-2 priority=2")+
			line("01.6", "msg=failed request=g route=r status=0 cut=true verdict=may_have_run reason=caller_gone workspace=ws-1 priority=2")+
			line("01.7", "msg=answered request=h route=r status=200 priority=2")+
			line("01.8", "msg=failed request=i route=r status=0 cut=true verdict=may_have_run reason=caller_gone workspace=ws-0 priority=2")+
			line("01.9", "msg=answered request=j route=r status=200 workspace=ws-3 priority=2"),
	)
	for heading, want := range map[string][]string{
		"workspace": {"ws-2 4 0 0 2 1 1 0 2 1 0 ms", "ws-1 3 1 1 0 0 0 1 1 0 13 ms", "ws-0 1 0 0 0 0 0 1 0 0 0 ms", "ws-3 1 1 0 0 0 0 0 0 0 0 ms"},
		"priority":  {"0 2 1 1 0 0 0 0 1 0 20 ms", "2 7 2 0 1 1 1 2 1 1 0 ms", "10 1 0 0 1 0 0 0 1 0 0 ms"},
	} {
		if got := rowsOf(out, heading); strings.Join(got, "\n") != strings.Join(want, "\n") {
			t.Errorf("got rows by %s\n%s\nwant\n%s", heading, strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
	}
}

// The report stays short and the counts bounded however many workspaces there are.
func TestOfManyWorkspacesThoseThatLostMostAreListed(t *testing.T) {
	var logs strings.Builder
	for i := range 20_050 {
		logs.WriteString(line("01.0", fmt.Sprintf("msg=answered request=a route=r status=200 workspace=ws-%d priority=0", i)))
	}
	for range 3 {
		logs.WriteString(line("02.0", "msg=failed request=b route=r status=503 verdict=not_run reason=no_room workspace=ws-7 priority=0"))
		logs.WriteString(line("02.0", "msg=failed request=b route=r status=503 verdict=not_run reason=no_room workspace=late priority=0"))
	}
	out := report(t, logs.String())
	rows := rowsOf(out, "workspace")
	// A line says how many more there are.
	if got, want := len(rows), 21; got != want {
		t.Fatalf("got %d rows, want %d:\n%s", got, want, strings.Join(rows, "\n"))
	}
	for i, want := range []string{"(others) 53 50 0 3", "ws-7 4 1 0 3"} {
		if !strings.HasPrefix(rows[i], want) {
			t.Errorf("got row %q, want one that begins with %q", rows[i], want)
		}
	}
	if got, want := rows[20], "19981 more workspaces"; !strings.HasPrefix(got, want) {
		t.Errorf("got %q, want a line that begins with %q", got, want)
	}
}
