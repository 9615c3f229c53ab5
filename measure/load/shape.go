// Package load sends a bounded load of chats that return, and reports what
// came back: latency, cache reuse, verdicts, skew and control traffic.
package load

import (
	"math"
	"math/rand/v2"
	"strings"
	"unicode"

	"github.com/weldfall/weldfall/common/clock"
)

// Shape is a partner's way of chatting.
type Shape struct {
	// OpeningTokens and TurnTokens are medians of the first and the later
	// messages of a user, in tokens.
	OpeningTokens, TurnTokens int
	// OutputLow and OutputHigh bound the answers, in tokens.
	MinOutputTokens, MaxOutputTokens int
	// Pause is the median time until a chat returns.
	MedianPause clock.Millis
	// Return is the probability that a chat returns after a turn.
	ReturnProbability float64
	// Spread is the sigma of the log-normal sizes and pauses.
	Sigma float64
}

// Shapes are the two partners' ways: long site reports and revisions, and
// short dispatcher questions. Pauses are shortened so that a run of minutes
// has chats that return.
var Shapes = map[string]Shape{
	"planning": {OpeningTokens: 2400, TurnTokens: 250, MinOutputTokens: 40, MaxOutputTokens: 120, MedianPause: 20_000, ReturnProbability: 0.85, Sigma: 0.8},
	"vigia":    {OpeningTokens: 240, TurnTokens: 60, MinOutputTokens: 15, MaxOutputTokens: 50, MedianPause: 12_000, ReturnProbability: 0.8, Sigma: 0.7},
}

// maxPromptTokens bounds a chat, which ends beyond it.
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

// workspace picks one of n with a few large ones (Zipf).
func workspace(z *rand.Zipf) int { return int(z.Uint64()) }

// text returns n tokens of about four bytes each.
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
