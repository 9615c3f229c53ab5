package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
)

const (
	// endingRequests is how many requests there are that end the engines which begin
	// them. Each comes again under new ids, to any gate.
	crashingRequests = 4
	// endingApart is how long after one of them the next first comes.
	crashingStartGap = 2 * time.Second
	// endingEvery bounds the time between two attempts.
	crashingMaxPause = 900 * time.Millisecond
	// endingMark stands in their paths.
	crashingMark = "ends-"
	// endedDown bounds how long an engine is away that one of them ended.
	crashDowntime = 1200 * time.Millisecond
	// endsAfter bounds how long it runs before.
	crashDelay = 120 * time.Millisecond
	// contact is how long after its third end a request must be known to all gates that
	// had no trouble meanwhile, and endedMost is how often it may reach engines then.
	crashKnownAfter = 3 * time.Second
	maxLateArrivals = 3
)

// endingKinds is drawn from in an ending play. Engines are reached without a link there,
// which would take connections while they are away.
var endingKinds = []Kind{Kill, Kill, Pause, Stop, Stop, Reload, StoreFault, Compact, StoreLink, EngineFault, EngineFault, DrainEngine, AddEngine, PublishConfig, Series, SilentStoreConns}

// endingPaths are the ways of requests of all kinds.
var crashingPaths = []string{"/safe/", "/chat/", "/unsafe/", "/resume/"}

// callEnding sends one request that ends engines again and again.
func (w *deployment) callCrashing(k int) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(k)+crashingCallersFrom))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerPatience}
	time.Sleep(time.Duration(k) * crashingStartGap)
	path := fmt.Sprintf("%s%s%d", crashingPaths[k%len(crashingPaths)], crashingMark, k)
	for n := 0; w.ctx.Err() == nil; n++ {
		g := rng.IntN(len(w.gates))
		a := request{gate: g, id: fmt.Sprintf("e%dn%d", k, n), path: path, crashBody: path, key: keyKept, proto: library, sent: time.Now()}
		a = w.send(client, w.gates[g].callers, a)
		w.rec.add(a.finish())
		time.Sleep(time.Duration(rng.Int64N(int64(crashingMaxPause))))
	}
}

// endingFrom keeps the draws of callEnding from those of other callers.
const crashingCallersFrom = 1 << 33

// endsOn returns how an engine answers in an ending play.
func crashOn(seed uint64, reply func(standin.Run) standin.Reply) func(standin.Run) standin.Reply {
	return func(run standin.Run) standin.Reply {
		if !strings.Contains(run.URI, crashingMark) {
			return reply(run)
		}
		rng := rand.New(rand.NewPCG(seed, uint64(len(run.ID))))
		return standin.Reply{Crash: true, Wait: time.Duration(rng.Int64N(int64(crashDelay))), Down: crashDowntime/4 + time.Duration(rng.Int64N(int64(crashDowntime)))}
	}
}

// judgeEnding holds that requests which end engines reach few of them once all gates must
// know, and that what broke off with an engine is not laid to stops.
func (r *record) judgeCrashingRequests(engines []*standin.Engine) {
	gates := map[string]int{}
	for _, a := range r.requests {
		gates[a.id] = a.gate
	}
	arrived := map[string][]*standin.Run{}
	ended := map[string][]time.Time{}
	for _, e := range engines {
		for _, run := range e.Runs() {
			if strings.Contains(run.URI, crashingMark) {
				arrived[run.URI] = append(arrived[run.URI], run)
				ended[run.URI] = append(ended[run.URI], run.ArrivedAt.Add(crashDelay))
			}
		}
	}
	for uri, times := range ended {
		if len(times) < 3 {
			continue
		}
		slices.SortFunc(times, time.Time.Compare)
		from, late := times[2].Add(crashKnownAfter), 0
		for _, run := range arrived[uri] {
			if run.ArrivedAt.After(from) && !r.disturbedBefore(gates[run.ID], run.ArrivedAt) {
				late++
			}
		}
		if late > maxLateArrivals {
			r.addViolation("%s ended %d engines and reached %d once all must know, want at most %d", uri, len(times), late, maxLateArrivals)
		}
	}
}

// outOfTouch reports whether a gate was struck or stopped shortly before.
func (r *record) disturbedBefore(gate int, at time.Time) bool {
	from := at.Add(-crashKnownAfter)
	disturbed := slices.ContainsFunc(r.disturbances, func(t disturbance) bool {
		return t.gate == gate && t.from.Before(at) && t.until.After(from)
	})
	return disturbed || slices.ContainsFunc(r.stops, func(s plannedStop) bool { return s.gate == gate && s.signaledAt.Before(at) && s.exitedAt.After(from) })
}

// noteCrashes tells of the ends of engines as troubles.
func (r *record) addCrashDisturbances(engines []*standin.Engine) {
	for _, e := range engines {
		for _, at := range e.Crashes() {
			r.addDisturbance(disturbance{kind: RestartEngines, gate: everyGate, from: at.Add(-time.Millisecond), until: at.Add(crashDowntime)})
		}
	}
}
