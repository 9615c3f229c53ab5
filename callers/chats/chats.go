// Package chats is weldfall's own interface of callers: the usual chat protocol and
// calls of plain services, by the names of their headers, their bodies, and how
// failures are told. Nothing is decided here.
package chats

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/route"
	"github.com/weldfall/weldfall/verdict"
)

// Headers that callers may send and get.
const (
	HeaderChat           = "Weldfall-Chat"
	HeaderRepeatable     = "Weldfall-Repeatable"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
	HeaderVerdict        = "Weldfall-Verdict"
	HeaderHint           = "Weldfall-Hint"
)

const (
	// Service is the service name of chats in the settings tree.
	Service = "chat"
	// Path is where chats come in, and go on to engines.
	Path = "/v1/chat/completions"
	// DoneEvent ends a stream that is whole; a client that misses it knows that
	// the answer was cut.
	DoneEvent = "data: [DONE]\n\n"
)

const (
	// defaultAnswer is the estimate of an answer that the request does not limit,
	// in tokens.
	defaultAnswer = 256
	// bytesPerToken is the estimate for prompts.
	bytesPerToken = 4
)

// Turn is a request of a chat. The zero value is one of a plain service.
type Turn struct {
	body body
}

// body is what the way of a chat turn depends on.
type body struct {
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

// Parse reads the body of a chat turn.
func Parse(text []byte) (Turn, *verdict.Error) {
	var t Turn
	if err := json.Unmarshal(text, &t.body); err != nil {
		return Turn{}, verdict.New(verdict.NotRun, verdict.BadRequest, "the body is no chat request: %w", err)
	}
	if len(t.body.Messages) == 0 {
		return Turn{}, verdict.New(verdict.NotRun, verdict.BadRequest, "messages: at least one is needed")
	}
	return t, nil
}

// Model returns the model that is asked.
func (t Turn) Model() string { return t.body.Model }

// WantsStream reports whether the answer is to come as a stream, and WantUsage whether the
// usage is to come in it.
func (t Turn) WantsStream() bool { return t.body.Stream }
func (t Turn) WantsUsage() bool  { return t.body.StreamOptions.IncludeUsage }

// Cost estimates a request with a body of so many bytes, in tokens.
func (t Turn) Cost(bodyBytes int) int {
	answer := max(t.body.MaxTokens, t.body.MaxCompletionTokens)
	if answer == 0 {
		answer = defaultAnswer
	}
	return 1 + bodyBytes/bytesPerToken + answer
}

// ChatKey identifies the chat of a workspace: by the explicit header, else by the
// protocol's own field, else by what stays the same in all turns, the messages up to
// the first of the user. returning is true if the messages show an earlier turn.
func (t Turn) ChatKey(workspace string, h http.Header) (key uint64, returning bool) {
	var opening xxh3.Hasher
	opened := false
	for _, m := range t.body.Messages {
		if m.Role == "assistant" {
			returning = true
		}
		if !opened {
			_, _ = opening.WriteString(m.Role)
			_, _ = opening.Write(m.Content)
			opened = m.Role == "user"
		}
	}
	name := t.name(h)
	if name == "" {
		name = strconv.FormatUint(opening.Sum64(), 16)
	}
	return route.ChatKey(workspace, name), returning
}

// Named reports whether the caller named the chat.
func (t Turn) Named(h http.Header) bool { return t.name(h) != "" }

func (t Turn) name(h http.Header) string { return cmp.Or(h.Get(HeaderChat), t.body.CacheKey) }

// BearerKey returns the key of the caller.
func BearerKey(h http.Header) (string, *verdict.Error) {
	key, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok {
		return "", verdict.New(verdict.NotRun, verdict.Unauthorized, "no bearer key: send Authorization: Bearer KEY")
	}
	return strings.TrimSpace(key), nil
}

// Repeatable reports whether a request may run again: as it is marked, else as the
// settings say, unless it has a key.
func Repeatable(h http.Header, bySettings bool) (bool, *verdict.Error) {
	mark := h.Get(HeaderRepeatable)
	if mark == "" {
		return bySettings && h.Get(HeaderIdempotencyKey) == "", nil
	}
	marked, err := strconv.ParseBool(mark)
	if err != nil {
		return false, verdict.New(verdict.NotRun, verdict.BadRequest, "%s: write true or false", HeaderRepeatable)
	}
	return marked, nil
}
