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
	// minRetryParts is the least number of parts into which the extra repeats are
	// divided, extraLives how many parts there are for each entry that is known: a
	// part is held before a window, another earned in it, and each process that is
	// started begins with some.
	minRetryParts      = 32
	retryPartsPerEntry = 4
	// maxMeteredServices bounds the services with counters of their own; the others share
	// those of otherServices.
	maxMeteredServices = 64
	otherServices      = "other"
)

// grant says whether another attempt may follow one that ended, and why.
type grant string

const (
	// grantNone: the request may not go to another engine, whatever the budget.
	grantNone grant = "none"
	// grantFree: nothing of the attempt arrived, so the next is no repeat.
	grantFree grant = "free"
	// grantSpent: a repeat was taken from the budget.
	grantSpent grant = "spent"
	// grantDenied: the budget had none left.
	grantDenied grant = "denied"
)

func (a grant) allowed() bool { return a == grantFree || a == grantSpent }

// serviceBudget is the budget of the repeats of a service, with its counters.
type serviceBudget struct {
	*budget.Budget
	requests, spent, denied *metrics.Counter
	// loggedRetries is how many repeats had been asked for when the log was last loggedRetries.
	loggedRetries uint64
}

// budget returns the budget of a service. The caller holds mu.
func (g *Gate) budget(service string) *serviceBudget {
	bounds := g.bounds()
	cfg := budget.Config{
		Ratio: bounds.RetryRatio, Window: bounds.RetryWindow, Lag: upstream.ArrivalLag, StartedAt: g.startedAt,
		Extra: bounds.RetryExtra / float64(max(minRetryParts, retryPartsPerEntry*g.maxEntries)),
	}
	if b := g.budgets[service]; b != nil {
		b.Configure(cfg)
		return b
	}
	label := service
	if len(g.budgets) >= maxMeteredServices {
		label = otherServices
	}
	b := &serviceBudget{
		Budget:   budget.New(cfg),
		requests: metrics.GetOrCreateCounter(fmt.Sprintf("weldfall_repeat_base_total{service=%q}", label)),
		spent:    metrics.GetOrCreateCounter(fmt.Sprintf("weldfall_repeats_spent_total{service=%q}", label)),
		denied:   metrics.GetOrCreateCounter(fmt.Sprintf("weldfall_repeats_denied_total{service=%q}", label)),
	}
	g.budgets[service] = b
	return b
}

// countRequest lets the budget grow with each request.
func (g *Gate) countRequest(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budget(c.service)
	b.RecordRequest(g.clk.Now())
	b.requests.Inc()
}

// grantRetry takes a repeat from the budget of a service, unless nothing of the attempt
// that ended arrived.
func (g *Gate) grantRetry(service string, o attempt.Outcome, now clock.Millis) grant {
	if _, ok := o.(attempt.Unsent); ok {
		return grantFree
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budget(service)
	if !b.Spend(now) {
		b.denied.Inc()
		return grantDenied
	}
	b.spent.Inc()
	return grantSpent
}

// logRetries tells of each budget that was asked for repeats since it was last told of.
func (g *Gate) logRetries() {
	now := g.clk.Now()
	bounds := g.bounds()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(g.budgets)) {
		b := g.budgets[service]
		u := b.Usage(now)
		if b.loggedRetries == u.Spent+u.Denied {
			continue
		}
		b.loggedRetries = u.Spent + u.Denied
		g.log.Info("repeats", "service", service, "requests", u.Requests, "spent", u.Spent, "denied", u.Denied,
			"least_left", tenths(u.MinRemaining), "ratio", bounds.RetryRatio, "extra", bounds.RetryExtra, "window_ms", bounds.RetryWindow)
	}
}
