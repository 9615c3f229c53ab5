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
	"github.com/weldfall/weldfall/gate/prompt"
	"github.com/weldfall/weldfall/verdict"
)

// suspect returns the call as the guard knows it.
func (c *call) suspect() *quarantine.Request {
	if c.guardRequest == nil {
		a := quarantine.RequestKey{Host: strings.ToLower(c.r.Host), Method: c.r.Method, URI: c.r.RequestURI}
		if c.workspace != nil {
			a.Workspace = c.workspace.Name
		}
		c.guardRequest = quarantine.NewRequest(c.id, a, c.body, c.sharedParts)
	}
	return c.guardRequest
}

// sharedParts returns the parts of the prompt that other requests may share.
func (c *call) sharedParts() []quarantine.PromptPart {
	var parts []quarantine.PromptPart
	for _, id := range prompt.SharedIDs(c.prompt) {
		parts = append(parts, quarantine.PromptPart{Service: c.service, ID: id})
	}
	return parts
}

// place decides whether a request may be sent, and to which engine. It is the one that was
// secured unless the request became a suspect since, or the engine said that it wants no
// requests.
func (g *Gate) place(ctx context.Context, c *call) (pick, *verdict.Error) {
	isolated, err := g.guard.Admit(ctx, c.suspect(), c.verdict(), g.contact())
	if err != nil {
		return pick{}, err
	}
	if next := c.next; next != nil {
		c.next = nil
		if !isolated && g.checkOpen(next.Incarnation()) == nil {
			c.setPick(next.pick)
			return next.pick, nil
		}
		g.finish(next.Incarnation(), engines.Neutral)
	}
	g.skipUnresponsive(c)
	e, err := g.choose(c, isolated)
	switch {
	case !isolated:
	case err != nil:
		g.guard.EndTrial(c.suspect())
	default:
		hash := e.Incarnation().Hash()
		g.reserve(hash, g.clk.Now()+quarantine.TrialTimeout)
		g.guard.StartTrial(c.suspect(), hash, e.ID)
	}
	return e, err
}

// contact returns whether this entry is in contact with others.
func (g *Gate) contact() quarantine.Connectivity {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.contactNow()
}

// contactNow is contact for a caller that holds mu.
func (g *Gate) contactNow() quarantine.Connectivity {
	switch f := g.fleet; {
	case g.entries.most() <= 1:
		return quarantine.Standalone
	case f.Serving+f.StoppingBefore+f.StoppingAfter == 0:
		return quarantine.Isolated
	}
	return quarantine.Connected
}

// recordOutcome records what the outcome of an attempt says about the request. An engine
// that has ended gets no more requests. Other entries may know better which of its requests
// caused the crash.
func (g *Gate) recordOutcome(ctx context.Context, c *call, e pick, o attempt.Outcome) {
	hash := e.Incarnation().Hash()
	switch o := o.(type) {
	case attempt.Answered:
		if o.End == framing.Complete && c.reply.Status() < http.StatusMultipleChoices {
			g.guard.RecordSuccess(c.suspect())
		}
	case attempt.Broken:
		g.recordBreak(ctx, c, e, o.Err)
	case attempt.Failed, attempt.Refused, attempt.Unsent, attempt.CallerGone:
	}
	if c.isolated {
		g.guard.EndTrial(c.suspect())
		g.reserve(hash, 0)
	}
}

// recordBreak records that the connection of an attempt broke or that its engine fell
// silent. The list may already have shown that the engine ended.
func (g *Gate) recordBreak(ctx context.Context, c *call, e pick, err error) {
	inc := e.Incarnation()
	if errors.Is(err, framing.ErrSenderUnproven) && g.listedSender(inc) == framing.SenderLeaves {
		// The operators ended the process, not the request.
		return
	}
	if g.engineEnded(ctx, e.Info, err) {
		g.guard.RecordCrash(c.suspect(), inc.Hash(), e.ID)
		return
	}
	silent := errors.Is(err, upstream.ErrSilent)
	if ctx.Err() != nil || !(silent || upstream.ClosedByPeer(err)) {
		return
	}
	g.guard.RecordBrokenAttempt(c.suspect(), inc.Hash(), e.ID, silent)
	g.mu.Lock()
	crashed := g.registry.Crashed(inc)
	g.mu.Unlock()
	if crashed {
		g.guard.RecordIncarnationEnd(inc.Hash(), e.ID, endedByList)
	}
}

// endedByList is the reason for an end that the list of engines shows by a later
// incarnation or a missing entry.
const endedByList = "listed"

// engineEnded reports whether the engine that broke off an exchange has ended. A broken
// connection alone says nothing about the request.
func (g *Gate) engineEnded(ctx context.Context, e engines.Info, err error) bool {
	if !upstream.ClosedByPeer(err) || ctx.Err() != nil {
		return false
	}
	if errors.Is(err, framing.ErrSenderEnded) {
		g.markLost(e.Incarnation())
		return true
	}
	ended, _, _ := g.endChecks.Do(e.Addr, func() (any, error) {
		return g.pool.ProcessEnded(context.WithoutCancel(ctx), e.Addr), nil
	})
	if ended != true {
		return false
	}
	g.markLost(e.Incarnation())
	return true
}

// listedSender returns whether an engine is listed as ended or as leaving, or said that it leaves.
func (g *Gate) listedSender(inc engines.Incarnation) framing.Sender {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.registry.Crashed(inc):
		return framing.SenderEnded
	case g.registry.Said(inc).Leaving():
		return framing.SenderLeaves
	}
	return ""
}

// markLost records that an engine has ended. It gets no requests until it is reachable
// again.
func (g *Gate) markLost(n engines.Incarnation) {
	g.mu.Lock()
	trust := engines.TrustUnchanged
	if e := g.registry.Find(n); e != nil {
		trust = e.MarkLost(g.clk.Now())
	}
	g.mu.Unlock()
	g.applyTrust(n, trust, "ended")
}

// reserve keeps other requests from the engine of a trial until the given time.
func (g *Gate) reserve(hash uint32, until clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.registry.ByHash(hash); e != nil {
		e.Reserve(until)
	}
}

// isLost reports whether this entry could not reach an incarnation of an engine.
func (g *Gate) isLost(hash uint32) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.registry.ByHash(hash)
	return e != nil && e.IsUnreachable()
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
