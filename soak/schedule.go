package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
)

// Kind is a sort of trouble or of planned work.
type Kind string

const (
	Kill    Kind = "kill"
	Pause   Kind = "pause"
	Stop    Kind = "stop"
	Reload  Kind = "reload"
	Store   Kind = "store"
	Compact Kind = "compact"
	// StoreLink and EngineLink are faults of the way to the store, and to an
	// engine.
	StoreLink  Kind = "store_link"
	EngineLink Kind = "engine_link"
	// Engine makes an engine misbehave.
	Engine Kind = "engine"
	// Engines makes all engines misbehave alike.
	Engines Kind = "engines"
	Leave   Kind = "leave"
	Join    Kind = "join"
	Publish Kind = "publish"
	// Revoke takes a key away while one gate is cut from the store.
	Revoke Kind = "revoke"
	// Roll stops all gates one after the other.
	Roll Kind = "roll"
)

// kinds is drawn from evenly; what stands twice comes twice as often.
var kinds = []Kind{
	Kill, Pause, Stop, Reload, Store, Compact, StoreLink, StoreLink, EngineLink, Engine, Engine, Engine, Engine, Engines, Leave, Leave, Join, Publish, Revoke,
}

// Step is one trouble of a schedule.
type Step struct {
	At   time.Duration
	For  time.Duration
	Kind Kind
	// Who is the number of the gate or engine that it strikes.
	Who int
	// How is the variant, "" where there is one only.
	How string
}

// disturbs reports whether a gate may know less of engines while it lasts.
func (s Step) disturbs() bool {
	switch s.Kind {
	case Pause, Store, Compact, StoreLink, Revoke:
		return true
	}
	return false
}

// String returns the step as it stands in reports.
func (s Step) String() string {
	return fmt.Sprintf("%v for %v: %s %s on %d", s.At, s.For, s.Kind, s.How, s.Who)
}

var (
	storeFaults = []standin.Fault{standin.Busy, standin.Limited, standin.Reset, standin.Silent, standin.Nonsense, standin.Deaf, standin.Mute}
	linkFaults  = []LinkFault{Delayed, Cut, DeafTo, DeafFrom, Resets}
	commonWays  = []string{"refuse", "reset", "error"}
	engineWays  = []string{"refuse", "reset", "cut", "extra", "older", "unframed", "garbage", "slow", "error"}
)

// newSchedule draws the troubles of a run. They overlap, and end quiet before
// the run does, so that recovery can be judged.
func newSchedule(seed uint64, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, seed))
	n := int(length/time.Second)*stepsPerSecond/10 + 1
	var steps []Step
	for range n {
		at := time.Duration(rng.Int64N(int64(length - quiet)))
		s := Step{At: at, Kind: kinds[rng.IntN(len(kinds))]}
		longest := longestStep
		if s.Kind == StoreLink || s.Kind == Revoke {
			longest = longestCut
		}
		s.For = min(time.Duration(rng.Int64N(int64(longest)))+shortestStep, length-quiet-at)
		s.Who = rng.IntN(whoMost)
		switch s.Kind {
		case Store:
			s.How = string(storeFaults[rng.IntN(len(storeFaults))])
		case StoreLink, EngineLink:
			s.How = string(linkFaults[rng.IntN(len(linkFaults))])
		case Engine:
			s.How = engineWays[rng.IntN(len(engineWays))]
		case Engines:
			s.How = commonWays[rng.IntN(len(commonWays))]
		}
		steps = append(steps, s)
	}
	if seed%rollEvery == 0 {
		roll := Step{At: time.Duration(rng.Int64N(int64(length - quiet))), Kind: Roll, For: shortestStep + time.Duration(rng.Int64N(int64(longestGap)))}
		steps = append(steps, roll)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

const (
	// stepsPerSecond is in tenths: 25 troubles begin in ten seconds.
	stepsPerSecond = 25
	// whoMost bounds the numbers of gates and engines that are struck; they
	// are taken modulo what there is.
	whoMost = 64
	// rollEvery is how many seeds lie between two that stop all gates in turn. It
	// is drawn last, so the other seeds play what they did before it was known.
	rollEvery = 3
	// longestGap bounds the time between two stops, with shortestStep added.
	longestGap = 1500 * time.Millisecond
	// longestCut is longer than the bound for revoked keys.
	longestCut = 9 * time.Second
	// quiet is the end of a run in which no trouble is begun.
	quiet        = 9 * time.Second
	shortestStep = 300 * time.Millisecond
	longestStep  = 4 * time.Second
	// firstEngines is how many engines each service has at the start.
	firstEngines = 4
)
