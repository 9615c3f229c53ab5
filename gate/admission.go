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
	// restartLag is how long after its end a stopped entry serves again: half a second to
	// start, a tenth of a second to load the settings, and up to a second until the load
	// balancer checks it.
	restartLag clock.Millis = 1500
	// restartSpread is the interval over which retries of callers are spread once an entry is
	// back, so that they do not all arrive at once.
	restartSpread clock.Millis = 500
	// servingPerRejecting is the number of serving entries for each stopping entry that may
	// reject requests it could still finish while the load balancer sends it callers. Those
	// callers retry at another entry, and often only once.
	servingPerRejecting = 10
)

// admit rejects requests that a stopping process might have to abort and, if other entries
// serve in its place, requests that would keep it from ending. A rejected request has not
// run anywhere. The maximum duration of a response follows from the number of events that
// it can have. The longest response seen is too low a limit: stopping processes admitted
// requests by it that they had to abort.
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

// recheckAdmission rejects a request that has not run anywhere and can no longer end in
// time, before it is sent to an engine: its body arrived slowly, or the engines tried
// before rejected it or were unreachable. The estimated duration counts from now and ends
// at the deadline of the request at the latest.
func (g *Gate) recheckAdmission(c *call) *verdict.Error {
	if !g.shutdown.started() || c.mayHaveRun() {
		return nil
	}
	now := g.clk.Now()
	r := g.admissionLimit()
	// A request that was admitted is finished, also if others serve in place of this entry
	// by now.
	r.until = r.endsBy
	estimate := g.shutdown.estimateFor(c).Cap(c.timeLeft(now))
	need, room := r.check(estimate, now)
	if need <= room {
		return nil
	}
	g.logAdmission(c, estimate, false, need, room, r)
	return g.notAdmitted(now, need, room)
}

// checkAdmission rejects requests that a stopping process does not admit.
func (g *Gate) checkAdmission(c *call) *verdict.Error {
	r := g.admissionLimit()
	estimate := g.shutdown.estimateFor(c)
	need, room := r.check(estimate, c.start)
	admitted := need <= room
	g.logAdmission(c, estimate, admitted, need, room, r)
	if !admitted {
		return g.notAdmitted(c.start, need, room)
	}
	return nil
}

// notAdmitted returns the error for a request that a stopping process does not admit.
func (g *Gate) notAdmitted(now, need, room clock.Millis) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Leaving, "this entry is stopping and admits requests that end within %d ms, this one may take %d ms",
		max(0, room), need).WithRetryAfter(g.retryAfterShutdown(now))
}

// setExpected records what is known about the response before it begins.
func (g *Gate) setExpected(c *call) {
	req := duration.Request{Route: c.route, Service: c.service, Silence: g.bounds().EngineSilence, Now: c.start}
	if s, ok := c.table.Service(c.service); ok && s.EventTokens > 0 {
		tokens := prompt.MaxResponseTokens(c.r.Header.Get(g.wire.Tokens))
		req.MaxEvents = (tokens + s.EventTokens - 1) / s.EventTokens
		// The pace of events depends on their size.
		req.Service += "/" + strconv.Itoa(s.EventTokens)
	}
	c.expected = req
	c.progress = g.durations.Begin(req, c.start)
}

// estimate returns the estimated duration of the response to a request, capped at its
// deadline.
func (g *Gate) estimate(c *call) duration.Estimate {
	return g.durations.Estimate(c.expected).Cap(c.timeLeft(c.start))
}

// admissionLimit limits what a stopping process admits.
type admissionLimit struct {
	// endsBy is when the process ends at the latest. A response must have ended by then, also
	// if its engine is silent meanwhile.
	endsBy clock.Millis
	// until is when a response must have ended whose engine is not silent. It is at most
	// endsBy.
	until clock.Millis
	// typical is true if the typical duration of the response counts, false if the maximum
	// does.
	typical bool
}

// check returns the duration of a response that counts for the limit, and the time that it
// has from now on. The response is admitted if its duration is not longer.
func (r admissionLimit) check(e duration.Estimate, now clock.Millis) (need, room clock.Millis) {
	if r.typical {
		return e.Typical, r.until - now
	}
	if need, room = e.MaxIfNotSilent(), r.until-now; need > room {
		return need, room
	}
	return e.Max, r.endsBy - now
}

// admissionLimit returns what a stopping process admits: requests that end before the
// process must end or, if other entries serve in its place, before the requests already in
// flight end, so that it is back sooner.
//
// While the load balancer still sends it callers, an entry that is not replaced goes by the
// typical duration. Callers that it rejected would reach other stopping entries. A response
// that is admitted by its typical duration is aborted with a probability of one in 280.
func (g *Gate) admissionLimit() admissionLimit {
	endsBy := clock.Millis(g.shutdown.endsBy.Load())
	balancerSends := !g.shutdown.idleClosed.Load()
	if !g.mayReject(balancerSends) {
		return admissionLimit{endsBy: endsBy, until: endsBy, typical: balancerSends}
	}
	until := g.shutdown.busyUntil()
	if balancerSends {
		until = max(until, clock.Millis(g.shutdown.startedAt.Load())+g.bounds().BalancerLag)
	}
	return admissionLimit{endsBy: endsBy, until: min(endsBy, until)}
}

// mayReject reports whether this stopping entry may reject requests because other entries
// serve in its place. A rejected caller retries at a random entry, and often only once. So
// the number of stopping entries that reject is at most the number that serve; the first to
// stop may always reject if another one stays longer. Without reports of other entries,
// none rejects. While the load balancer still sends callers there are more of them, so one
// entry rejects for each servingPerRejecting that serve.
func (g *Gate) mayReject(balancerSends bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.fleet
	maxRejecting := f.Serving
	if balancerSends {
		maxRejecting = f.Serving / servingPerRejecting
	}
	return f.Serving+f.StoppingAfter > 0 && f.StoppingBefore < max(1, maxRejecting)
}

// retryAfterShutdown returns when a request that a stopping entry rejected may be retried:
// at once if half of all entries serve, else when half are expected to. With fewer the load
// balancer uses all entries, so that an immediate retry reaches another stopping one: when
// four of four entries were stopping, one in ten of all requests was rejected twice.
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
	// An invalid report of a peer delays callers no longer than a shutdown takes.
	return min(max(retryAtOnce, wait), g.bounds().Grace+restartLag)
}

// logAdmission logs what a stopping process does with a request: its estimated duration and
// the basis of the estimate, when it must have ended, and when the process ends at the
// latest.
func (g *Gate) logAdmission(c *call, estimate duration.Estimate, admitted bool, need, room clock.Millis, r admissionLimit) {
	g.counts.stopping[admitted].Inc()
	g.log.Info("stopping", "request", c.id, "route", c.route.Name, "taken", admitted, "need_ms", need, "silence_ms", estimate.Silence, "usual", r.typical,
		"basis", estimate.Basis, "samples", estimate.Samples, "process_age_ms", c.start-g.startedAt,
		"room_ms", max(0, room), "ends_in_ms", clock.Millis(g.shutdown.endsBy.Load())-c.start)
}
