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
	// crashingParts is the number of parts of prompts that crash engines. Requests with them
	// differ in all else, and come to random gates.
	crashingParts = 2
	// crashingPart is the start of their IDs.
	crashingPart = "dead"
	// partKnownAfterCrashes is the number of crashes under a part after which gates must know it.
	partKnownAfterCrashes = 5
)

// sharingPaths are the routes to model engines.
var sharingPaths = []string{"/chat/", "/resume/"}

// callSharing sends requests that share a part which crashes engines.
func (w *deployment) callSharing(k int) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(k)+sharingCallersFrom))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerPatience}
	time.Sleep(time.Duration(k) * crashingStartGap)
	for n := 0; w.ctx.Err() == nil; n++ {
		g := rng.IntN(len(w.gates))
		id := fmt.Sprintf("s%dn%d", k, n)
		a := request{
			gate: g, id: id, path: sharingPaths[rng.IntN(len(sharingPaths))] + id, crashBody: "the body of " + id, crashPart: fmt.Sprint(crashingPart, k),
			key: keyValid, proto: library, sent: time.Now(),
		}
		a = w.send(client, w.gates[g].callersAddr, a)
		w.rec.addRequest(a.finish())
		time.Sleep(time.Duration(rng.Int64N(int64(crashingMaxPause))))
	}
}

// sharingCallersFrom separates these random sequences from those of other callers.
const sharingCallersFrom = 1 << 36

// crashingPartOf returns the part of a prompt that crashes engines, "" if there is none.
func crashingPartOf(run standin.Run) string {
	for part := range strings.SplitSeq(run.Prompt(), ",") {
		if id, _, _ := strings.Cut(part, ":"); strings.HasPrefix(id, crashingPart) {
			return id
		}
	}
	return ""
}

// judgeCrashingParts checks that requests with a part that crashes engines reach few engines once
// all gates must know the part.
func (r *record) judgeCrashingParts(engines []*standin.Engine) {
	gates := map[string]int{}
	for _, a := range r.requests {
		gates[a.id] = a.gate
	}
	arrived := map[string][]*standin.Run{}
	for _, e := range engines {
		for _, run := range e.Runs() {
			if part := crashingPartOf(*run); part != "" {
				arrived[part] = append(arrived[part], run)
			}
		}
	}
	for part, runs := range arrived {
		if len(runs) < partKnownAfterCrashes {
			continue
		}
		slices.SortFunc(runs, func(a, b *standin.Run) int { return a.ArrivedAt.Compare(b.ArrivedAt) })
		from, late := runs[partKnownAfterCrashes-1].ArrivedAt.Add(crashDelay+crashKnownAfter), 0
		for _, run := range runs {
			if run.ArrivedAt.After(from) && !r.disturbedBefore(gates[run.ID], run.ArrivedAt) {
				late++
			}
		}
		if late > maxLateArrivals {
			r.addViolation("requests with part %s reached %d engines, %d after all gates had to know it, want at most %d", part, len(runs), late, maxLateArrivals)
		}
	}
}
