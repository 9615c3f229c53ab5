package engines_test

import (
	"testing"

	"github.com/weldfall/weldfall/engines"
)

func TestLoadsOfOthersAreBelievedOnlyAfterARejection(t *testing.T) {
	const now = 100_000
	r := newRegistry(3)
	slow, fast, full := r.Get("e00"), r.Get("e01"), r.Get("e02")
	slow.RecordResponseTime(100, now)
	fast.RecordResponseTime(20, now)
	if c := choose(t, r, query(), now); c.Load != 0 || c.Mean != 0 {
		t.Errorf("got load %v, mean %v before a rejection, want none", c.Load, c.Mean)
	}
	full.RecordRejection(now)
	if c := choose(t, r, query(), now); c.Engine != fast || c.Mean <= 0 {
		t.Errorf("got engine %s, mean %v, want the fast one and a mean above 0", c.Engine.Info().ID, c.Mean)
	}
	fast.BeginRequest(now)
	slow.BeginRequest(now)
	if c := choose(t, r, query(), now+400); c.Engine != full {
		t.Errorf("got engine %s 400 ms after the rejection, want the free one", c.Engine.Info().ID)
	}
	if c := choose(t, r, query(), now+5000); c.Mean != 2.0/3 {
		t.Errorf("got mean %v after 5 s, want this entry's own requests only", c.Mean)
	}
}

func TestEnginesThatReportAreNotBelievedFuller(t *testing.T) {
	const now = 100_000
	r := newRegistry(2)
	if r.ReportsLoad(service) {
		t.Error("got a service that reports loads before a report")
	}
	r.Get("e00").RecordLoad(engines.Load{Running: 1}, now)
	r.Get("e01").RecordRejection(now)
	if !r.ReportsLoad(service) {
		t.Error("got a service without reports, want one with")
	}
	if c := choose(t, r, query(), now); c.Mean != 1 {
		t.Errorf("got mean %v, want that of the report", c.Mean)
	}
}
