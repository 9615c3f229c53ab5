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

// limiters holds the rate of each workspace that was active lately.
type limiters struct {
	mu          sync.Mutex
	byWorkspace *simplelru.LRU[string, *rate.Limiter]
}

// maxLimiters bounds the workspaces whose rates are remembered.
const maxLimiters = 16384

func newLimiters() *limiters {
	// NewLRU fails only for sizes that are not positive.
	lru, _ := simplelru.NewLRU[string, *rate.Limiter](maxLimiters, nil)
	return &limiters{byWorkspace: lru}
}

// take charges tokens to a workspace, or returns when to come back.
func (l *limiters) take(workspace string, perSecond float64, burst, tokens int) (wait clock.Millis, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lim, known := l.byWorkspace.Get(workspace)
	if !known {
		lim = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.byWorkspace.Add(workspace, lim)
	}
	// Changed limits leave what was taken as it is.
	lim.SetLimit(rate.Limit(perSecond))
	lim.SetBurst(burst)
	tokens = min(tokens, burst)
	have := lim.Tokens()
	if have >= float64(tokens) && lim.AllowN(clock.WallTime(), tokens) {
		return 0, true
	}
	return max(1, clock.Millis(math.Ceil((float64(tokens)-have)/perSecond*1000))), false
}

// admit charges the request to its workspace's rate.
func (e *Entry) admit(_ context.Context, c *call) *verdict.Error {
	l := c.values.Limits
	if l.TokensPerSecond == 0 {
		return nil
	}
	wait, ok := e.limiters.take(c.workspacePath(), l.TokensPerSecond, l.BurstTokens, c.chat.Cost(len(c.body)))
	if ok {
		return nil
	}
	return verdict.New(c.certain(), verdict.RateLimited, "the workspace is over limits.tokens_per_second").WithRetryAfter(wait)
}

// certain is the verdict for a request that is refused before it was sent. A
// key may have been used by an earlier attempt of the same request, so
// nothing is certain until the witnesses have promised it.
func (c *call) certain() verdict.Verdict {
	if c.once != nil && c.once.Key != 0 && c.claimed == 0 {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// retryBudget bounds the retries that an entry adds to its callers' requests:
// each first attempt earns a part of one.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// retryReserve is the most retries that can be saved up.
const retryReserve = 20

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryReserve} }

func (b *retryBudget) earn(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryReserve, b.tokens+ratio)
}

func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
