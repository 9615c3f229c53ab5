package entry

import (
	"context"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/engines/attempt"
	"github.com/weldfall/weldfall/engines/quarantine"
	"github.com/weldfall/weldfall/engines/quarantine/gossip"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/route"
	"github.com/weldfall/weldfall/verdict"
)

// suspects is what this entry knows of requests that end engines, as others ask for it.
type suspects struct{ *quarantine.Guard }

var _ gossip.Summarizer = suspects{}

// ReceiveSuspects implements gossip.Source. Only daemons see their engines end, so no end
// that others tell of is confirmed here.
func (s suspects) ReceiveSuspects(from, packed string) {
	s.Receive(from, packed, func(uint32) bool { return false })
}

// suspect returns the call as the guard knows it.
func (c *call) suspect() *quarantine.Request {
	if c.guarded == nil {
		c.guarded = quarantine.NewRequest(c.id, quarantine.RequestKey{Workspace: c.workspacePath(), Method: c.r.Method, URI: c.r.URL.RequestURI()}, c.body)
	}
	return c.guarded
}

// admitSuspect refuses a request that is held back, and makes the query of one that must
// be sent alone that of a request without a home: it goes to the least loaded engine.
func (e *Entry) admitSuspect(ctx context.Context, c *call, q *route.Query) (alone bool, err *verdict.Error) {
	v := verdict.NotRun
	alone, err = e.guard.Admit(ctx, c.suspect(), v, e.contact())
	if err != nil || !alone {
		return false, err
	}
	if usable, listed := e.node.PoolSize(c.pool); usable <= 1 && listed > 1 {
		e.guard.EndTrial(c.suspect())
		return false, verdict.New(v, verdict.HeldBack, "engines ended while they ran this request, and none of pool %q can be spared to try it", c.pool).WithRetryAfter(quarantine.TrialRetryAfter)
	}
	q.Affine, q.Returning, q.Hint = false, false, ""
	return true, nil
}

// contact returns how this entry stands with others.
func (e *Entry) contact() quarantine.Connectivity {
	switch {
	case len(e.node.RandomEntries(1)) == 0:
		return quarantine.Standalone
	case !e.node.MajorityReachable():
		return quarantine.Isolated
	}
	return quarantine.Connected
}

// learnEnd records what the end of an attempt tells of the request.
func (e *Entry) learnEnd(c *call, o attempt.Outcome, res wire.Result) {
	if res.EndedIncarnation != 0 {
		e.guard.RecordCrash(c.suspect(), res.EndedIncarnation, c.offered)
	}
	if a, ok := o.(attempt.Answered); ok && a.End == framing.Complete {
		e.guard.RecordSuccess(c.suspect())
	}
	e.guard.EndTrial(c.suspect())
}
