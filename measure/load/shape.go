// Package load sends a limited load of chats with several turns, and reports latency, cache
// reuse, verdicts, skew and control traffic.
package load

import (
	"math"
	"math/rand/v2"
	"strings"
	"unicode"

	"github.com/weldfall/weldfall/common/clock"
)

// Shape describes the chats of a partner.
type Shape struct {
	// OpeningTokens and TurnTokens are the median sizes of the first and of later user
	// messages.
	OpeningTokens, TurnTokens int
	// MinOutputTokens and MaxOutputTokens bound the size of responses.
	MinOutputTokens, MaxOutputTokens int
	// MedianPause is the median time until the next turn of a chat.
	MedianPause clock.Millis
	// ReturnProbability is the probability that a chat has another turn.
	ReturnProbability float64
	// Sigma is the sigma of the log-normal sizes and pauses.
	Sigma float64
}

// Shapes are the two partners' shapes: long site reports and revisions, and short
// dispatcher questions. Pauses are shortened so that runs of minutes have returning chats.
var Shapes = map[string]Shape{
	"planning": {OpeningTokens: 2400, TurnTokens: 250, MinOutputTokens: 40, MaxOutputTokens: 120, MedianPause: 20_000, ReturnProbability: 0.85, Sigma: 0.8},
	"vigia":    {OpeningTokens: 240, TurnTokens: 60, MinOutputTokens: 15, MaxOutputTokens: 50, MedianPause: 12_000, ReturnProbability: 0.8, Sigma: 0.7},
}

// maxPromptTokens limits a chat; it ends with a longer prompt.
const maxPromptTokens = 16_000

func (s Shape) lognormal(r *rand.Rand, median float64) float64 {
	return median * math.Exp(s.Sigma*r.NormFloat64())
}

func (s Shape) tokens(r *rand.Rand, median int) int {
	return max(4, min(8000, int(s.lognormal(r, float64(median)))))
}

func (s Shape) output(r *rand.Rand) int {
	return s.MinOutputTokens + r.IntN(s.MaxOutputTokens-s.MinOutputTokens+1)
}

func (s Shape) pause(r *rand.Rand) clock.Millis {
	return clock.Millis(min(20*float64(s.MedianPause), s.lognormal(r, float64(s.MedianPause))))
}

// workspace picks a workspace from a Zipf distribution, so that a few are large.
func workspace(z *rand.Zipf) int { return int(z.Uint64()) }

// randomText returns n tokens of about four bytes each.
func randomText(r *rand.Rand, n int) string {
	var b strings.Builder
	b.Grow(4 * n)
	for range n {
		for range 3 {
			b.WriteRune('a' + rune(r.IntN(26)))
		}
		b.WriteByte(' ')
	}
	return strings.TrimRightFunc(b.String(), unicode.IsSpace)
}
