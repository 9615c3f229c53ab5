package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/weldfall/weldfall/internal/proxy"
	"github.com/weldfall/weldfall/platform/standin"
)

// Kind is a kind of step, either a disturbance or planned work.
type Kind string

const (
	Kill       Kind = "kill"
	Pause      Kind = "pause"
	Stop       Kind = "stop"
	Reload     Kind = "reload"
	StoreFault Kind = "store"
	Compact    Kind = "compact"
	// StoreLink and EngineLink are faults of the connection to the store or to an engine.
	StoreLink  Kind = "store_link"
	EngineLink Kind = "engine_link"
	// EngineFault makes an engine misbehave.
	EngineFault Kind = "engine"
	// AllEnginesFault makes all engines misbehave alike.
	AllEnginesFault Kind = "engines"
	DrainEngine     Kind = "leave"
	AddEngine       Kind = "join"
	PublishConfig   Kind = "publish"
	// Revoke revokes a key while one gate is disconnected from the store.
	Revoke Kind = "revoke"
	// RollingStop stops all gates one after the other.
	RollingStop Kind = "roll"
	// Series stops some gates, and each of them again soon after its return.
	Series Kind = "series"
	// SilentStoreConns and SilentEngineConns make open connections silent permanently,
	// without a reset, while new ones work.
	SilentStoreConns  Kind = "silent_store"
	SilentEngineConns Kind = "silent_engine"
	// GrowConfig publishes more routes.
	GrowConfig Kind = "grow"
	// RestartEngines makes engines crash and restart under the same IDs.
	RestartEngines Kind = "again"
	// RestoreStore restores the store from an older copy, in a new epoch.
	RestoreStore Kind = "copy"
	// Suspend suspends the instance of a gate.
	Suspend Kind = "suspend"
	// ForeignEntry publishes entries of a foreign writer, a new one and one in place of an
	// engine's.
	ForeignEntry Kind = "foreign"
)

// Play is a kind of schedule, which also decides how long responses are.
type Play string

const (
	// Even has disturbances of many kinds, and streams of equal length.
	Even Play = "even"
	// Planned has only planned work, and streams of very unequal length.
	Planned Play = "planned"
	// Mixed has disturbances of all kinds, and streams of very unequal length.
	Mixed Play = "mixed"
	// Growing has a config that grows to a megabyte and changes often, over slow links to
	// the store.
	Growing Play = "growing"
	// Restarting has disturbances of all kinds, engines that restart under the same IDs,
	// and entries of foreign writers.
	Restarting Play = "restarting"
	// Ending has requests that crash the engines which run them, and disturbances of gates
	// and of the store.
	Ending Play = "ending"
	// Sharing is like Ending, with requests that differ in all but a part of their prompts,
	// which crashes the engines.
	Sharing Play = "sharing"
	// Copying has a store that is restored from older copies, suspended instances, and
	// disturbances of all kinds.
	Copying Play = "copying"
)

// Plays lists all plays.
var Plays = []Play{Even, Planned, Mixed, Growing, Restarting, Ending, Sharing, Copying, Hushing, Failing, Breaking, Releasing, Silent, Crowding, Leaving}

// crashesEngines reports whether requests crash the engines which run them.
func (p Play) crashesEngines() bool { return p == Ending || p == Sharing }

// firstEngines returns the number of engines of each service at the start.
func (p Play) firstEngines() int {
	if p == Silent {
		return silentEngines
	}
	return firstEngines
}

// How the stops of a series overlap.
const (
	together    = "together"
	overlapping = "overlapping"
	inTurn      = "in_turn"
)

// kinds are drawn with equal probability; a kind that is listed twice is twice as likely.
var kinds = []Kind{
	Kill, Pause, Stop, Reload, StoreFault, Compact, StoreLink, StoreLink, EngineLink, EngineFault, EngineFault, EngineFault, EngineFault, AllEnginesFault, DrainEngine, DrainEngine, AddEngine, PublishConfig, Revoke,
}

// mixedKinds are the steps of a mixed play.
var mixedKinds = slices.Concat(kinds, []Kind{Series, Series, Series, SilentStoreConns, SilentStoreConns, SilentEngineConns, SilentEngineConns})

// plannedKinds are the steps of a planned play beside the stops.
var plannedKinds = []Kind{Reload, PublishConfig, AddEngine, DrainEngine, Compact}

// Step is one step of a schedule.
type Step struct {
	Start    time.Duration
	Duration time.Duration
	Kind     Kind
	// Index is the number of the affected gate or engine, modulo how many there are.
	Index int
	// Variant is "" for kinds without variants.
	Variant string
	// Count is how many gates, engines or connections are affected by kinds that can affect
	// several, and Repeats how often each gate of a series is stopped again.
	Count, Repeats int
}

// planned reports whether the step is planned work, or a silence of engines, which excuses no
// violation.
func (s Step) planned() bool {
	switch s.Kind {
	case Stop, RollingStop, Series, Reload, DrainEngine, AddEngine, PublishConfig, Compact, GrowConfig, SilenceEngines, ChangeSettings, EndEngines:
		return true
	}
	return false
}

// disturbs reports whether a gate may have outdated data of engines during the step.
func (s Step) disturbs() bool {
	switch s.Kind {
	case Pause, AllGates, Suspend, CutOff, StoreFault, Compact, RestoreStore, StoreLink, SilentStoreConns, Revoke:
		return true
	}
	return false
}

// String returns the step as reports show it.
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

// newSchedule draws the steps of a run. They overlap, and end before the last part of the
// run, so that recovery can be checked.
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
	case Releasing:
		if (seed+seed/32)%2 == 0 {
			return calmReleases.draw(rng, length)
		}
		return denseReleases.draw(rng, length)
	case Silent:
		return newSilent(rng, length)
	case Leaving:
		return newLeaving(rng, length)
	}
	from := kinds
	switch play {
	case Mixed:
		from = mixedKinds
	case Restarting:
		from = restartingKinds
	case Ending, Sharing:
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
		if s.Kind == RestoreStore {
			s.Duration = time.Duration(rng.Int64N(int64(longestStep)))
		}
		steps = append(steps, s.drawVariant(rng, engineVariants))
	}
	if seed%rollEvery == 0 {
		roll := Step{Start: time.Duration(rng.Int64N(int64(length - quiet))), Kind: RollingStop, Duration: shortestStep + time.Duration(rng.Int64N(int64(longestGap)))}
		steps = append(steps, roll)
	}
	if play == Restarting {
		// This comes after the last restart of a gate, so that the gates, which know that
		// all engines drained, run until the end.
		steps = append(steps, Step{Start: length - lastRestartBeforeEnd, Kind: RestartEngines, Duration: shortestStep, Variant: drainsFirst, Count: maxIndex})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.Start - b.Start) })
	return steps
}

// drawVariant returns the step with a variant of its kind, of the given ones for EngineFault.
func (s Step) drawVariant(rng *rand.Rand, ofEngines []string) Step {
	switch s.Kind {
	case StoreFault:
		s.Variant = string(storeFaults[rng.IntN(len(storeFaults))])
	case StoreLink, EngineLink:
		s.Variant = string(linkFaults[rng.IntN(len(linkFaults))])
	case EngineFault:
		s.Variant = ofEngines[rng.IntN(len(ofEngines))]
	case AllEnginesFault:
		s.Variant = allEnginesVariants[rng.IntN(len(allEnginesVariants))]
	case AllGates:
		s.Variant = allGatesVariants[rng.IntN(len(allGatesVariants))]
	case Series:
		return newSeries(rng, s.Start)
	case RestartEngines:
		s.Variant, s.Count = restartVariants[rng.IntN(len(restartVariants))], restartGroups[rng.IntN(len(restartGroups))]
	case ForeignEntry:
		s.Variant = foreignVariants[rng.IntN(len(foreignVariants))]
	case SilentStoreConns, SilentEngineConns:
		s.Variant, s.Count = string(silences[rng.IntN(len(silences))]), 1+rng.IntN(maxSilentConns)
	}
	return s
}

// newPlanned draws stops, the first of them within a second of the start of the gates, and
// some other planned work.
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

// seriesGroups is how many gates are stopped. All gates are listed twice: while no other
// gate serves, stopping gates admit what may end in time.
var seriesGroups = []int{1, 2, maxIndex, maxIndex}

// newSeries draws stops of one gate, two gates or all gates.
func newSeries(rng *rand.Rand, at time.Duration) Step {
	s := Step{Start: at, Kind: Series, Index: rng.IntN(maxIndex), Variant: seriesVariants[rng.IntN(len(seriesVariants))], Repeats: rng.IntN(maxRepeats + 1)}
	s.Duration = shortestStep + time.Duration(rng.Int64N(int64(time.Second-shortestStep)))
	s.Count = seriesGroups[rng.IntN(len(seriesGroups))]
	return s
}

const (
	// maxSeries limits the series after the first of a planned play, maxOther the other
	// planned work, maxRepeats how often a gate is stopped again, and maxSilentConns how
	// many connections become silent at a time.
	maxSeries      = 3
	maxOther       = 5
	maxRepeats     = 2
	maxSilentConns = 3
	// 25 steps begin in ten seconds.
	stepsPerTenSeconds = 25
	// maxIndex bounds Step.Index.
	maxIndex = 64
	// rollEvery is the distance of seeds that stop all gates in turn. The step is drawn
	// last, so that all other seeds keep their schedules.
	rollEvery = 3
	// longestGap, plus shortestStep, limits the time between two stops.
	longestGap = 1500 * time.Millisecond
	// longestCut exceeds the bound for revoked keys.
	longestCut = 9 * time.Second
	// quiet is the end of a run in which no step begins.
	quiet = 9 * time.Second
	// lastRestartBeforeEnd is the distance of the last restart from the end: gates apply
	// changes of the list a second later, twice, and requests must be served in the rest.
	lastRestartBeforeEnd = 5200 * time.Millisecond
	shortestStep         = 300 * time.Millisecond
	longestStep          = 4 * time.Second
	// firstEngines is the number of engines of each service at the start of most plays.
	firstEngines = 4
)
