package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
)

// Break has an engine, or all of them, end answers in one of breakWays.
const BreakResponses Kind = "break"

// Breaking has engines that break answers off by a FIN, a reset or a last chunk, with and
// without a length or chunks, or end their connections halfway, beside other troubles.
const Breaking Play = "breaking"

// breakWays are the ways of engines to end answers, whole ones among them.
var breakVariants = []string{
	"unframed_fin", "unframed_fin", "unframed_reset", "unframed_half_closed", "unframed_whole", "unframed_whole_half_closed",
	"fin", "half_closed", "reset", "last_chunk", "whole_half_closed",
}

// breakingKinds is what goes on besides.
var breakingKinds = []Kind{Kill, Pause, Stop, Stop, Reload, PublishConfig, AddEngine, DrainEngine, EngineLink, EngineFault, StoreFault}

const (
	// breakingOthers bounds the other troubles.
	maxBreakingOthers = 6
	// breaksApart bounds the time between two breaks.
	maxBreakGap = 1500 * time.Millisecond
	// breakingCallers is how many callers of a gate there are more, who ask for long
	// answers too.
	breakingCallers = 2
	// breakEvents is after how many events a stream breaks off.
	cutAfterEvents = 3
	// longPlainBytes is more than a gate holds of a plain answer.
	longPlainBytes = 320 << 10
	longPlain      = "/big"
)

// longPlainRest is what follows the beginning of a long plain answer.
var longPlainRest = strings.Repeat("x", longPlainBytes)

// newBreaking draws breaks that overlap, and some other troubles.
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

// breaks returns an answer as a way of breakWays ends it. What takes a stream up that broke
// off by a FIN ends with its connection.
func breakReply(way string, run standin.Run, p standin.Reply) standin.Reply {
	if way == "fin" && run.Header.Get("Last-Event-Id") != "" {
		p.Unframed = true
		return p
	}
	p.Unframed = strings.HasPrefix(way, "unframed")
	p.HalfClosed = strings.HasSuffix(way, "half_closed")
	p.CloseWithFIN = !strings.HasSuffix(way, "reset")
	p.LastChunk = way == "last_chunk"
	if !strings.Contains(way, "whole") {
		p.CutAfter, p.CutBody = cutAfterEvents, len(p.Body)*9/10
	}
	return p
}

// breakOff has an engine, or all of them, end answers in a way for a while.
func (w *deployment) breakResponses(s Step, i int) {
	set := func(way string) {
		if s.Count > 1 {
			w.setAll(w.behave(way))
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.engines[i].SetReply(w.behave(way))
	}
	set(s.Variant)
	time.Sleep(s.Duration)
	set("")
}

// callBreaking asks for answers of all kinds, long plain ones among them.
func (w *deployment) callBreaking(g, c int) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(breakingCallersFrom+g*breakingCallers+c)))
	paths := []string{"/unsafe" + longPlain, "/safe/x", "/unsafe/x", "/chat/x", "/resume/x"}
	w.callWith(callerPatience, w.protoOf(g, callers+c), func(n int) request {
		return request{gate: g, id: fmt.Sprintf("g%dc%dn%d", g, callers+c, n), path: paths[rng.IntN(len(paths))], key: keyKept, sent: time.Now()}
	}, rng)
}

// breakingCallersFrom keeps their draws from those of others.
const breakingCallersFrom = 1 << 34
