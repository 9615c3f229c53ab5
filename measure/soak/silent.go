package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
)

const (
	// SilenceEngines makes engines silent for short times. They go on afterwards.
	SilenceEngines Kind = "silence"
	// ChangeSettings publishes a series of settings.
	ChangeSettings Kind = "settings"
)

// Silent has sound engines that fall silent, at most a third of them at a time, beside stops,
// reloads, changes of settings, and kills of gates.
const Silent Play = "silent"

// Variants of SilenceEngines; inTurn is one as well.
const (
	atRandom = "at_random"
	// atOnce silences a third of the engines.
	atOnce = "at_once"
)

// Variants of ChangeSettings.
const (
	changeIdle    = "idle"
	changeHeader  = "header"
	changeTimeout = "timeout"
	changeRoutes  = "routes"
	changeKeys    = "keys"
)

var (
	silencePatterns  = []string{inTurn, atRandom, atOnce, atOnce}
	settingsVariants = []string{changeIdle, changeHeader, changeTimeout, changeRoutes, changeKeys}
	// silentKinds are the steps beside silences, stops and changes of settings.
	silentKinds = []Kind{Reload, Reload, Kill}

	// silentGoals are latency objectives, one for each run.
	silentGoals = []time.Duration{standin.DefaultGoal, 150 * time.Millisecond}

	idleTimeouts   = []time.Duration{60 * time.Millisecond, 400 * time.Millisecond, 15 * time.Second}
	headerTimeouts = []time.Duration{150 * time.Millisecond, 600 * time.Millisecond, 3 * time.Second}
	// extraTimeouts leave the deadline of the caller the shortest.
	extraTimeouts = []time.Duration{0, 700 * time.Millisecond, 5 * time.Second}
	idleRoutes    = []int{0, 300, 2000}
	extraKeys     = []string{"", "key-a", "key-b"}
)

const (
	// silentEngines is the number of engines of each service: a third of them is two.
	silentEngines = 6
	// shortestSilence and longestSilence bound the silence of an engine, and maxEngineGap the
	// time between two of the same engine at random.
	shortestSilence = 300 * time.Millisecond
	longestSilence  = 1500 * time.Millisecond
	maxEngineGap    = time.Second
	// randomSilences is how long one engine is silent at random times.
	randomSilences = 3 * time.Second
	// maxInTurn limits how many engines are silent in turn.
	maxInTurn = 4
	// betweenSilences separates two SilenceEngines steps, which must not overlap.
	betweenSilences = 100 * time.Millisecond
	// maxSettings limits the series of settings, maxVersions the versions of one, and
	// maxSilentOthers the other steps.
	maxSettings     = 3
	maxVersions     = 8
	maxSilentOthers = 4
	settingsPeriod  = 150 * time.Millisecond
)

// newSilent draws consecutive silences, and stops, settings and other steps beside them.
func newSilent(rng *rand.Rand, length time.Duration) []Step {
	var steps []Step
	for at := time.Second; ; {
		s := Step{Start: at, Kind: SilenceEngines, Index: rng.IntN(maxIndex), Variant: silencePatterns[rng.IntN(len(silencePatterns))], Count: 1}
		s.Duration = shortestSilence + time.Duration(rng.Int64N(int64(longestSilence-shortestSilence)))
		switch s.Variant {
		case inTurn:
			s.Count += rng.IntN(maxInTurn)
			s.Duration *= time.Duration(s.Count)
		case atRandom:
			s.Duration = randomSilences
		case atOnce:
			s.Count = 2 * silentEngines / 3
		}
		if s.Start+s.Duration > length-quiet {
			break
		}
		steps = append(steps, s)
		at += s.Duration + betweenSilences
	}
	begin := func() time.Duration { return time.Duration(rng.Int64N(int64(length - quiet))) }
	for range 1 + rng.IntN(maxSeries) {
		steps = append(steps, newSeries(rng, begin()))
	}
	for range 1 + rng.IntN(maxSettings) {
		steps = append(steps, Step{Start: begin(), Kind: ChangeSettings, Variant: settingsVariants[rng.IntN(len(settingsVariants))], Index: rng.IntN(maxIndex), Count: 2 + rng.IntN(maxVersions-1), Duration: settingsPeriod})
	}
	for range rng.IntN(maxSilentOthers + 1) {
		steps = append(steps, Step{Start: begin(), Kind: silentKinds[rng.IntN(len(silentKinds))], Index: rng.IntN(maxIndex)})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.Start - b.Start) })
	return steps
}

// silencesOf returns the silences of a SilenceEngines step by the index of the engine, among n.
// The engines of the two services alternate.
func (s Step) silencesOf(n int) map[int][]standin.Silence {
	all := map[int][]standin.Silence{}
	for i := range min(s.Count, n) {
		e := (s.Index + i) % n
		switch s.Variant {
		case inTurn:
			each := s.Duration / time.Duration(s.Count)
			all[e] = []standin.Silence{{Start: time.Duration(i) * each, Length: each, Healthy: e%4 < 2}}
		case atRandom:
			rng := rand.New(rand.NewPCG(uint64(s.Start), uint64(s.Index)))
			all[e] = standin.DrawSilences(rng, s.Duration, standin.SilenceBounds{Shortest: shortestSilence, Longest: longestSilence, MaxGap: maxEngineGap})
		default:
			all[e] = []standin.Silence{{Length: s.Duration, Healthy: e%4 < 2}}
		}
	}
	return all
}

// silenceEngines carries out a SilenceEngines step.
func (w *deployment) silenceEngines(s Step) {
	w.mu.Lock()
	for i, silences := range s.silencesOf(len(w.engines)) {
		w.engines[i].FallSilentBy(silences)
	}
	w.mu.Unlock()
	time.Sleep(s.Duration)
}

// limits are settings that a silent play changes.
type limits struct {
	idle, header, timeout time.Duration
	key                   string
}

func (l limits) apply(cfg *standin.Config) {
	cfg.HealthPath, cfg.IdleTimeout, cfg.HeaderTimeout, cfg.ExtraTimeout = standin.HealthPath, l.idle, l.header, l.timeout
	if l.key != "" {
		cfg.Keys = append(cfg.Keys, l.key)
	}
}

// changeSettings carries out a ChangeSettings step. Its last version has the settings of the
// start of the run.
func (w *deployment) changeSettings(s Step) {
	for v := range s.Count {
		w.setLimit(s.Variant, s.Index+v)
		w.publishConfig()
		time.Sleep(s.Duration)
	}
	w.mu.Lock()
	w.limits, w.idle = limits{}, 0
	w.mu.Unlock()
	w.publishConfig()
}

// setLimit sets one of the settings to its nth value.
func (w *deployment) setLimit(variant string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch variant {
	case changeIdle:
		w.limits.idle = idleTimeouts[n%len(idleTimeouts)]
	case changeHeader:
		w.limits.header = headerTimeouts[n%len(headerTimeouts)]
	case changeTimeout:
		w.limits.timeout = extraTimeouts[n%len(extraTimeouts)]
	case changeRoutes:
		w.idle = idleRoutes[n%len(idleRoutes)]
	case changeKeys:
		w.limits.key = extraKeys[n%len(extraKeys)]
	}
}

// silentReply makes plain responses come in two parts, so that a silence can fall between them.
func silentReply(reply func(standin.Run) standin.Reply) func(standin.Run) standin.Reply {
	return func(run standin.Run) standin.Reply {
		p := reply(run)
		if p.Events == 0 && run.URI != standin.HealthPath {
			p.Pause = eventPause
		}
		return p
	}
}
