package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
)

// Release starts engines with the next software version and ends earlier ones.
const Release Kind = "release"

// Releasing has engines of several software versions, which replace each other one after
// the other and overlapping, engines that break streams off, gates that are killed and
// stopped or cut off, and callers that resume streams at other gates.
const Releasing Play = "releasing"

// How an engine ends in a release.
const (
	// announced publishes it as draining.
	announced = "announced"
	// unannounced removes its entry while it still serves.
	unannounced = "unannounced"
	// crashed ends it at once; its entry is removed later.
	crashed = "crashed"
	// inPlace ends it at once and starts an engine of the next version at its address, with
	// another ID, before its entry is removed.
	inPlace = "in_place"
)

var (
	releaseVariants = []string{announced, announced, unannounced, crashed, inPlace}
	// releasingKinds are the steps beside releases.
	releasingKinds = []Kind{Kill, Kill, Kill, Kill, Stop, Series, Pause, Reload, EngineFault, EngineFault, EngineFault, StoreFault, StoreLink, Compact, AllGates, SilentEngineConns, PublishConfig}
	// brokenStreams are the variants of EngineFault in a releasing play.
	brokenStreams = []string{"cut", "cut", "reset", "refuse", "slow"}
)

const (
	// maxReleased limits the engines of a release, and maxReleaseGap the time from the start
	// of one release to that of the next.
	maxReleased   = 4
	maxReleaseGap = 3 * time.Second
	// servesOn is how long an engine serves after it was published as draining or removed.
	servesOn = 2500 * time.Millisecond
	// entryLapse is how long the entry of a crashed engine stays.
	entryLapse = 1500 * time.Millisecond
	// inPlaceDowntime is how long the next engine takes to start at the address.
	inPlaceDowntime = 200 * time.Millisecond
	// leastOfService is the number of engines that a release leaves in service.
	leastOfService = 3
	// otherStepsPerTenSeconds is the number of steps beside releases.
	otherStepsPerTenSeconds = 10
)

// releases are how releases are drawn.
type releases struct {
	// first is the start of the first one, and minGap and maxGap bound the time from the start
	// of one to that of the next.
	first, minGap, maxGap time.Duration
	// minCount is the least number of engines of a release, and maxPause limits the time
	// between two of them.
	minCount int
	maxPause time.Duration
	variants []string
	// others are the steps beside releases, and minCutOff the least time of a CutOff step.
	others    []Kind
	minCutOff time.Duration
}

// denseReleases overlap. Before each of calmReleases every gate has known one version for
// longer than streams can be resumed, and engines that leave serve on at gates that do not know.
var (
	denseReleases = releases{
		first: time.Second, minGap: shortestStep, maxGap: shortestStep + maxReleaseGap, minCount: 1, maxPause: time.Second,
		variants: releaseVariants, others: releasingKinds, minCutOff: shortestStep,
	}
	calmReleases = releases{
		first: calmFor, minGap: calmFor + servesOn + time.Second, maxGap: calmFor + servesOn + 2*time.Second, minCount: maxReleased, maxPause: shortestStep,
		variants: []string{announced, unannounced}, others: calmKinds, minCutOff: minCalmCutOff,
	}
)

// draw draws releases, a CutOff step around each, and some other steps.
func (r releases) draw(rng *rand.Rand, length time.Duration) []Step {
	var steps []Step
	for at := r.first; at < length-quiet; at += r.minGap + time.Duration(rng.Int64N(int64(r.maxGap-r.minGap))) {
		s := Step{Start: at, Kind: Release, Variant: r.variants[rng.IntN(len(r.variants))], Count: r.minCount + rng.IntN(maxReleased-r.minCount+1)}
		s.Duration = time.Duration(rng.Int64N(int64(r.maxPause)))
		steps = append(steps, s)
	}
	drawn := steps
	for range int(length/time.Second) * otherStepsPerTenSeconds / 10 {
		at := time.Duration(rng.Int64N(int64(length - quiet)))
		s := Step{Start: at, Kind: r.others[rng.IntN(len(r.others))], Index: rng.IntN(maxIndex)}
		s.Duration = min(shortestStep+time.Duration(rng.Int64N(int64(longestStep))), length-quiet-at)
		steps = append(steps, s.drawVariant(rng, brokenStreams))
	}
	for _, s := range drawn {
		steps = append(steps, newCutOff(rng, s.Start, r.minCutOff))
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.Start - b.Start) })
	return steps
}

// versionOf returns the name of a release.
func versionOf(release int) string { return fmt.Sprintf("v%d", release) }

// release replaces engines of the service llm by engines of the next version, one by one:
// the new one starts first. A step's Duration is the time between two.
func (w *deployment) release(s Step) {
	w.mu.Lock()
	w.releases++
	version := versionOf(w.releases)
	w.mu.Unlock()
	for range s.Count {
		i, ok := w.oldestEngine(version)
		if !ok || time.Now().After(w.quietFrom) {
			return
		}
		// The run continues without another engine.
		_ = w.addEngineOfVersion("llm", version)
		w.wg.Go(func() { w.endEngine(i, s.Variant, version) })
		time.Sleep(s.Duration)
	}
}

// oldestEngine returns an engine of the service llm that is not of the given version and
// whose end leaves enough others, and takes it out of service.
func (w *deployment) oldestEngine(version string) (i int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	oldest, inService := -1, 0
	for i, service := range w.services {
		if service != "llm" || w.versions[i] == "" {
			continue
		}
		inService++
		if oldest < 0 && w.versions[i] != version {
			oldest = i
		}
	}
	if oldest < 0 || inService <= leastOfService {
		return 0, false
	}
	w.versions[oldest] = ""
	return oldest, true
}

// endEngine ends an engine as the variant says.
func (w *deployment) endEngine(i int, variant, version string) {
	w.mu.Lock()
	e := w.engines[i]
	w.mu.Unlock()
	key := "servers/" + e.ID()
	defer func() {
		// Streams break when the engine ends.
		now := time.Now()
		w.rec.addDisturbance(disturbance{kind: Release, gate: everyGate, from: now.Add(-crashDowntime), until: now.Add(crashDowntime)})
	}()
	switch variant {
	case announced:
		w.mu.Lock()
		w.publishEngine(i, "draining")
		w.mu.Unlock()
		w.rec.addDraining(e.ID())
		time.Sleep(servesOn)
		w.store.Remove(key)
		e.Close()
	case unannounced:
		w.store.Remove(key)
		time.Sleep(servesOn)
		e.Close()
	case crashed:
		e.Crash(0)
		time.Sleep(entryLapse)
		w.store.Remove(key)
	case inPlace:
		e.Close()
		time.Sleep(inPlaceDowntime)
		w.replaceInPlace(i, version)
		time.Sleep(entryLapse)
		w.store.Remove(key)
	}
}

// replaceInPlace starts an engine with a version at the address of one that has ended.
func (w *deployment) replaceInPlace(i int, version string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, err := standin.NewEngineAt(fmt.Sprintf("i-%d", len(w.engines)), w.engines[i].Addr(), w.behave(""))
	if err != nil {
		// Another process took the port. The run continues without the engine.
		return
	}
	e.SetVersion(version)
	w.engines, w.services, w.links, w.versions = append(w.engines, e), append(w.services, w.services[i]), append(w.links, w.links[i]), append(w.versions, version)
	w.publishEngine(len(w.engines)-1, "ready")
}

// addDraining records that an engine was published as draining.
func (r *record) addDraining(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainedAt[id] = time.Now()
}

// inService returns how many engines of the service llm have a version, draining ones not
// included.
func (w *deployment) inService(version string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for i, v := range w.versions {
		if v == version && w.services[i] == "llm" {
			n++
		}
	}
	return n
}
