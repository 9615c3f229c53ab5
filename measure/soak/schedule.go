package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/weldfall/weldfall/internal/proxy"
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
	// Series stops some gates, and each of them again soon after its return.
	Series Kind = "series"
	// SilentStore and SilentEngine make connections that are open silent for
	// good, without a reset, while new ones work.
	SilentStore  Kind = "silent_store"
	SilentEngine Kind = "silent_engine"
	// Grow publishes more routes.
	Grow Kind = "grow"
	// Again makes engines crash and start again under the ids that they have.
	Again Kind = "again"
	// Copy has the store come back from an older copy, in a new era.
	Copy Kind = "copy"
	// Suspend suspends a gate's instance.
	Suspend Kind = "suspend"
	// Foreign puts an entry of another writer on the list, new and in place of an
	// engine's.
	Foreign Kind = "foreign"
)

// Play says what is drawn from a seed and how long answers are.
type Play string

const (
	// Even has troubles of many kinds, and streams of one length.
	Even Play = "even"
	// Planned has planned work alone, and streams of very unequal length.
	Planned Play = "planned"
	// Mixed has troubles of all kinds, and streams of very unequal length.
	Mixed Play = "mixed"
	// Growing has settings that grow to a megabyte and change often, over links to
	// the store that are slow.
	Growing Play = "growing"
	// Restarting has troubles of all kinds, and engines that start again under their
	// ids beside entries of other writers.
	Restarting Play = "restarting"
	// Ending has requests that end the engines which begin them, beside troubles of
	// gates and of the store.
	Ending Play = "ending"
	// Copying has a store that comes back from older copies, and suspended instances,
	// beside troubles of all kinds.
	Copying Play = "copying"
)

// Plays lists all plays.
var Plays = []Play{Even, Planned, Mixed, Growing, Restarting, Ending, Copying, Hushing, Failing, Breaking}

func (p Play) uneven() bool { return p == Planned || p == Mixed }

// How the stops of a series lie to one another.
const (
	together    = "together"
	overlapping = "overlapping"
	inTurn      = "in_turn"
)

// kinds is drawn from evenly; what stands twice comes twice as often.
var kinds = []Kind{
	Kill, Pause, Stop, Reload, Store, Compact, StoreLink, StoreLink, EngineLink, Engine, Engine, Engine, Engine, Engines, Leave, Leave, Join, Publish, Revoke,
}

// mixedKinds is drawn from in a mixed play.
var mixedKinds = slices.Concat(kinds, []Kind{Series, Series, Series, SilentStore, SilentStore, SilentEngine, SilentEngine})

// plannedKinds is what goes on besides the stops of a planned play.
var plannedKinds = []Kind{Reload, Publish, Join, Leave, Compact}

// Step is one trouble of a schedule.
type Step struct {
	At   time.Duration
	For  time.Duration
	Kind Kind
	// Who is the number of the gate or engine that it strikes.
	Who int
	// How is the variant, "" where there is one only.
	How string
	// Many is how many gates or connections it strikes where that may be several,
	// and Again how often each gate of a series is stopped once more.
	Many, Again int
}

// planned reports whether it is work that no promise is excused by.
func (s Step) planned() bool {
	switch s.Kind {
	case Stop, Roll, Series, Reload, Leave, Join, Publish, Compact, Grow:
		return true
	}
	return false
}

// disturbs reports whether a gate may know less of engines while it lasts.
func (s Step) disturbs() bool {
	switch s.Kind {
	case Pause, Herd, Suspend, Store, Compact, Copy, StoreLink, SilentStore, Revoke:
		return true
	}
	return false
}

// String returns the step as it stands in reports.
func (s Step) String() string {
	text := fmt.Sprintf("%v for %v: %s %s on %d", s.At, s.For, s.Kind, s.How, s.Who)
	if s.Many > 0 {
		text += fmt.Sprintf(", %d of them, %d times more", s.Many, s.Again)
	}
	return text
}

var (
	storeFaults = []standin.Fault{standin.Busy, standin.Limited, standin.Reset, standin.Silent, standin.Malformed, standin.EmptyWatches, standin.HungWatches}
	linkFaults  = []proxy.Fault{proxy.Delayed, proxy.Cut, proxy.DropToTarget, proxy.DropFromTarget, proxy.Resets}
	commonWays  = []string{"refuse", "reset", "error"}
	silences    = []proxy.Fault{proxy.Cut, proxy.DropToTarget, proxy.DropFromTarget}
	seriesWays  = []string{together, together, overlapping, inTurn}
	engineWays  = []string{"refuse", "reset", "cut", "extra", "older", "unframed", "garbage", "slow", "error"}
)

// newSchedule draws the troubles of a run. They overlap, and end quiet before
// the run does, so that recovery can be judged.
func newSchedule(seed uint64, length time.Duration, play Play) []Step {
	rng := rand.New(rand.NewPCG(seed, seed))
	switch play {
	case Planned:
		return newPlanned(rng, length)
	case Growing:
		return newGrowing(rng, length)
	case Hushing:
		return newHushing(rng, length)
	case Failing:
		return newFailing(rng, length)
	case Breaking:
		return newBreaking(rng, length)
	}
	from := kinds
	switch play {
	case Mixed:
		from = mixedKinds
	case Restarting:
		from = restartingKinds
	case Ending:
		from = endingKinds
	case Copying:
		from = copyingKinds
	}
	n := int(length/time.Second)*stepsPerSecond/10 + 1
	var steps []Step
	for range n {
		at := time.Duration(rng.Int64N(int64(length - quiet)))
		s := Step{At: at, Kind: from[rng.IntN(len(from))]}
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
		case Series:
			s = newSeries(rng, at)
		case Copy:
			s.For = time.Duration(rng.Int64N(int64(longestStep)))
		case Again:
			s.How, s.Many = againWays[rng.IntN(len(againWays))], againGroups[rng.IntN(len(againGroups))]
		case Foreign:
			s.How = foreignWays[rng.IntN(len(foreignWays))]
		case SilentStore, SilentEngine:
			s.How, s.Many = string(silences[rng.IntN(len(silences))]), 1+rng.IntN(mostSilent)
		}
		steps = append(steps, s)
	}
	if seed%rollEvery == 0 {
		roll := Step{At: time.Duration(rng.Int64N(int64(length - quiet))), Kind: Roll, For: shortestStep + time.Duration(rng.Int64N(int64(longestGap)))}
		steps = append(steps, roll)
	}
	if play == Restarting {
		// After the last restart of a gate, so that the gates that were told that all
		// engines leave go on to the end.
		steps = append(steps, Step{At: length - lastAgain, Kind: Again, For: shortestStep, How: leavesAgain, Many: whoMost})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// newPlanned draws stops, the first of them within a second of the start of the
// gates, and some other planned work.
func newPlanned(rng *rand.Rand, length time.Duration) []Step {
	steps := []Step{newSeries(rng, time.Duration(rng.Int64N(int64(time.Second))))}
	for range 1 + rng.IntN(mostSeries) {
		steps = append(steps, newSeries(rng, time.Duration(rng.Int64N(int64(length-quiet)))))
	}
	for range rng.IntN(mostOther) {
		s := Step{At: time.Duration(rng.Int64N(int64(length - quiet))), Kind: plannedKinds[rng.IntN(len(plannedKinds))], Who: rng.IntN(whoMost)}
		steps = append(steps, s)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// groups is how many gates are stopped. All comes twice: while none serves in
// their place, stopping gates take what may end in time.
var groups = []int{1, 2, whoMost, whoMost}

// newSeries draws stops of one gate, of two or of all.
func newSeries(rng *rand.Rand, at time.Duration) Step {
	s := Step{At: at, Kind: Series, Who: rng.IntN(whoMost), How: seriesWays[rng.IntN(len(seriesWays))], Again: rng.IntN(mostAgain + 1)}
	s.For = shortestStep + time.Duration(rng.Int64N(int64(time.Second-shortestStep)))
	s.Many = groups[rng.IntN(len(groups))]
	return s
}

const (
	// mostSeries bounds the series after the first of a planned play, mostOther
	// the other planned work, mostAgain how often a gate is stopped again, and
	// mostSilent how many connections fall silent at a time.
	mostSeries = 3
	mostOther  = 5
	mostAgain  = 2
	mostSilent = 3
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
	quiet = 9 * time.Second
	// lastAgain is before the end: gates take news of the list a second later, twice,
	// and requests must be served in the last of it.
	lastAgain    = 5200 * time.Millisecond
	shortestStep = 300 * time.Millisecond
	longestStep  = 4 * time.Second
	// firstEngines is how many engines each service has at the start.
	firstEngines = 4
)
