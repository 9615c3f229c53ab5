package entry

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/weldfall/weldfall/callers/bodies"
	"github.com/weldfall/weldfall/callers/chats"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/whole"
	"github.com/weldfall/weldfall/fleet"
	"github.com/weldfall/weldfall/fleet/once"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/settings"
	"github.com/weldfall/weldfall/verdict"
)

// retryBranch is sent in Retry-After if the workspace of a key is not known yet. Another entry
// may know it, and this one asks its peers once a second.
const retryBranch clock.Millis = 1000

// retryMemory is sent in Retry-After if the memory for bodies is used up. Other entries may have
// some.
const retryMemory clock.Millis = 1000

// Copies of a body in other forms: offeredForms while the request is encoded and offered to
// engines, and answeredForms once its response has begun.
const (
	offeredForms  = 4
	answeredForms = 2
)

// identify finds the workspace that the bearer key belongs to. It fails if there is none.
func (e *Entry) identify(ctx context.Context, c *call) *verdict.Error {
	key, failure := chats.BearerKey(c.r.Header)
	if failure != nil {
		return failure
	}
	path, err := e.node.Authenticate(ctx, key)
	if errors.Is(err, fleet.ErrBranchUnknown) {
		return verdict.New(verdict.NotRun, verdict.NotReady, "%w", err).WithRetryAfter(retryBranch)
	}
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.Unauthorized, "%w", err)
	}
	c.partner, c.workspace, _ = strings.Cut(path, "/")
	c.path = path + "/" + c.service
	if settings.CheckPath(c.path) != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "service %q: invalid service name", c.service)
	}
	return nil
}

// resolve looks up the effective settings.
func (e *Entry) resolve(_ context.Context, c *call) *verdict.Error {
	c.values = e.node.Effective(c.path)
	return nil
}

// read reads the body within the limits on its size and time and on the memory of all bodies. The
// connection of one over these limits is closed, since the rest of the body may still come.
func (e *Entry) read(_ context.Context, c *call) *verdict.Error {
	limit := int64(c.values.Limits.BodyBytes)
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(clock.Deadline(bodyTimeout))
	body, err := c.received.Read(c.r.Body, c.r.ContentLength, limit)
	switch {
	case errors.Is(err, whole.ErrTooLarge):
		c.w.Header().Set("Connection", "close")
		return verdict.New(verdict.NotRun, verdict.TooLarge, "the body exceeds limits.body_bytes, %d", limit)
	case errors.Is(err, bodies.ErrNoRoom):
		c.w.Header().Set("Connection", "close")
		return verdict.New(unhandledVerdict(c.r), verdict.NoMemory, "%w", err).WithRetryAfter(retryMemory)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.w.Header().Set("Connection", "close")
		return verdict.New(unhandledVerdict(c.r), verdict.Deadline, "the body did not arrive in time: %w", err).WithRetryAfter(retryMemory)
	case err != nil:
		return verdict.New(verdict.NotRun, verdict.BadRequest, "the body is incomplete: %w", err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	if err := c.received.Reserve(offeredForms * int64(len(body))); err != nil {
		return verdict.New(unhandledVerdict(c.r), verdict.NoMemory, "%w", err).WithRetryAfter(retryMemory)
	}
	c.body = body
	if !c.isChat() {
		return nil
	}
	turn, failure := chats.Parse(body)
	c.chat = turn
	return failure
}

// classify determines the pool and the chat, and whether the request may run more than once.
func (e *Entry) classify(_ context.Context, c *call) *verdict.Error {
	c.pool = c.values.Routing.Pool
	if c.isChat() {
		c.pool = c.values.Models[c.chat.Model()]
		if c.pool == "" {
			return verdict.New(verdict.NotRun, verdict.UnknownModel, "unknown model %q: GET /v1/models lists the available models", c.chat.Model())
		}
		c.chatKey, c.returning = c.chat.ChatKey(c.workspacePath(), c.r.Header)
		c.named = c.chat.Named(c.r.Header)
		c.hint, c.hintLocal = e.engineHint(c)
	}
	if c.pool == "" {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "service %q: routing.pool is not set for %s", c.service, c.path)
	}
	return classifyOnce(c, e)
}

func classifyOnce(c *call, e *Entry) *verdict.Error {
	repeatable, failure := chats.Repeatable(c.r.Header, c.values.Once.Repeatable)
	if failure != nil {
		return failure
	}
	if repeatable {
		return nil
	}
	c.once = &wire.Once{Window: c.values.Once.Window()}
	key := c.r.Header.Get(chats.HeaderIdempotencyKey)
	if key == "" {
		return nil
	}
	c.once.Key, c.once.CreatedAt = once.KeyHash(c.workspacePath(), key), once.KeyTime(key)
	switch {
	case c.once.CreatedAt == 0 && c.values.Once.TimedKeysOnly:
		return verdict.New(verdict.NotRun, verdict.BadRequest, "%s: the settings require a version 7 UUID", chats.HeaderIdempotencyKey)
	case c.once.CreatedAt > e.clk.Wall()+once.MaxClockSkew:
		return verdict.New(verdict.NotRun, verdict.BadRequest, "%s: the timestamp in the key is in the future", chats.HeaderIdempotencyKey)
	}
	return nil
}

// engineHint returns the engine that last served the chat, from this entry's own record if there
// is one, else from the caller's header. local tells which. A forged or outdated hint costs at
// most one refused offer.
func (e *Entry) engineHint(c *call) (hint string, local bool) {
	e.mu.Lock()
	hint, local = e.hints.Get(c.chatKey)
	e.mu.Unlock()
	if local {
		return hint, true
	}
	return c.r.Header.Get(chats.HeaderHint), false
}
