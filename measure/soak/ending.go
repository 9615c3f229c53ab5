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
	// crashingRequests is the number of requests that crash the engines which run them.
	// Each is sent repeatedly with new IDs to random gates.
	crashingRequests = 4
	// crashingStartGap is the time between the first attempts of two of these requests.
	crashingStartGap = 2 * time.Second
	// crashingMaxPause limits the time between two attempts.
	crashingMaxPause = 900 * time.Millisecond
	// crashingMark is part of their paths.
	crashingMark = "ends-"
	// crashDowntime limits how long a crashed engine is away.
	crashDowntime = 1200 * time.Millisecond
	// crashDelay limits how long it runs before it crashes.
	crashDelay = 120 * time.Millisecond
	// crashKnownAfter is the time after the third crash at which all undisturbed gates must
	// know the request, and maxLateArrivals how often it may reach engines after that.
	crashKnownAfter = 3 * time.Second
	maxLateArrivals = 3
)

// endingKinds are the steps of an ending play. Engines are reached without a proxy there,
// which would accept connections while the engine is away.
var endingKinds = []Kind{Kill, Kill, Pause, Stop, Stop, Reload, StoreFault, Compact, StoreLink, EngineFault, EngineFault, DrainEngine, AddEngine, PublishConfig, Series, SilentStoreConns}

// crashingPaths has routes of all kinds.
var crashingPaths = []string{"/safe/", "/chat/", "/unsafe/", "/resume/"}

// callCrashing sends a request that crashes engines again and again.
func (w *deployment) callCrashing(k int) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(k)+crashingCallersFrom))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerPatience}
	time.Sleep(time.Duration(k) * crashingStartGap)
	path := fmt.Sprintf("%s%s%d", crashingPaths[k%len(crashingPaths)], crashingMark, k)
	for n := 0; w.ctx.Err() == nil; n++ {
		g := rng.IntN(len(w.gates))
		a := request{gate: g, id: fmt.Sprintf("e%dn%d", k, n), path: path, crashBody: path, key: keyValid, proto: library, sent: time.Now()}
		a = w.send(client, w.gates[g].callersAddr, a)
		w.rec.addRequest(a.finish())
		time.Sleep(time.Duration(rng.Int64N(int64(crashingMaxPause))))
	}
}

// crashingCallersFrom separates these random sequences from those of other callers.
const crashingCallersFrom = 1 << 33

// crashOn returns the behavior of an engine in an ending play.
func crashOn(seed uint64, reply func(standin.Run) standin.Reply) func(standin.Run) standin.Reply {
	return func(run standin.Run) standin.Reply {
		if !strings.Contains(run.URI, crashingMark) && crashingPartOf(run) == "" {
			return reply(run)
		}
		rng := rand.New(rand.NewPCG(seed, uint64(len(run.ID))))
		return standin.Reply{Crash: true, Wait: time.Duration(rng.Int64N(int64(crashDelay))), Down: crashDowntime/4 + time.Duration(rng.Int64N(int64(crashDowntime)))}
	}
}

// judgeCrashingRequests checks that requests which crash engines reach few engines once all
// gates must know them.
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
			r.addViolation("%s crashed %d engines and reached %d after all gates had to know it, want at most %d", uri, len(times), late, maxLateArrivals)
		}
	}
}

// disturbedBefore reports whether a gate was disturbed or stopped shortly before a time.
func (r *record) disturbedBefore(gate int, at time.Time) bool {
	from := at.Add(-crashKnownAfter)
	disturbed := slices.ContainsFunc(r.disturbances, func(t disturbance) bool {
		return t.gate == gate && t.from.Before(at) && t.until.After(from)
	})
	return disturbed || slices.ContainsFunc(r.stops, func(s plannedStop) bool { return s.gate == gate && s.signaledAt.Before(at) && s.exitedAt.After(from) })
}

// addCrashDisturbances records the crashes of engines as disturbances, so that the
// responses broken by them are not attributed to planned stops.
func (r *record) addCrashDisturbances(engines []*standin.Engine) {
	for _, e := range engines {
		for _, at := range e.Crashes() {
			r.addDisturbance(disturbance{kind: RestartEngines, gate: everyGate, from: at.Add(-time.Millisecond), until: at.Add(crashDowntime)})
		}
	}
}
