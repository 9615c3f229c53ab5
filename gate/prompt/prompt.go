// Package prompt reads the parts that callers name of their prompts. Engines
// keep parts in memory, so requests that begin alike are best sent alike. It
// is pure.
package prompt

import (
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

// Part is one piece of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// maxParts bounds the parts that are looked at.
const maxParts = 64

// tokensMost bounds the tokens of one answer: far more than any has.
const tokensMost = 1 << 30

// MaxResponseTokens returns the most tokens that an answer may have, from a header
// value of the form PROMPT,MOST, or 0 if it does not say.
func MaxResponseTokens(value string) int {
	_, most, ok := strings.Cut(value, ",")
	n, err := strconv.Atoi(strings.TrimSpace(most))
	if !ok || err != nil {
		return 0
	}
	return min(max(0, n), tokensMost)
}

// Parse reads "ID:TOKENS,ID:TOKENS". What cannot be read is left out: the
// engine is handed the text as it is, and a worse choice of engine is all that
// can come of it.
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

// PrefixKeys hashes the beginnings that other requests may share: one for each part
// but the last, which is a request's own or its session's, from the shortest
// on. A prompt of one part is hashed whole. PrefixKeys are never zero.
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

// SuffixTokens returns the length of what is a request's own or its session's.
func SuffixTokens(parts []Part) int {
	if len(parts) < 2 {
		return 0
	}
	return parts[len(parts)-1].Tokens
}

// PrefixTokens returns the length of what other requests may share.
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
