package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/fleet/once"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/route"
	"github.com/weldfall/weldfall/settings"
	"github.com/weldfall/weldfall/verdict"
)

// Headers that callers may send and get.
const (
	HeaderChat       = "Weldfall-Chat"
	HeaderRepeatable = "Weldfall-Repeatable"
	HeaderKey        = "Idempotency-Key"
	HeaderRequest    = "X-Request-Id"
	HeaderVerdict    = "Weldfall-Verdict"
	HeaderHint       = "Weldfall-Hint"
)

// chatService is the service name of chats in the settings tree.
const chatService = "chat"

// defaultAnswer is the estimate of an answer that the request does not limit,
// in tokens.
const defaultAnswer = 256

// bytesPerToken is the estimate for prompts.
const bytesPerToken = 4

// chatBody is what the way of a chat turn depends on.
type chatBody struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
	CacheKey            string `json:"prompt_cache_key"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// identify finds the workspace by the bearer key; a wrong key goes no further.
func (e *Entry) identify(ctx context.Context, c *call) *verdict.Error {
	key, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return verdict.New(verdict.NotRun, verdict.Unauthorized, "no bearer key: send Authorization: Bearer KEY")
	}
	path, err := e.node.Authenticate(ctx, strings.TrimSpace(key))
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.Unauthorized, "%w", err)
	}
	c.partner, c.workspace, _ = strings.Cut(path, "/")
	c.path = path + "/" + c.service
	if settings.CheckPath(c.path) != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "service %q: not a valid name", c.service)
	}
	return nil
}

// resolve takes the settings in force.
func (e *Entry) resolve(_ context.Context, c *call) *verdict.Error {
	c.values = e.node.Effective(c.path)
	return nil
}

// read takes the body, within the workspace's bound.
func (e *Entry) read(_ context.Context, c *call) *verdict.Error {
	limit := int64(c.values.Limits.BodyBytes)
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(clock.Deadline(bodyTimeout))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return verdict.New(verdict.NotRun, verdict.TooLarge, "the body exceeds limits.body_bytes, %d", limit)
		}
		return verdict.New(verdict.NotRun, verdict.BadRequest, "the body did not arrive whole: %w", err)
	}
	c.body = body
	if !c.isChat() {
		return nil
	}
	if err := json.Unmarshal(body, &c.chat); err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "the body is no chat request: %w", err)
	}
	if len(c.chat.Messages) == 0 {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "messages: at least one is needed")
	}
	return nil
}

// classify finds the pool and the chat, and whether the request may run again.
func (e *Entry) classify(_ context.Context, c *call) *verdict.Error {
	c.pool = c.values.Routing.Pool
	if c.isChat() {
		c.pool = c.values.Models[c.chat.Model]
		if c.pool == "" {
			return verdict.New(verdict.NotRun, verdict.UnknownModel, "model %q: not known here; GET /v1/models lists those that are", c.chat.Model)
		}
		c.chatKey, c.returning = chatOf(c)
		c.hint, c.hintIsOwn = e.hintOf(c)
	}
	if c.pool == "" {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "service %q: no routing.pool in the settings of %s", c.service, c.path)
	}
	return classifyOnce(c, e)
}

func classifyOnce(c *call, e *Entry) *verdict.Error {
	key := c.r.Header.Get(HeaderKey)
	repeatable := c.values.Once.Repeatable && key == ""
	if mark := c.r.Header.Get(HeaderRepeatable); mark != "" {
		marked, err := strconv.ParseBool(mark)
		if err != nil {
			return verdict.New(verdict.NotRun, verdict.BadRequest, "%s: write true or false", HeaderRepeatable)
		}
		repeatable = marked
	}
	if repeatable {
		return nil
	}
	c.once = &wire.Once{Window: c.values.Once.Window()}
	if key == "" {
		return nil
	}
	c.once.Key, c.once.Born = once.KeyHash(c.workspacePath(), key), once.Born(key)
	switch {
	case c.once.Born == 0 && c.values.Once.TimedKeysOnly:
		return verdict.New(verdict.NotRun, verdict.BadRequest, "%s: the settings ask for a UUID of version 7", HeaderKey)
	case c.once.Born > e.clk.Wall()+once.Skew:
		return verdict.New(verdict.NotRun, verdict.BadRequest, "%s: the time in the key is in the future", HeaderKey)
	}
	return nil
}

// chatOf identifies the chat: by the explicit header, else by the protocol's
// own field, else by what stays the same in all turns, the messages up to the
// first of the user.
func chatOf(c *call) (key uint64, returning bool) {
	var opening xxh3.Hasher
	opened := false
	for _, m := range c.chat.Messages {
		if m.Role == "assistant" {
			returning = true
		}
		if !opened {
			_, _ = opening.WriteString(m.Role)
			_, _ = opening.Write(m.Content)
			opened = m.Role == "user"
		}
	}
	name := c.r.Header.Get(HeaderChat)
	if name == "" {
		name = c.chat.CacheKey
	}
	if name == "" {
		name = strconv.FormatUint(opening.Sum64(), 16)
	}
	return route.ChatKey(c.workspacePath(), name), returning
}

// hintOf returns the engine that last served the chat: as this entry
// remembers, else as the caller echoes it. A forged or stale hint costs one
// refused offer at most.
func (e *Entry) hintOf(c *call) (hint string, own bool) {
	e.mu.Lock()
	hint, own = e.hints.Get(c.chatKey)
	e.mu.Unlock()
	if own {
		return hint, true
	}
	return c.r.Header.Get(HeaderHint), false
}

// promptTokens and cost estimate the request in tokens.
func (c *call) promptTokens() int { return 1 + len(c.body)/bytesPerToken }

func (c *call) cost() int {
	answer := max(c.chat.MaxTokens, c.chat.MaxCompletionTokens)
	if answer == 0 {
		answer = defaultAnswer
	}
	return c.promptTokens() + answer
}
