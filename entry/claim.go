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

// claimTimeout bounds the question to one witness.
const claimTimeout clock.Millis = 1000

// claim gets the promise of the key's witnesses that no other attempt runs.
// The first ranked is asked before the rest, so that of two attempts at the
// same time one wins.
func (e *Entry) claim(ctx context.Context, c *call) *verdict.Error {
	if c.once == nil || c.once.Key == 0 {
		return nil
	}
	if once.Expired(c.once.CreatedAt, c.once.Window, e.clk.Wall()) {
		return verdict.New(verdict.MayHaveRun, verdict.UnknownHistory, "the key is older than once.window_ms")
	}
	witnesses, gone, cutOff := e.node.Witnesses(c.once.Key, c.once.Window)
	if cutOff || len(witnesses) == 0 {
		return claimError(c, once.Unknown{Need: once.Quorum(len(witnesses))}).WithRetryAfter(2000)
	}
	c.witnesses = witnesses
	attempt := max(1, rand.Uint64())
	msg := wire.Claim{Key: c.once.Key, Attempt: attempt, CreatedAt: c.once.CreatedAt, Window: c.once.Window}
	if c.once.CreatedAt > 0 {
		// A key that was born after they left cannot have been theirs.
		gone = e.goneSince(c.once, gone)
	}
	tally := once.NewTally(len(witnesses), gone)
	e.ask(ctx, witnesses[:1], msg, tally)
	if _, taken := tally.Outcome().(once.Taken); !taken {
		e.ask(ctx, witnesses[1:], msg, tally)
	}
	out := tally.Outcome()
	metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_claims_total{outcome=%q}`, outcomeName(out))).Inc()
	if _, ok := out.(once.Promised); ok {
		c.claimed = attempt
		return nil
	}
	e.release(c, attempt)
	return claimError(c, out)
}

// goneSince leaves out replacements from before a timed key was born.
func (e *Entry) goneSince(o *wire.Once, gone int) int {
	age := e.clk.Wall() - o.CreatedAt + once.MaxClockSkew
	_, since, _ := e.node.Witnesses(o.Key, min(o.Window, age))
	return min(gone, since)
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
		return verdict.New(verdict.MayHaveRun, verdict.Duplicate, "an earlier attempt has the %s", chats.HeaderIdempotencyKey)
	case once.Unknown:
		return verdict.New(verdict.MayHaveRun, verdict.UnknownHistory,
			"%d of %d needed witnesses promised the %s, %d were replaced within once.window_ms: this attempt has not run, an earlier one may have",
			o.Granted, o.Need, chats.HeaderIdempotencyKey, o.Changed).WithRetryAfter(1000)
	default:
		return verdict.New(verdict.MayHaveRun, verdict.UnknownHistory, "the claim ended as %T", o)
	}
}

// ask puts the question to witnesses side by side and counts the answers.
func (e *Entry) ask(ctx context.Context, witnesses []once.Daemon, msg wire.Claim, tally *once.Tally) {
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

// release takes the claims of an attempt back that has not run and will not.
func (e *Entry) release(c *call, attempt uint64) {
	for _, w := range c.witnesses {
		go func() {
			if conn, err := e.links.Get(w.Addr, link.Control); err == nil {
				_ = conn.Notify(wire.MethodRelease, wire.Claim{Key: c.once.Key, Attempt: attempt})
			}
		}()
	}
}
