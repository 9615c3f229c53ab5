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

// suspectSource gives peers access to what this entry knows of requests that crash engines.
type suspectSource struct{ *quarantine.Guard }

var _ gossip.Summarizer = suspectSource{}

// ReceiveSuspects implements gossip.Source. Only daemons observe their engines, so an entry
// cannot confirm crashes that others report.
func (s suspectSource) ReceiveSuspects(from, packed string) {
	s.Receive(from, packed, func(uint32) bool { return false })
}

// quarantineRequest returns the request as the guard identifies it.
func (c *call) quarantineRequest() *quarantine.Request {
	if c.quarantineReq == nil {
		c.quarantineReq = quarantine.NewRequest(c.id, quarantine.RequestKey{Workspace: c.workspacePath(), Method: c.r.Method, URI: c.r.URL.RequestURI()}, c.body, nil)
	}
	return c.quarantineReq
}

// admitSuspect returns an error if the request is held back. If it must be sent as a trial,
// admitSuspect returns true and removes the affinity from the query, so that the request goes to
// the least loaded engine.
func (e *Entry) admitSuspect(ctx context.Context, c *call, q *route.Query) (trial bool, err *verdict.Error) {
	v := verdict.NotRun
	trial, err = e.guard.Admit(ctx, c.quarantineRequest(), v, e.connectivity())
	if err != nil || !trial {
		return false, err
	}
	if usable, listed := e.node.PoolSize(c.pool); usable <= 1 && listed > 1 {
		e.guard.EndTrial(c.quarantineRequest())
		return false, verdict.New(v, verdict.HeldBack, "engines crashed while they ran this request, and no engine of pool %q can be spared to try it", c.pool).WithRetryAfter(quarantine.TrialRetryAfter)
	}
	q.Affine, q.Returning, q.Hint = false, false, ""
	return true, nil
}

// connectivity returns whether this entry can communicate with other entries.
func (e *Entry) connectivity() quarantine.Connectivity {
	switch {
	case len(e.node.RandomEntries(1)) == 0:
		return quarantine.Standalone
	case !e.node.MajorityReachable():
		return quarantine.Isolated
	}
	return quarantine.Connected
}

// recordAttempt records in the guard whether an attempt crashed its engine or succeeded.
func (e *Entry) recordAttempt(c *call, o attempt.Outcome, res wire.Result) {
	if res.EndedIncarnation != 0 {
		e.guard.RecordCrash(c.quarantineRequest(), res.EndedIncarnation, c.lastOffer)
	}
	if a, ok := o.(attempt.Answered); ok && a.End == framing.Complete {
		e.guard.RecordSuccess(c.quarantineRequest())
	}
	e.guard.EndTrial(c.quarantineRequest())
}
