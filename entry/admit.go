package entry

import (
	"context"
	"math"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/verdict"
)

// limiters holds the rate limiters of recently active workspaces.
type limiters struct {
	mu          sync.Mutex
	byWorkspace *simplelru.LRU[string, *rate.Limiter]
}

// maxLimiters limits the number of workspaces with a rate limiter.
const maxLimiters = 16384

func newLimiters() *limiters {
	// NewLRU fails only if the size is not positive.
	lru, _ := simplelru.NewLRU[string, *rate.Limiter](maxLimiters, nil)
	return &limiters{byWorkspace: lru}
}

// allow takes tokens from the rate limiter of a workspace. If there are not enough, it returns
// false and the time until there are.
func (l *limiters) allow(workspace string, perSecond float64, burst, tokens int) (wait clock.Millis, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lim, known := l.byWorkspace.Get(workspace)
	if !known {
		lim = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.byWorkspace.Add(workspace, lim)
	}
	// A change of the limits does not reset the tokens that were taken.
	lim.SetLimit(rate.Limit(perSecond))
	lim.SetBurst(burst)
	tokens = min(tokens, burst)
	available := lim.Tokens()
	if available >= float64(tokens) && lim.AllowN(clock.WallTime(), tokens) {
		return 0, true
	}
	return max(1, clock.Millis(math.Ceil((float64(tokens)-available)/perSecond*1000))), false
}

// admit enforces the rate limit of the workspace.
func (e *Entry) admit(_ context.Context, c *call) *verdict.Error {
	l := c.values.Limits
	if l.TokensPerSecond == 0 {
		return nil
	}
	wait, ok := e.limiters.allow(c.workspacePath(), l.TokensPerSecond, l.BurstTokens, c.chat.Cost(len(c.body)))
	if ok {
		return nil
	}
	return verdict.New(c.rejectVerdict(), verdict.RateLimited, "the workspace exceeds limits.tokens_per_second").WithRetryAfter(wait)
}

// rejectVerdict returns the verdict for a request that is rejected before it is sent. An earlier
// attempt with the same idempotency key may have run, unless the witnesses have granted the key
// to this attempt.
func (c *call) rejectVerdict() verdict.Verdict {
	if c.once != nil && c.once.Key != 0 && c.claimAttempt == 0 {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// retryBudget limits the retries that an entry adds to the load of its callers. Each request
// deposits a fraction of a retry.
type retryBudget struct {
	mu      sync.Mutex
	retries float64
}

// maxSavedRetries is the largest balance of a retryBudget.
const maxSavedRetries = 20

func newRetryBudget() *retryBudget { return &retryBudget{retries: maxSavedRetries} }

func (b *retryBudget) deposit(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries = min(maxSavedRetries, b.retries+ratio)
}

func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}
