// Package prompt parses the header in which callers list the parts of a prompt. Engines
// cache prompt parts, so requests with a common prefix are best sent to the same engine.
package prompt

import (
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// maxParts is the maximum number of parts that are considered.
const maxParts = 64

// maxTokens caps the number of tokens of a response, far above any real one.
const maxTokens = 1 << 30

// MaxResponseTokens returns the maximum number of tokens of the response from a header
// value of the form PROMPT,MAX, or 0 if it is missing or invalid.
func MaxResponseTokens(value string) int {
	_, most, ok := strings.Cut(value, ",")
	n, err := strconv.Atoi(strings.TrimSpace(most))
	if !ok || err != nil {
		return 0
	}
	return min(max(0, n), maxTokens)
}

// Parse parses "ID:TOKENS,ID:TOKENS". It stops at the first invalid part: the engine gets
// the prompt unchanged, so the worst result is a less suitable engine.
func Parse(text string) []Part {
	var parts []Part
	for item := range strings.SplitSeq(text, ",") {
		id, n, ok := strings.Cut(strings.TrimSpace(item), ":")
		if !ok || id == "" || len(parts) == maxParts {
			break
		}
		tokens, err := strconv.Atoi(n)
		if err != nil || tokens < 0 {
			break
		}
		parts = append(parts, Part{ID: id, Tokens: tokens})
	}
	return parts
}

// PrefixKeys returns hashes of the prefixes that other requests may share, from the
// shortest on: one for each part but the last, which belongs to the request or its session.
// A prompt of one part has one key. Keys are never zero.
func PrefixKeys(parts []Part) []uint64 {
	if len(parts) == 0 {
		return nil
	}
	shared := parts[:max(1, len(parts)-1)]
	keys := make([]uint64, 0, len(shared))
	var b strings.Builder
	for _, p := range shared {
		b.WriteString(p.ID)
		b.WriteByte(',')
		keys = append(keys, max(1, xxh3.HashString(b.String())))
	}
	return keys
}

// SuffixTokens returns the length of the last part, which belongs to the request or its
// session, or 0 if the prompt has only one part.
func SuffixTokens(parts []Part) int {
	if len(parts) < 2 {
		return 0
	}
	return parts[len(parts)-1].Tokens
}

// SharedIDs returns the IDs of all parts but the last, each once, in a form that is the same
// for all spellings of a hexadecimal ID. Unlike Parse, it skips no part: an engine may accept
// one that Parse does not understand.
func SharedIDs(text string) []string {
	var ids []string
	for item := range strings.SplitSeq(text, ",") {
		id, _, _ := strings.Cut(item, ":")
		if id = normalizeID(id); id != "" {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	seen := map[string]bool{}
	return slices.DeleteFunc(ids[:len(ids)-1], func(id string) bool {
		known := seen[id]
		seen[id] = true
		return known
	})
}

// normalizeID returns the ID without spaces, upper case and leading zeros.
func normalizeID(id string) string {
	id = strings.ToLower(strings.TrimSpace(id))
	if trimmed := strings.TrimLeft(id, "0"); trimmed != "" {
		return trimmed
	}
	return id
}

// PrefixTokens returns the length of the prefix that other requests may share.
func PrefixTokens(parts []Part) int {
	if len(parts) == 0 {
		return 0
	}
	n := 0
	for _, p := range parts[:max(1, len(parts)-1)] {
		n += p.Tokens
	}
	return n
}
