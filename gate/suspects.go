package gate

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/attempt"
	"github.com/weldfall/weldfall/engines/quarantine"
	"github.com/weldfall/weldfall/engines/upstream"
	"github.com/weldfall/weldfall/verdict"
)

// suspect returns the call as the guard knows it.
func (c *call) suspect() *quarantine.Request {
	if c.guardRequest == nil {
		a := quarantine.RequestKey{Host: strings.ToLower(c.r.Host), Method: c.r.Method, URI: c.r.RequestURI}
		if c.workspace != nil {
			a.Workspace = c.workspace.Name
		}
		c.guardRequest = quarantine.NewRequest(c.id, a, c.body)
	}
	return c.guardRequest
}

// place decides whether a request may be sent, and to which engine.
func (g *Gate) place(ctx context.Context, c *call) (pick, *verdict.Error) {
	alone, err := g.guard.Admit(ctx, c.suspect(), c.verdict(), g.contact())
	if err != nil {
		return pick{}, err
	}
	g.skipUnresponsive(c)
	e, err := g.choose(c, alone)
	switch {
	case !alone:
	case err != nil:
		g.guard.EndTrial(c.suspect())
	default:
		life := e.Incarnation().Mark()
		g.reserve(life, g.clk.Now()+quarantine.TrialTimeout)
		g.guard.StartTrial(c.suspect(), life, e.ID)
	}
	return e, err
}

// contact returns how this entry stands with others.
func (g *Gate) contact() quarantine.Connectivity {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch f := g.fleet; {
	case g.maxEntries <= 1:
		return quarantine.Standalone
	case f.Serving+f.StoppingBefore+f.StoppingAfter == 0:
		return quarantine.Isolated
	}
	return quarantine.Connected
}

// recordOutcome records what the end of an attempt tells of the request. An engine that ended
// is asked for no more; which of its requests ended it others may know better.
func (g *Gate) recordOutcome(ctx context.Context, c *call, e pick, o attempt.Outcome) {
	life := e.Incarnation().Mark()
	switch o := o.(type) {
	case attempt.Answered:
		if o.End == framing.Complete && c.reply.Status() < http.StatusMultipleChoices {
			g.guard.RecordSuccess(c.suspect())
		}
	case attempt.Broken:
		g.recordBreak(ctx, c, e, o.Err)
	case attempt.Failed, attempt.Refused, attempt.Unsent, attempt.CallerGone:
	}
	if c.alone {
		g.guard.EndTrial(c.suspect())
		g.reserve(life, 0)
	}
}

// recordBreak records that an engine broke off an attempt, or gave no sign of it. The list
// may have told already that it ended.
func (g *Gate) recordBreak(ctx context.Context, c *call, e pick, err error) {
	life := e.Incarnation()
	if g.engineEnded(ctx, e.Info, err) {
		g.guard.RecordCrash(c.suspect(), life.Mark(), e.ID)
		return
	}
	silent := errors.Is(err, upstream.ErrSilent)
	if ctx.Err() != nil || !(silent || upstream.BrokenOff(err)) {
		return
	}
	g.guard.RecordBrokenAttempt(c.suspect(), life.Mark(), e.ID, silent)
	g.mu.Lock()
	crashed := g.book.Crashed(life)
	g.mu.Unlock()
	if crashed {
		g.guard.RecordIncarnationEnd(life.Mark(), e.ID, endedByList)
	}
}

// endedByList is the ground of ends of which the list of engines told: a later start, or
// that the entry is gone.
const endedByList = "listed"

// engineEnded reports whether an engine ended that broke off an exchange: a connection
// that breaks alone says nothing of the request.
func (g *Gate) engineEnded(ctx context.Context, e engines.Info, err error) bool {
	if !upstream.BrokenOff(err) || ctx.Err() != nil {
		return false
	}
	ended, _, _ := g.endChecks.Do(e.Addr, func() (any, error) {
		return g.pool.Ended(context.WithoutCancel(ctx), e.Addr), nil
	})
	if ended != true {
		return false
	}
	g.markLost(e.Incarnation())
	return true
}

// markLost records that an engine ended. It gets nothing until it is reached again.
func (g *Gate) markLost(n engines.Incarnation) {
	g.mu.Lock()
	trust := engines.Unchanged
	if e := g.book.Find(n); e != nil {
		trust = e.Lost(g.clk.Now())
	}
	g.mu.Unlock()
	g.applyTrust(n, trust, "ended")
}

// reserve keeps others from the engine of a trial until the given time.
func (g *Gate) reserve(life uint32, until clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.book.Marked(life); e != nil {
		e.Reserve(until)
	}
}

// isLost reports whether this entry found that a life of an engine cannot be reached.
func (g *Gate) isLost(life uint32) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.book.Marked(life)
	return e != nil && e.Unreached()
}

// ReceiveSuspects implements peers.Host.
func (g *Gate) ReceiveSuspects(from, packed string) {
	for _, t := range g.guard.Receive(from, packed, g.isLost) {
		g.reserve(t.Incarnation, g.clk.Now()+t.Remaining)
	}
}

// BroadcastSuspects implements peers.Host.
func (g *Gate) BroadcastSuspects() { g.guard.BroadcastSuspects() }

// SuspectsPending implements peers.Host.
func (g *Gate) SuspectsPending() <-chan struct{} { return g.guard.SuspectsPending() }

// TakeSuspects implements peers.Host.
func (g *Gate) TakeSuspects() string { return g.guard.TakeSuspects() }
