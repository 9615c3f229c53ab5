package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
)

// BreakResponses makes one engine or all of them end responses in one of breakVariants.
const BreakResponses Kind = "break"

// Breaking has engines that end responses early by a FIN, a reset or a last chunk, with and
// without a length or chunks, or half-close their connections, along with other
// disturbances.
const Breaking Play = "breaking"

// breakVariants are the ways in which engines end responses, complete ones included. With
// unframed_ended the processes of the engines end.
var breakVariants = []string{
	"unframed_fin", "unframed_fin", "unframed_reset", "unframed_half_closed", "unframed_whole", "unframed_whole_half_closed",
	"fin", "half_closed", "reset", "last_chunk", "whole_half_closed", "unframed_ended", "unframed_ended",
}

// breakingKinds are the other steps of a breaking play.
var breakingKinds = []Kind{Kill, Pause, Stop, Stop, Reload, PublishConfig, AddEngine, DrainEngine, EngineLink, EngineFault, StoreFault}

const (
	// maxBreakingOthers limits the number of other steps.
	maxBreakingOthers = 6
	// maxBreakGap limits the time between two BreakResponses steps.
	maxBreakGap = 1500 * time.Millisecond
	// breakingCallers is the number of additional callers per gate, which also request long
	// responses.
	breakingCallers = 2
	// cutAfterEvents is the number of events after which a stream breaks.
	cutAfterEvents = 3
	// longPlainBytes exceeds what a gate buffers of a response that is no stream.
	longPlainBytes  = 320 << 10
	longPlainSuffix = "/big"
)

// engineDown is how long an engine whose process ended is down.
const engineDown = 300 * time.Millisecond

// longPlainRest follows the first bytes of a long response that is no stream.
var longPlainRest = strings.Repeat("x", longPlainBytes)

// newBreaking draws overlapping BreakResponses steps and some other steps.
func newBreaking(rng *rand.Rand, length time.Duration) []Step {
	var steps []Step
	for at := time.Second; at < length-quiet; at += time.Duration(rng.Int64N(int64(maxBreakGap))) {
		s := Step{Start: at, Kind: BreakResponses, Variant: breakVariants[rng.IntN(len(breakVariants))], Index: rng.IntN(maxIndex), Count: 1}
		if rng.IntN(4) == 0 {
			s.Count = maxIndex
		}
		s.Duration = min(shortestStep+time.Duration(rng.Int64N(int64(longestStep))), length-quiet-at)
		steps = append(steps, s)
	}
	for range rng.IntN(maxBreakingOthers) {
		at := time.Duration(rng.Int64N(int64(length - quiet)))
		s := Step{Start: at, Kind: breakingKinds[rng.IntN(len(breakingKinds))], Index: rng.IntN(maxIndex)}
		s.Duration = min(shortestStep+time.Duration(rng.Int64N(int64(longestStep))), length-quiet-at)
		switch s.Kind {
		case StoreFault:
			s.Variant = string(storeFaults[rng.IntN(len(storeFaults))])
		case EngineLink:
			s.Variant = string(linkFaults[rng.IntN(len(linkFaults))])
		case EngineFault:
			s.Variant = engineVariants[rng.IntN(len(engineVariants))]
		}
		steps = append(steps, s)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.Start - b.Start) })
	return steps
}

// breakReply changes a reply to end as the variant says. A stream that continues one broken
// by a FIN ends with its connection.
func breakReply(variant string, run standin.Run, p standin.Reply) standin.Reply {
	if variant == "fin" && run.Header.Get("Last-Event-Id") != "" {
		p.Unframed = true
		return p
	}
	p.Unframed = strings.HasPrefix(variant, "unframed")
	p.HalfClosed = strings.HasSuffix(variant, "half_closed")
	p.CloseWithFIN = !strings.HasSuffix(variant, "reset")
	p.LastChunk = variant == "last_chunk"
	p.Ends, p.Down = variant == "unframed_ended", engineDown
	if !strings.Contains(variant, "whole") {
		p.CutAfter, p.CutBody = cutAfterEvents, len(p.Body)*9/10
	}
	return p
}

// breakResponses makes one engine or all of them end responses as the variant says.
func (w *deployment) breakResponses(s Step, i int) {
	set := func(variant string) {
		if s.Count > 1 {
			w.setAll(w.behave(variant))
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.engines[i].SetReply(w.behave(variant))
	}
	set(s.Variant)
	time.Sleep(s.Duration)
	set("")
}

// callBreaking sends requests of all kinds, including those with long responses that are no
// streams.
func (w *deployment) callBreaking(g, c int) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(breakingCallersFrom+g*breakingCallers+c)))
	paths := []string{"/unsafe" + longPlainSuffix, "/safe/x", "/unsafe/x", "/chat/x", "/resume/x"}
	w.callWith(callerPatience, w.protoOf(g, callers+c), func(n int) request {
		return request{gate: g, id: fmt.Sprintf("g%dc%dn%d", g, callers+c, n), path: paths[rng.IntN(len(paths))], key: keyValid, sent: time.Now()}
	}, rng)
}

// breakingCallersFrom separates these random sequences from those of other callers.
const breakingCallersFrom = 1 << 34
