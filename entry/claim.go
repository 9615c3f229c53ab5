package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/callers/chats"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/fleet/once"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/verdict"
)

// claimTimeout is the timeout of the claims to one group of witnesses.
const claimTimeout clock.Millis = 1000

// claim claims the idempotency key of a request at its witnesses, which grant it to only one
// attempt. The witness that ranks first is asked before the others, so that one of two
// simultaneous attempts succeeds.
func (e *Entry) claim(ctx context.Context, c *call) *verdict.Error {
	if c.once == nil || c.once.Key == 0 {
		return nil
	}
	if once.Expired(c.once.CreatedAt, c.once.Window, e.clk.Wall()) {
		return verdict.New(verdict.MayHaveRun, verdict.UnknownHistory, "the key is older than once.window_ms")
	}
	witnesses, replaced, isolated := e.node.Witnesses(c.once.Key, c.once.Window)
	if isolated || len(witnesses) == 0 {
		return claimError(c, once.Unknown{Need: once.Quorum(len(witnesses))}).WithRetryAfter(2000)
	}
	c.witnesses = witnesses
	attempt := max(1, rand.Uint64())
	msg := wire.Claim{Key: c.once.Key, Attempt: attempt, CreatedAt: c.once.CreatedAt, Window: c.once.Window}
	if c.once.CreatedAt > 0 {
		// A witness that was replaced before the key was created cannot have granted it.
		replaced = e.replacedSince(c.once, replaced)
	}
	tally := once.NewTally(len(witnesses), replaced)
	e.sendClaims(ctx, witnesses[:1], msg, tally)
	if _, taken := tally.Outcome().(once.Taken); !taken {
		e.sendClaims(ctx, witnesses[1:], msg, tally)
	}
	out := tally.Outcome()
	metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_claims_total{outcome=%q}`, outcomeName(out))).Inc()
	if _, ok := out.(once.Promised); ok {
		c.claimAttempt = attempt
		return nil
	}
	e.releaseClaims(c, attempt)
	return claimError(c, out)
}

// replacedSince returns the number of replaced witnesses without those that were replaced before
// a key with a timestamp was created.
func (e *Entry) replacedSince(o *wire.Once, replaced int) int {
	age := e.clk.Wall() - o.CreatedAt + once.MaxClockSkew
	_, since, _ := e.node.Witnesses(o.Key, min(o.Window, age))
	return min(replaced, since)
}

func outcomeName(o once.Outcome) string {
	switch o.(type) {
	case once.Promised:
		return "promised"
	case once.Taken:
		return "taken"
	default:
		return "unknown"
	}
}

func claimError(c *call, o once.Outcome) *verdict.Error {
	switch o := o.(type) {
	case once.Taken:
		return verdict.New(verdict.MayHaveRun, verdict.Duplicate, "an earlier attempt holds the %s", chats.HeaderIdempotencyKey)
	case once.Unknown:
		return verdict.New(verdict.MayHaveRun, verdict.UnknownHistory,
			"%d of %d required witnesses granted the %s, %d were replaced within once.window_ms: this attempt has not run, but an earlier one may have",
			o.Granted, o.Need, chats.HeaderIdempotencyKey, o.Changed).WithRetryAfter(1000)
	default:
		return verdict.New(verdict.MayHaveRun, verdict.UnknownHistory, "unexpected outcome of the claim: %T", o)
	}
}

// sendClaims sends a claim to all given witnesses in parallel and adds their grants to tally.
func (e *Entry) sendClaims(ctx context.Context, witnesses []once.Daemon, msg wire.Claim, tally *once.Tally) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout.Duration())
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, w := range witnesses {
		wg.Go(func() {
			conn, err := e.links.Get(w.Addr, link.Control)
			if err != nil {
				return
			}
			var g wire.Grant
			if conn.Call(ctx, wire.MethodClaim, msg, &g) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			tally.AddGrant(g)
		})
	}
	wg.Wait()
}

// releaseClaims withdraws the claims of an attempt that did not run and will not run.
func (e *Entry) releaseClaims(c *call, attempt uint64) {
	for _, w := range c.witnesses {
		go func() {
			if conn, err := e.links.Get(w.Addr, link.Control); err == nil {
				_ = conn.Notify(wire.MethodRelease, wire.Claim{Key: c.once.Key, Attempt: attempt})
			}
		}()
	}
}
