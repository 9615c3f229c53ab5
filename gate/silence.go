package gate

import (
	"context"
	"errors"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/table"
)

// silence decides what follows when the engine of an attempt has sent nothing for a while. It
// may go on, so the request leaves it only for an engine that was secured before.
type silence struct {
	g    *Gate
	c    *call
	with engines.Info
	// responded is true once the header of the response has arrived.
	responded bool
	// since is the latest time at which the stream went on or its silence was decided on.
	since clock.Millis
	// arrivedBefore is true if the request stayed because data had arrived, and that was
	// neither a whole header nor a whole event with content since.
	arrivedBefore bool
}

// recordProgress records that the header, or an event with content, has arrived.
func (s *silence) recordProgress() { s.since, s.arrivedBefore = s.g.clk.Now(), false }

// streamTimeout returns how long the engine of a stream may take for the next bytes. Bytes that
// are no event do not extend it.
func (s *silence) streamTimeout(left clock.Millis) clock.Millis {
	r := s.c.route
	if !r.Retryable() || s.c.ran >= r.Attempts {
		return left
	}
	return min(left, max(0, s.since+streamSilence(r)-s.g.clk.Now()))
}

// secured is an engine that was chosen for the next attempt of a request, which counts as
// running there.
type secured struct {
	pick
	// spentAt is when the retry was taken from the budget.
	spentAt clock.Millis
}

// minSilencePeriod is the shortest time after which another engine is looked for again.
const minSilencePeriod clock.Millis = 250

// silenceOutcome is what follows a silence.
type silenceOutcome string

const (
	// silenceMoves means that another engine was secured.
	silenceMoves silenceOutcome = "moves"
	// silenceWaits means that the request goes on waiting at its engine.
	silenceWaits silenceOutcome = "waits"
	// silenceEnds means that the time of the request is over.
	silenceEnds silenceOutcome = "ends"
)

// silenceCause is the reason for a silenceOutcome.
type silenceCause string

const (
	causeSecured      silenceCause = "secured"
	causeDeadline     silenceCause = "deadline"
	causeNotRepeated  silenceCause = "not_repeated"
	causeSuspect      silenceCause = "suspect"
	causeNotReady     silenceCause = "not_ready"
	causeBudget       silenceCause = "budget"
	causeNoEngine     silenceCause = "no_engine"
	causeNoConnection silenceCause = "no_connection"
	causeArrived      silenceCause = "arrived"
)

// onSilence returns how much longer the attempt waits, zero if it ends: either another engine
// is secured, or the time is over.
func (s *silence) onSilence(ctx context.Context, arrived func() bool) clock.Millis {
	c := s.c
	sent := max(c.sentAt, c.reply.LastAt())
	outcome, cause := silenceEnds, causeDeadline
	left := c.timeLeft(s.g.clk.Now())
	if s.arrivedBefore {
		// What arrives is no response.
		arrived = func() bool { return false }
	}
	if left > 0 {
		outcome = silenceWaits
		if cause = s.secure(ctx, arrived); cause == causeSecured {
			outcome = silenceMoves
		}
	}
	now := s.g.clk.Now()
	s.since = now
	s.arrivedBefore = s.arrivedBefore || cause == causeArrived && (!s.responded || c.route.Kind == table.Stream)
	left = c.timeLeft(now)
	metrics.GetOrCreateCounter(`weldfall_engine_silences_total{outcome="` + string(outcome) + `",cause="` + string(cause) + `"}`).Inc()
	s.g.log.Info("engine_silent", "request", c.id, "service", c.service, "engine", s.with.ID, "silent_ms", now-sent, "responded", s.responded,
		"events", c.events, "outcome", outcome, "cause", cause, "left_ms", left)
	if outcome != silenceWaits {
		return 0
	}
	return max(1, min(left, max(minSilencePeriod, s.period())))
}

// period returns the silence after which another engine is looked for.
func (s *silence) period() clock.Millis {
	r := s.c.route
	if s.responded && r.Kind == table.Stream {
		return streamSilence(r)
	}
	return responseTimeoutGoals * r.GoalOrDefault()
}

// secure chooses another engine, connects to it and takes a retry from the budget, or returns
// why the request stays.
func (s *silence) secure(ctx context.Context, arrived func() bool) silenceCause {
	g, c := s.g, s.c
	ran := c.ran
	if !s.responded {
		ran++
	}
	if !g.mayContinue(c, ran) || c.timeLeft(g.clk.Now()) <= minTimeLeft {
		return causeNotRepeated
	}
	// A trial has to show how it ends, and a suspect is sent in trials only.
	if c.isolated || s.suspected() {
		return causeSuspect
	}
	for range maxUnsent {
		if cause := s.choose(arrived); cause != causeSecured {
			return cause
		}
		err := g.pool.Reserve(ctx, c.next.Addr)
		if err == nil && !arrived() {
			return causeSecured
		}
		n := c.next.Incarnation()
		g.releaseNext(c)
		if err == nil {
			return causeArrived
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return causeNoConnection
		}
		g.markLost(n)
	}
	return causeNoConnection
}

// suspected reports whether the request may only be sent as a trial. It keeps the request from
// engines that became unresponsive while they ran it.
func (s *silence) suspected() bool {
	s.c.guardMu.Lock()
	defer s.c.guardMu.Unlock()
	s.g.skipUnresponsive(s.c)
	return s.g.guard.Suspected(s.c.suspect(), s.g.contact())
}

// choose chooses another engine and takes a retry for it, unless data arrived from the present
// one.
func (s *silence) choose(arrived func() bool) silenceCause {
	g, c := s.g, s.c
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budget(c.service)
	switch {
	case arrived():
		return causeArrived
	case !g.knowsEvacuations(now):
		return causeNotReady
	case !g.registry.HasUntried(c.service, c.requiredVersion(), c.tried, now):
		return causeNoEngine
	case b.Remaining(now) < 1 && !b.take(now):
		return causeBudget
	}
	p, ok := g.chooseUntried(c, false, true, now)
	if !ok {
		return causeNoEngine
	}
	b.take(now)
	c.next = &secured{pick: p, spentAt: now}
	return causeSecured
}

// releaseNext gives back the engine that was secured for the next attempt, and its retry, if
// the attempt was not made.
func (g *Gate) releaseNext(c *call) {
	next := c.next
	if next == nil {
		return
	}
	c.next = nil
	g.finish(next.Incarnation(), engines.Neutral)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(c.service).giveBack(next.spentAt, g.clk.Now())
}
