// Package chats defines weldfall's own HTTP interface: the usual chat completions protocol,
// and requests to plain services. It parses headers and bodies and formats failures, and
// leaves all decisions to package entry.
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

// Request and response headers.
const (
	HeaderChat           = "Weldfall-Chat"
	HeaderRepeatable     = "Weldfall-Repeatable"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
	HeaderVerdict        = "Weldfall-Verdict"
	HeaderHint           = "Weldfall-Hint"
)

const (
	// Service is the service name of chat requests in the settings tree.
	Service = "chat"
	// Path is the URL path of chat requests, both at an entry and at an engine.
	Path = "/v1/chat/completions"
	// DoneEvent ends a complete stream. Its absence tells the caller that the response is
	// incomplete.
	DoneEvent = "data: [DONE]\n\n"
)

const (
	// defaultResponseTokens estimates the length of a response that the request does not
	// limit.
	defaultResponseTokens = 256
	// bytesPerToken is the estimated size of a token of a request body.
	bytesPerToken = 4
)

// Turn is one request of a chat. The zero value is a request to a plain service.
type Turn struct {
	body body
}

// body has the fields of a chat request that affect how it is processed.
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

// Parse parses the body of a chat request. The error has the reason verdict.BadRequest.
func Parse(text []byte) (Turn, *verdict.Error) {
	var t Turn
	if err := json.Unmarshal(text, &t.body); err != nil {
		return Turn{}, verdict.New(verdict.NotRun, verdict.BadRequest, "the body is not a valid chat request: %w", err)
	}
	if len(t.body.Messages) == 0 {
		return Turn{}, verdict.New(verdict.NotRun, verdict.BadRequest, "messages: at least one message is required")
	}
	return t, nil
}

// Model returns the requested model.
func (t Turn) Model() string { return t.body.Model }

// WantsStream reports whether the caller requested a streamed response.
func (t Turn) WantsStream() bool { return t.body.Stream }

// WantsUsage reports whether the stream must include the token usage.
func (t Turn) WantsUsage() bool { return t.body.StreamOptions.IncludeUsage }

// Cost returns the estimated cost in tokens of a request with a body of bodyBytes bytes.
func (t Turn) Cost(bodyBytes int) int {
	return 1 + bodyBytes/bytesPerToken + cmp.Or(t.MaxTokens(), defaultResponseTokens)
}

// MaxTokens returns the maximum number of tokens of the response, 0 if the request does not
// limit it.
func (t Turn) MaxTokens() int { return max(t.body.MaxTokens, t.body.MaxCompletionTokens) }

// ChatKey returns the key of a chat within a workspace. It is derived from the header
// HeaderChat if that is set, else from the field prompt_cache_key, else from the messages up
// to the first one of the user, which are the same in all turns. returning is true if the
// messages contain an earlier turn.
func (t Turn) ChatKey(workspace string, h http.Header) (key uint64, returning bool) {
	var prefixHash xxh3.Hasher
	prefixDone := false
	for _, m := range t.body.Messages {
		if m.Role == "assistant" {
			returning = true
		}
		if !prefixDone {
			_, _ = prefixHash.WriteString(m.Role)
			_, _ = prefixHash.Write(m.Content)
			prefixDone = m.Role == "user"
		}
	}
	name := t.name(h)
	if name == "" {
		name = strconv.FormatUint(prefixHash.Sum64(), 16)
	}
	return route.ChatKey(workspace, name), returning
}

// Named reports whether the caller named the chat.
func (t Turn) Named(h http.Header) bool { return t.name(h) != "" }

func (t Turn) name(h http.Header) string { return cmp.Or(h.Get(HeaderChat), t.body.CacheKey) }

// BearerKey returns the caller's key from the Authorization header.
func BearerKey(h http.Header) (string, *verdict.Error) {
	key, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok {
		return "", verdict.New(verdict.NotRun, verdict.Unauthorized, "no bearer key: send Authorization: Bearer KEY")
	}
	return strings.TrimSpace(key), nil
}

// Repeatable reports whether a request may run more than once. The header HeaderRepeatable
// decides if it is set. Otherwise a request with an idempotency key is not repeatable, and
// bySettings applies to the others.
func Repeatable(h http.Header, bySettings bool) (bool, *verdict.Error) {
	value := h.Get(HeaderRepeatable)
	if value == "" {
		return bySettings && h.Get(HeaderIdempotencyKey) == "", nil
	}
	repeatable, err := strconv.ParseBool(value)
	if err != nil {
		return false, verdict.New(verdict.NotRun, verdict.BadRequest, "%s: must be true or false", HeaderRepeatable)
	}
	return repeatable, nil
}
