package gate

import (
	"context"
	"strconv"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/duration"
	"github.com/weldfall/weldfall/gate/prompt"
	"github.com/weldfall/weldfall/verdict"
)

const (
	// returnLag is how long after its end a stopped entry serves again: half a
	// second to be started, a tenth to know the settings, and up to a second
	// until the balancer asks.
	returnLag clock.Millis = 1500
	// returnSpread is over how long callers are spread that come back when an
	// entry does, so that it is not met by all of them at once.
	returnSpread clock.Millis = 500
	// fewStopping is the number of entries that serve for each that may refuse
	// what it could still take while the balancer sends it callers. They come
	// back to another, and often only once.
	fewStopping = 10
)

// stay refuses what a stopping process might have to cut off, and, if others
// serve in its place, what would keep it from ending. What is refused has run
// nowhere. What an answer may take follows from the events that it can have,
// not from the longest of the answers seen: by that, stopping processes took
// and cut 2 to 8 answers in 30 s in which all of 26 were stopped three times.
func (g *Gate) stay(_ context.Context, c *call) *verdict.Error {
	g.expect(c)
	if g.leave.begun() {
		if err := g.fits(c); err != nil {
			return err
		}
	}
	if !g.leave.take(c) {
		return verdict.New(verdict.NotRun, verdict.Leaving, "%w", errGraceOver).WithRetryAfter(g.retryAfterStop(c.start))
	}
	return nil
}

// stillFits refuses, before it goes to an engine, a request that has run nowhere
// and begins too late to end in time: its body arrived slowly, or engines before
// refused it or could not be reached. What it may take counts from now on, but
// no longer than it is waited for.
func (g *Gate) stillFits(c *call) *verdict.Error {
	if !g.leave.begun() || c.mayHaveRun() {
		return nil
	}
	now := g.clk.Now()
	r := g.room()
	// What was taken once is done, also where another serves in its place by now.
	r.until = clock.Millis(g.leave.by.Load())
	takes := g.leave.takes(c)
	need := min(r.need(takes), c.left(now))
	if now+need <= r.until {
		return nil
	}
	g.logStay(c, takes, false, need, r)
	return g.refusal(now, need, r)
}

// fits refuses what a stopping process does not take.
func (g *Gate) fits(c *call) *verdict.Error {
	r := g.room()
	takes := g.leave.takes(c)
	need := r.need(takes)
	taken := c.start+need <= r.until
	g.logStay(c, takes, taken, need, r)
	if !taken {
		return g.refusal(c.start, need, r)
	}
	return nil
}

// refusal is what the caller of a request is told that is not taken.
func (g *Gate) refusal(now, need clock.Millis, r room) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Leaving, "this entry takes what ends within %d ms, the request may take %d",
		max(0, r.until-now), need).WithRetryAfter(g.retryAfterStop(now))
}

// expect records what is known of the answer before it begins.
func (g *Gate) expect(c *call) {
	req := duration.Request{Route: c.route, Service: c.service}
	if s, ok := c.table.Service(c.service); ok && s.EventTokens > 0 {
		tokens := prompt.MaxResponseTokens(c.r.Header.Get(g.wire.Tokens))
		req.MaxEvents = (tokens + s.EventTokens - 1) / s.EventTokens
		// Events of another size have another pace.
		req.Service += "/" + strconv.Itoa(s.EventTokens)
	}
	c.expected = req
}

// estimate says how long the answer to a request takes, at most until it is
// given up.
func (g *Gate) estimate(c *call) duration.Estimate {
	e := g.durations.Estimate(c.expected)
	left := c.left(c.start)
	e.Max, e.Typical = min(e.Max, left), min(e.Typical, left)
	return e
}

// room is what a stopping process still takes.
type room struct {
	// until is when an answer must have ended.
	until clock.Millis
	// usual is true if that holds for what the answer usually takes, false if it
	// holds for what it takes at the most.
	usual bool
}

// need is how much of the room an answer takes.
func (r room) need(e duration.Estimate) clock.Millis {
	if r.usual {
		return e.Typical
	}
	return e.Max
}

// room returns what a stopping process takes: what ends before it must end
// itself, or, if others serve in its place, before what it is doing anyway
// does, so that it is back sooner for them.
//
// While the balancer still sends it callers, one that is not replaced goes by
// what an answer usually takes. Callers whom it refused would meet others that
// stop as well, where an answer that it takes then is cut with a chance of one
// in 280 (six thousand drawn stops).
func (g *Gate) room() room {
	by := clock.Millis(g.leave.by.Load())
	stillSent := !g.leave.idleClosed.Load()
	if !g.replaced(stillSent) {
		return room{until: by, usual: stillSent}
	}
	until := g.leave.busyUntil()
	if stillSent {
		until = max(until, clock.Millis(g.leave.since.Load())+g.bounds().BalancerLag)
	}
	return room{until: min(by, until)}
}

// replaced reports whether others serve in place of this stopping entry. A
// caller who is refused comes back to another by chance, and often only once,
// so of those that are stopping no more refuse than others serve, the first of
// them at least, if another stays longer. Without word of others none does.
// While the balancer still sends callers there are more of them, so one entry
// refuses for each fewStopping that serve.
func (g *Gate) replaced(stillSent bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.fleet
	mayRefuse := f.Serving
	if stillSent {
		mayRefuse = f.Serving / fewStopping
	}
	return f.Serving+f.StoppingAfter > 0 && f.StoppingBefore < max(1, mayRefuse)
}

// retryAfterStop is when a request may come back that a stopping entry refused:
// at once if half of all entries serve, else when they are expected to. With
// fewer the balancer uses all, so that callers who come back at once meet
// others that are stopping: where four of four were, one in ten of all requests
// was refused twice.
func (g *Gate) retryAfterStop(now clock.Millis) clock.Millis {
	g.mu.Lock()
	f := g.fleet
	g.mu.Unlock()
	back := f.HalfEndedAt
	switch {
	case f.Entries <= 1:
		back = g.Stop().End
	case back == 0:
		return retryAtOnce
	}
	wait := back + returnLag + clock.Millis(random()*float64(returnSpread)) - now
	// A peer that tells nonsense holds callers no longer than a stop takes.
	return min(max(retryAtOnce, wait), g.bounds().Grace+returnLag)
}

// logStay tells what a stopping process does with a request: how long it may
// take, what that rests on, by when it must be done, and when the process ends
// at the latest.
func (g *Gate) logStay(c *call, takes duration.Estimate, taken bool, need clock.Millis, r room) {
	g.counts.stopping[taken].Inc()
	g.log.Info("stopping", "request", c.id, "route", c.route.Name, "taken", taken, "need_ms", need, "usual", r.usual,
		"basis", takes.Basis, "samples", takes.Samples, "process_age_ms", c.start-g.began,
		"room_ms", max(0, r.until-c.start), "ends_in_ms", clock.Millis(g.leave.by.Load())-c.start)
}
