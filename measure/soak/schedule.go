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
	Kill       Kind = "kill"
	Pause      Kind = "pause"
	Stop       Kind = "stop"
	Reload     Kind = "reload"
	StoreFault Kind = "store"
	Compact    Kind = "compact"
	// StoreLink and EngineLink are faults of the way to the store, and to an
	// engine.
	StoreLink  Kind = "store_link"
	EngineLink Kind = "engine_link"
	// Engine makes an engine misbehave.
	EngineFault Kind = "engine"
	// Engines makes all engines misbehave alike.
	AllEnginesFault Kind = "engines"
	DrainEngine     Kind = "leave"
	AddEngine       Kind = "join"
	PublishConfig   Kind = "publish"
	// Revoke takes a key away while one gate is cut from the store.
	Revoke Kind = "revoke"
	// Roll stops all gates one after the other.
	RollingStop Kind = "roll"
	// Series stops some gates, and each of them again soon after its return.
	Series Kind = "series"
	// SilentStore and SilentEngine make connections that are open silent for
	// good, without a reset, while new ones work.
	SilentStoreConns  Kind = "silent_store"
	SilentEngineConns Kind = "silent_engine"
	// Grow publishes more routes.
	GrowConfig Kind = "grow"
	// Again makes engines crash and start again under the ids that they have.
	RestartEngines Kind = "again"
	// Copy has the store come back from an older copy, in a new era.
	RestoreStore Kind = "copy"
	// Suspend suspends a gate's instance.
	Suspend Kind = "suspend"
	// Foreign puts an entry of another writer on the list, new and in place of an
	// engine's.
	ForeignEntry Kind = "foreign"
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

func (p Play) hasLongStreams() bool { return p == Planned || p == Mixed }

// How the stops of a series lie to one another.
const (
	together    = "together"
	overlapping = "overlapping"
	inTurn      = "in_turn"
)

// kinds is drawn from evenly; what stands twice comes twice as often.
var kinds = []Kind{
	Kill, Pause, Stop, Reload, StoreFault, Compact, StoreLink, StoreLink, EngineLink, EngineFault, EngineFault, EngineFault, EngineFault, AllEnginesFault, DrainEngine, DrainEngine, AddEngine, PublishConfig, Revoke,
}

// mixedKinds is drawn from in a mixed play.
var mixedKinds = slices.Concat(kinds, []Kind{Series, Series, Series, SilentStoreConns, SilentStoreConns, SilentEngineConns, SilentEngineConns})

// plannedKinds is what goes on besides the stops of a planned play.
var plannedKinds = []Kind{Reload, PublishConfig, AddEngine, DrainEngine, Compact}

// Step is one trouble of a schedule.
type Step struct {
	Start    time.Duration
	Duration time.Duration
	Kind     Kind
	// Who is the number of the gate or engine that it strikes.
	Index int
	// How is the variant, "" where there is one only.
	Variant string
	// Many is how many gates or connections it strikes where that may be several,
	// and Again how often each gate of a series is stopped once more.
	Count, Repeats int
}

// planned reports whether it is work that no promise is excused by.
func (s Step) planned() bool {
	switch s.Kind {
	case Stop, RollingStop, Series, Reload, DrainEngine, AddEngine, PublishConfig, Compact, GrowConfig:
		return true
	}
	return false
}

// disturbs reports whether a gate may know less of engines while it lasts.
func (s Step) disturbs() bool {
	switch s.Kind {
	case Pause, AllGates, Suspend, StoreFault, Compact, RestoreStore, StoreLink, SilentStoreConns, Revoke:
		return true
	}
	return false
}

// String returns the step as it stands in reports.
func (s Step) String() string {
	text := fmt.Sprintf("%v for %v: %s %s on %d", s.Start, s.Duration, s.Kind, s.Variant, s.Index)
	if s.Count > 0 {
		text += fmt.Sprintf(", %d of them, %d times more", s.Count, s.Repeats)
	}
	return text
}

var (
	storeFaults        = []standin.Fault{standin.Busy, standin.Limited, standin.Reset, standin.Silent, standin.Malformed, standin.EmptyWatches, standin.HungWatches}
	linkFaults         = []proxy.Fault{proxy.Delayed, proxy.Cut, proxy.DropToTarget, proxy.DropFromTarget, proxy.Resets}
	allEnginesVariants = []string{"refuse", "reset", "error"}
	silences           = []proxy.Fault{proxy.Cut, proxy.DropToTarget, proxy.DropFromTarget}
	seriesVariants     = []string{together, together, overlapping, inTurn}
	engineVariants     = []string{"refuse", "reset", "cut", "extra", "older", "unframed", "garbage", "slow", "error"}
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
	n := int(length/time.Second)*stepsPerTenSeconds/10 + 1
	var steps []Step
	for range n {
		at := time.Duration(rng.Int64N(int64(length - quiet)))
		s := Step{Start: at, Kind: from[rng.IntN(len(from))]}
		longest := longestStep
		if s.Kind == StoreLink || s.Kind == Revoke {
			longest = longestCut
		}
		s.Duration = min(time.Duration(rng.Int64N(int64(longest)))+shortestStep, length-quiet-at)
		s.Index = rng.IntN(maxIndex)
		switch s.Kind {
		case StoreFault:
			s.Variant = string(storeFaults[rng.IntN(len(storeFaults))])
		case StoreLink, EngineLink:
			s.Variant = string(linkFaults[rng.IntN(len(linkFaults))])
		case EngineFault:
			s.Variant = engineVariants[rng.IntN(len(engineVariants))]
		case AllEnginesFault:
			s.Variant = allEnginesVariants[rng.IntN(len(allEnginesVariants))]
		case Series:
			s = newSeries(rng, at)
		case RestoreStore:
			s.Duration = time.Duration(rng.Int64N(int64(longestStep)))
		case RestartEngines:
			s.Variant, s.Count = restartVariants[rng.IntN(len(restartVariants))], restartGroups[rng.IntN(len(restartGroups))]
		case ForeignEntry:
			s.Variant = foreignVariants[rng.IntN(len(foreignVariants))]
		case SilentStoreConns, SilentEngineConns:
			s.Variant, s.Count = string(silences[rng.IntN(len(silences))]), 1+rng.IntN(maxSilentConns)
		}
		steps = append(steps, s)
	}
	if seed%rollEvery == 0 {
		roll := Step{Start: time.Duration(rng.Int64N(int64(length - quiet))), Kind: RollingStop, Duration: shortestStep + time.Duration(rng.Int64N(int64(longestGap)))}
		steps = append(steps, roll)
	}
	if play == Restarting {
		// After the last restart of a gate, so that the gates that were told that all
		// engines leave go on to the end.
		steps = append(steps, Step{Start: length - lastRestartBeforeEnd, Kind: RestartEngines, Duration: shortestStep, Variant: drainsFirst, Count: maxIndex})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.Start - b.Start) })
	return steps
}

// newPlanned draws stops, the first of them within a second of the start of the
// gates, and some other planned work.
func newPlanned(rng *rand.Rand, length time.Duration) []Step {
	steps := []Step{newSeries(rng, time.Duration(rng.Int64N(int64(time.Second))))}
	for range 1 + rng.IntN(maxSeries) {
		steps = append(steps, newSeries(rng, time.Duration(rng.Int64N(int64(length-quiet)))))
	}
	for range rng.IntN(maxOther) {
		s := Step{Start: time.Duration(rng.Int64N(int64(length - quiet))), Kind: plannedKinds[rng.IntN(len(plannedKinds))], Index: rng.IntN(maxIndex)}
		steps = append(steps, s)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.Start - b.Start) })
	return steps
}

// groups is how many gates are stopped. All comes twice: while none serves in
// their place, stopping gates take what may end in time.
var seriesGroups = []int{1, 2, maxIndex, maxIndex}

// newSeries draws stops of one gate, of two or of all.
func newSeries(rng *rand.Rand, at time.Duration) Step {
	s := Step{Start: at, Kind: Series, Index: rng.IntN(maxIndex), Variant: seriesVariants[rng.IntN(len(seriesVariants))], Repeats: rng.IntN(maxRepeats + 1)}
	s.Duration = shortestStep + time.Duration(rng.Int64N(int64(time.Second-shortestStep)))
	s.Count = seriesGroups[rng.IntN(len(seriesGroups))]
	return s
}

const (
	// mostSeries bounds the series after the first of a planned play, mostOther
	// the other planned work, maxRepeats how often a gate is stopped again, and
	// mostSilent how many connections fall silent at a time.
	maxSeries      = 3
	maxOther       = 5
	maxRepeats     = 2
	maxSilentConns = 3
	// stepsPerSecond is in tenths: 25 troubles begin in ten seconds.
	stepsPerTenSeconds = 25
	// whoMost bounds the numbers of gates and engines that are struck; they
	// are taken modulo what there is.
	maxIndex = 64
	// rollEvery is how many seeds lie between two that stop all gates in turn. It
	// is drawn last, so the other seeds play what they did before it was known.
	rollEvery = 3
	// longestGap bounds the time between two stops, with shortestStep added.
	longestGap = 1500 * time.Millisecond
	// longestCut is longer than the bound for revoked keys.
	longestCut = 9 * time.Second
	// quiet is the end of a run in which no trouble is begun.
	quiet = 9 * time.Second
	// lastRestartBeforeEnd is before the end: gates take news of the list a second later, twice,
	// and requests must be served in the last of it.
	lastRestartBeforeEnd = 5200 * time.Millisecond
	shortestStep         = 300 * time.Millisecond
	longestStep          = 4 * time.Second
	// firstEngines is how many engines each service has at the start.
	firstEngines = 4
)
