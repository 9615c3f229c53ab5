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
	// minRetryParts is the minimum number of parts into which the extra retries are divided.
	// retryPartsPerEntry is the number of parts for each known entry: one is held before a
	// window, another is earned in it, and each process that is started begins with some.
	minRetryParts      = 32
	retryPartsPerEntry = 4
	// maxMeteredServices is the maximum number of services with their own counters. The
	// others share the counters of otherServices.
	maxMeteredServices = 64
	otherServices      = "other"
)

// serviceLabel returns the label of a service in metrics if so many services have labels of
// their own.
func serviceLabel(service string, metered int) string {
	if metered >= maxMeteredServices {
		return otherServices
	}
	return service
}

// grant is the decision whether another attempt may follow one that ended.
type grant string

const (
	// grantNone means that the request may not go to another engine, whatever the budget.
	grantNone grant = "none"
	// grantFree means that the attempt did not reach the engine, so the next is no retry.
	grantFree grant = "free"
	// grantSpent means that a retry was taken from the budget.
	grantSpent grant = "spent"
	// grantDenied means that the budget was used up.
	grantDenied grant = "denied"
)

func (a grant) allowed() bool { return a == grantFree || a == grantSpent }

// serviceBudget is the retry budget of a service with its counters.
type serviceBudget struct {
	*budget.Budget
	requests, spent, denied, returned *metrics.Counter
	// loggedRetries is the number of retries, granted or denied, when they were last logged.
	loggedRetries uint64
}

// budget returns the retry budget of a service. The caller holds mu.
func (g *Gate) budget(service string) *serviceBudget {
	bounds := g.bounds()
	cfg := budget.Config{
		Ratio: bounds.RetryRatio, Window: bounds.RetryWindow, Lag: upstream.MaxArrivalDelay, StartedAt: g.startedAt,
		Extra: bounds.RetryExtra / float64(max(minRetryParts, retryPartsPerEntry*g.entries.most())),
	}
	if b := g.budgets[service]; b != nil {
		b.Configure(cfg)
		return b
	}
	label := serviceLabel(service, len(g.budgets))
	b := &serviceBudget{
		Budget:   budget.New(cfg),
		requests: metrics.GetOrCreateCounter(fmt.Sprintf("weldfall_repeat_base_total{service=%q}", label)),
		spent:    metrics.GetOrCreateCounter(fmt.Sprintf("weldfall_repeats_spent_total{service=%q}", label)),
		denied:   metrics.GetOrCreateCounter(fmt.Sprintf("weldfall_repeats_denied_total{service=%q}", label)),
		returned: metrics.GetOrCreateCounter(fmt.Sprintf("weldfall_repeats_returned_total{service=%q}", label)),
	}
	g.budgets[service] = b
	return b
}

// countRequest counts a request for the retry budget of its service.
func (g *Gate) countRequest(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budget(c.service)
	b.RecordRequest(g.clk.Now())
	b.requests.Inc()
}

// grantRetry takes a retry from the budget of a service, unless the ended attempt did not
// reach its engine.
func (g *Gate) grantRetry(service string, o attempt.Outcome, now clock.Millis) grant {
	if _, ok := o.(attempt.Unsent); ok {
		return grantFree
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget(service).take(now) {
		return grantDenied
	}
	return grantSpent
}

// take takes a retry and counts it, or returns false if none remains.
func (b *serviceBudget) take(now clock.Millis) bool {
	if !b.Spend(now) {
		b.denied.Inc()
		return false
	}
	b.spent.Inc()
	return true
}

// giveBack returns a retry that was taken at spentAt and not used.
func (b *serviceBudget) giveBack(spentAt, now clock.Millis) {
	b.Refund(spentAt, now)
	b.returned.Inc()
}

// logRetries logs each budget with new retries since it was last logged.
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
