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
	// restartLag is how long after its end a stopped entry serves again: half a
	// second to be started, a tenth to know the settings, and up to a second
	// until the balancer asks.
	restartLag clock.Millis = 1500
	// restartSpread is over how long callers are spread that come back when an
	// entry does, so that it is not met by all of them at once.
	restartSpread clock.Millis = 500
	// servingPerRefusing is the number of entries that serve for each that may refuse
	// what it could still take while the balancer sends it callers. They come
	// back to another, and often only once.
	servingPerRefusing = 10
)

// admit refuses what a stopping process might have to cut off, and, if others
// serve in its place, what would keep it from ending. What is refused has run
// nowhere. What an answer may take follows from the events that it can have,
// not from the longest of the answers seen: by that, stopping processes took
// and cut 2 to 8 answers in 30 s in which all of 26 were stopped three times.
func (g *Gate) admit(_ context.Context, c *call) *verdict.Error {
	g.setExpected(c)
	if g.shutdown.started() {
		if err := g.checkAdmission(c); err != nil {
			return err
		}
	}
	if !g.shutdown.admit(c) {
		return verdict.New(verdict.NotRun, verdict.Leaving, "%w", errGraceOver).WithRetryAfter(g.retryAfterShutdown(c.start))
	}
	return nil
}

// recheckAdmission refuses, before it goes to an engine, a request that has run nowhere
// and begins too late to end in time: its body arrived slowly, or engines before
// refused it or could not be reached. What it may take counts from now on, but
// no longer than it is waited for.
func (g *Gate) recheckAdmission(c *call) *verdict.Error {
	if !g.shutdown.started() || c.mayHaveRun() {
		return nil
	}
	now := g.clk.Now()
	r := g.admissionLimit()
	// What was taken once is done, also where another serves in its place by now.
	r.until = clock.Millis(g.shutdown.endsBy.Load())
	takes := g.shutdown.estimateFor(c)
	need := min(r.needed(takes), c.timeLeft(now))
	if now+need <= r.until {
		return nil
	}
	g.logAdmission(c, takes, false, need, r)
	return g.notAdmitted(now, need, r)
}

// checkAdmission refuses what a stopping process does not take.
func (g *Gate) checkAdmission(c *call) *verdict.Error {
	r := g.admissionLimit()
	takes := g.shutdown.estimateFor(c)
	need := r.needed(takes)
	taken := c.start+need <= r.until
	g.logAdmission(c, takes, taken, need, r)
	if !taken {
		return g.notAdmitted(c.start, need, r)
	}
	return nil
}

// notAdmitted is what the caller of a request is told that is not taken.
func (g *Gate) notAdmitted(now, need clock.Millis, r admissionLimit) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Leaving, "this entry takes what ends within %d ms, the request may take %d",
		max(0, r.until-now), need).WithRetryAfter(g.retryAfterShutdown(now))
}

// setExpected records what is known of the answer before it begins.
func (g *Gate) setExpected(c *call) {
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
	left := c.timeLeft(c.start)
	e.Max, e.Typical = min(e.Max, left), min(e.Typical, left)
	return e
}

// admissionLimit is what a stopping process still takes.
type admissionLimit struct {
	// until is when an answer must have ended.
	until clock.Millis
	// usual is true if that holds for what the answer usually takes, false if it
	// holds for what it takes at the most.
	usual bool
}

// needed is how much of the room an answer takes.
func (r admissionLimit) needed(e duration.Estimate) clock.Millis {
	if r.usual {
		return e.Typical
	}
	return e.Max
}

// admissionLimit returns what a stopping process takes: what ends before it must end
// itself, or, if others serve in its place, before what it is doing anyway
// does, so that it is back sooner for them.
//
// While the balancer still sends it callers, one that is not replaced goes by
// what an answer usually takes. Callers whom it refused would meet others that
// stop as well, where an answer that it takes then is cut with a chance of one
// in 280 (six thousand drawn stops).
func (g *Gate) admissionLimit() admissionLimit {
	by := clock.Millis(g.shutdown.endsBy.Load())
	balancerSends := !g.shutdown.idleClosed.Load()
	if !g.mayRefuse(balancerSends) {
		return admissionLimit{until: by, usual: balancerSends}
	}
	until := g.shutdown.busyUntil()
	if balancerSends {
		until = max(until, clock.Millis(g.shutdown.startedAt.Load())+g.bounds().BalancerLag)
	}
	return admissionLimit{until: min(by, until)}
}

// mayRefuse reports whether others serve in place of this stopping entry. A
// caller who is refused comes back to another by chance, and often only once,
// so of those that are stopping no more refuse than others serve, the first of
// them at least, if another stays longer. Without word of others none does.
// While the balancer still sends callers there are more of them, so one entry
// refuses for each fewStopping that serve.
func (g *Gate) mayRefuse(balancerSends bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.fleet
	mayRefuse := f.Serving
	if balancerSends {
		mayRefuse = f.Serving / servingPerRefusing
	}
	return f.Serving+f.StoppingAfter > 0 && f.StoppingBefore < max(1, mayRefuse)
}

// retryAfterShutdown is when a request may come back that a stopping entry refused:
// at once if half of all entries serve, else when they are expected to. With
// fewer the balancer uses all, so that callers who come back at once meet
// others that are stopping: where four of four were, one in ten of all requests
// was refused twice.
func (g *Gate) retryAfterShutdown(now clock.Millis) clock.Millis {
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
	wait := back + restartLag + clock.Millis(random()*float64(restartSpread)) - now
	// A peer that tells nonsense holds callers no longer than a stop takes.
	return min(max(retryAtOnce, wait), g.bounds().Grace+restartLag)
}

// logAdmission tells what a stopping process does with a request: how long it may
// take, what that rests on, by when it must be done, and when the process ends
// at the latest.
func (g *Gate) logAdmission(c *call, takes duration.Estimate, taken bool, need clock.Millis, r admissionLimit) {
	g.counts.stopping[taken].Inc()
	g.log.Info("stopping", "request", c.id, "route", c.route.Name, "taken", taken, "need_ms", need, "usual", r.usual,
		"basis", takes.Basis, "samples", takes.Samples, "process_age_ms", c.start-g.startedAt,
		"room_ms", max(0, r.until-c.start), "ends_in_ms", clock.Millis(g.shutdown.endsBy.Load())-c.start)
}
