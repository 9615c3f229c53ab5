package gate

import (
	"context"
	"strconv"
	"strings"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/table"
	"github.com/weldfall/weldfall/verdict"
)

// choose chooses the engine for the next attempt, counts the request there and records it. An
// isolated request goes to the least loaded engine.
func (g *Gate) choose(c *call, isolated bool) (pick, *verdict.Error) {
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.knowsEvacuations(now) {
		return pick{}, verdict.New(c.verdict(), verdict.NotReady, "this entry's list of evacuations is %d ms old", g.tableFreshness.Age(now)).WithRetryAfter(g.retryElsewhere(now))
	}
	c.closed = g.registry.CountClosed(c.service, now)
	p, ok := g.chooseUntried(c, isolated, false, now)
	if !ok && isolated && (c.requiredVersion() == "" || g.registry.HasUntried(c.service, c.requiredVersion(), c.tried, now)) {
		return pick{}, verdict.New(c.verdict(), verdict.HeldBack, "engines crashed while they ran this request, and no engine of %s is free to run it in isolation", c.service).WithRetryAfter(retrySoon)
	}
	if !ok {
		return pick{}, g.noEngine(c, now)
	}
	c.setPick(p)
	return p, nil
}

// chooseUntried chooses an engine that was not tried and counts the request there, or returns
// false if there is none. If sound is true, it must not be one that new requests avoid. The
// caller holds mu.
func (g *Gate) chooseUntried(c *call, isolated, sound bool, now clock.Millis) (pick, bool) {
	bound, slack := engines.AffinityBound(g.bounds().LoadBound)
	service, _ := c.table.Service(c.service)
	cost := engines.Cost{Prefill: g.prefillMillis(c.service), Transfer: service.TransferTimePerToken}
	ch, ok := g.registry.Choose(engines.Query{
		Service: c.service, Keys: c.prefixKeys, Tokens: c.prefixTokens, Cost: cost, Bound: bound, Slack: slack,
		MaxSilence: maxSilence(c.route), Warmup: g.warmup(c), WithinSlots: c.pressure > 0, Version: c.requiredVersion(), Tried: c.tried, Sound: sound, Isolated: isolated, Random: random(),
		Hall: g.cfg.Hall, Locality: g.spill(c.service), Leave: random(),
	}, now)
	if !ok {
		return pick{}, false
	}
	in := ch.Engine.Info()
	pace := g.registry.Pace(ch.Engine, now)
	ch.Engine.BeginRequest(now)
	hallMetric(ch.Hall)
	p := pick{Info: in, choice: ch, chosenAt: now, isolated: isolated, prefillMillis: cost.Prefill, pace: pace}
	if service.PrefixTransfer && ch.Source != nil {
		p.source = ch.Source.Info().Addr
	}
	return p, true
}

// pick is the engine chosen for an attempt.
type pick struct {
	engines.Info
	// source is the address of an engine that may have a longer prefix of the prompt, "" if
	// none is known.
	source string

	choice   engines.Choice
	chosenAt clock.Millis
	// isolated is true if the attempt is a trial.
	isolated bool
	// prefillMillis is the known prefill time in milliseconds a token.
	prefillMillis float64
	// pace is how long work is expected to take at the engine as a multiple of the usual, 0
	// if its service does not report it.
	pace float64
}

// setPick records the engine of the next attempt.
func (c *call) setPick(p pick) {
	c.sentAt = p.chosenAt
	c.tried, c.isolated = append(c.tried, p.ID), p.isolated
	c.chosenBy, c.sentBefore, c.engineLoad, c.meanLoad = p.choice.Basis, p.choice.PrefixSent, p.choice.Load, p.choice.Mean
	c.hallReason, c.pace = p.choice.Hall, p.pace
	c.hasSource, c.fetchCostsMore, c.prefillMillis = p.source != "", p.choice.FetchTooCostly, p.prefillMillis
}

// silenceGoals is the number of times its goal that a request tolerates as silence of its
// engine.
const silenceGoals = 2

// maxSilence returns how long an engine may leave requests without output before a request
// of the route goes to another engine.
func maxSilence(r *table.Route) clock.Millis { return silenceGoals * r.GoalOrDefault() }

// recordActivity records that an engine sent something, with its reported load, if any.
func (g *Gate) recordActivity(n engines.Incarnation, load string) {
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.registry.Find(n)
	if e == nil {
		return
	}
	e.RecordActivity(now)
	if l, ok := parseLoad(load); ok {
		e.RecordLoad(l, now)
		if l.Pace > 0 {
			g.registry.RecordPace(e, l.Pace, now)
		}
	}
}

// finish records the end of a request at an engine. The outcome counts for the incarnation
// that the request was sent to.
func (g *Gate) finish(n engines.Incarnation, o engines.Outcome) {
	now := g.clk.Now()
	g.mu.Lock()
	e := g.registry.Find(n)
	if e == nil {
		g.mu.Unlock()
		return
	}
	trust := e.EndRequest(o, now)
	g.mu.Unlock()
	g.applyTrust(n, trust, string(o))
}

// applyTrust logs a change of the trust in an engine and starts to reconnect to one that is
// unreachable.
func (g *Gate) applyTrust(n engines.Incarnation, t engines.TrustChange, cause string) {
	g.logTrust(n.ID, t, cause)
	if t == engines.Suspected {
		g.guard.ConfirmCrash(n.Hash())
		go g.reconnect(n)
	}
}

func (g *Gate) logTrust(id string, t engines.TrustChange, cause string) {
	if t != engines.TrustUnchanged {
		g.log.Info("engine_trust", "engine", id, "trust", t, "cause", cause)
	}
}

// reconnectPeriod is how often a connection to an unreachable engine is tried.
const reconnectPeriod clock.Millis = 500

// reconnect tries to connect to an unreachable engine until it succeeds or the engine is no
// longer listed. So no request has to find out whether the engine is back: at an
// unresponsive engine each would wait for the whole connection timeout.
func (g *Gate) reconnect(n engines.Incarnation) {
	for !g.shutdown.aborting.Load() {
		clock.Sleep(context.Background(), reconnectPeriod)
		g.mu.Lock()
		e := g.registry.Find(n)
		if e == nil {
			g.mu.Unlock()
			return
		}
		addr, accepts := e.Info().Addr, e.AcceptsRequests(g.clk.Now())
		g.mu.Unlock()
		if !accepts || g.pool.Preconnect(addr) != nil {
			continue
		}
		g.mu.Lock()
		trust := e.MarkReached(g.clk.Now())
		g.mu.Unlock()
		g.logTrust(n.ID, trust, "connected")
		return
	}
}

// maxPace is the largest reported pace that is believed.
const maxPace = 100_000.0

// usualPace is the reported pace of an engine at which work takes as long as usual.
const usualPace = 100.0

// parseLoad parses "running,waiting,slots" or "running,waiting,slots,pace".
func parseLoad(v string) (engines.Load, bool) {
	running, rest, ok := strings.Cut(v, ",")
	if !ok {
		return engines.Load{}, false
	}
	waiting, rest, _ := strings.Cut(rest, ",")
	r, err1 := strconv.Atoi(strings.TrimSpace(running))
	q, err2 := strconv.Atoi(strings.TrimSpace(waiting))
	if err1 != nil || err2 != nil || r < 0 || q < 0 {
		return engines.Load{}, false
	}
	l := engines.Load{Running: r, Waiting: q}
	if _, pace, ok := strings.Cut(rest, ","); ok {
		// A load without a usable pace is still a load.
		if f, err := strconv.ParseFloat(strings.TrimSpace(pace), 64); err == nil && f > 0 && f <= maxPace {
			l.Pace = f / usualPace
		}
	}
	return l, true
}
