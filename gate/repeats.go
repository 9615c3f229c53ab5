package gate

import (
	"fmt"
	"maps"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/attempt"
	"github.com/weldfall/weldfall/engines/budget"
	"github.com/weldfall/weldfall/engines/upstream"
)

const (
	// extraShare is the least number of parts into which the extra repeats are
	// divided, extraLives how many parts there are for each entry that is known: a
	// part is held before a window, another earned in it, and each process that is
	// started begins with some.
	extraShare = 32
	extraLives = 4
	// meteredMost bounds the services with counters of their own; the others share
	// those of otherServices.
	meteredMost   = 64
	otherServices = "other"
)

// repeat says whether another attempt follows one that ended.
type repeat string

const (
	// notRepeated requests may not go to another engine.
	notRepeated repeat = "none"
	// repeatFree is one after an attempt of which nothing arrived.
	repeatFree repeat = "free"
	// repeatSpent is taken from the budget, repeatDenied one that the budget refused.
	repeatSpent  repeat = "spent"
	repeatDenied repeat = "denied"
)

func (r repeat) allowed() bool { return r == repeatFree || r == repeatSpent }

// repeats is the budget of the repeats of a service, with its counters.
type repeats struct {
	*budget.Budget
	requests, spent, denied *metrics.Counter
	// told is how many repeats had been asked for when the log was last told.
	told uint64
}

// repeatsOf returns the budget of a service. The caller holds mu.
func (g *Gate) repeatsOf(service string) *repeats {
	bounds := g.bounds()
	cfg := budget.Config{
		Ratio: bounds.RetryRatio, Window: bounds.RetryWindow, Lag: upstream.ArrivalLag, Since: g.began,
		Extra: bounds.RetryExtra / float64(max(extraShare, extraLives*g.mostEntries)),
	}
	if r := g.repeats[service]; r != nil {
		r.Set(cfg)
		return r
	}
	label := service
	if len(g.repeats) >= meteredMost {
		label = otherServices
	}
	r := &repeats{
		Budget:   budget.New(cfg),
		requests: metrics.GetOrCreateCounter(fmt.Sprintf("weldfall_repeat_base_total{service=%q}", label)),
		spent:    metrics.GetOrCreateCounter(fmt.Sprintf("weldfall_repeats_spent_total{service=%q}", label)),
		denied:   metrics.GetOrCreateCounter(fmt.Sprintf("weldfall_repeats_denied_total{service=%q}", label)),
	}
	g.repeats[service] = r
	return r
}

// countRequest lets the budget grow with each request.
func (g *Gate) countRequest(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.repeatsOf(c.service)
	r.Request(g.clk.Now())
	r.requests.Inc()
}

// repeat takes another attempt from the budget of a service, if the one that ended may
// have arrived.
func (g *Gate) repeat(service string, o attempt.Outcome, now clock.Millis) repeat {
	if _, ok := o.(attempt.Unsent); ok {
		return repeatFree
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.repeatsOf(service)
	if !r.Spend(now) {
		r.denied.Inc()
		return repeatDenied
	}
	r.spent.Inc()
	return repeatSpent
}

// logRepeats tells of each budget that was asked for repeats since it was last told of.
func (g *Gate) logRepeats() {
	now := g.clk.Now()
	b := g.bounds()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(g.repeats)) {
		r := g.repeats[service]
		u := r.Usage(now)
		if r.told == u.Spent+u.Denied {
			continue
		}
		r.told = u.Spent + u.Denied
		g.log.Info("repeats", "service", service, "requests", u.Requests, "spent", u.Spent, "denied", u.Denied,
			"least_left", tenths(u.Least), "ratio", b.RetryRatio, "extra", b.RetryExtra, "window_ms", b.RetryWindow)
	}
}
