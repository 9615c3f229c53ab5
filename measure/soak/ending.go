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
	endingRequests = 4
	// endingApart is how long after one of them the next first comes.
	endingApart = 2 * time.Second
	// endingEvery bounds the time between two attempts.
	endingEvery = 900 * time.Millisecond
	// endingMark stands in their paths.
	endingMark = "ends-"
	// endedDown bounds how long an engine is away that one of them ended.
	endedDown = 1200 * time.Millisecond
	// endsAfter bounds how long it runs before.
	endsAfter = 120 * time.Millisecond
	// contact is how long after its third end a request must be known to all gates that
	// had no trouble meanwhile, and endedMost is how often it may reach engines then.
	contact   = 3 * time.Second
	endedMost = 3
)

// endingKinds is drawn from in an ending play. Engines are reached without a link there,
// which would take connections while they are away.
var endingKinds = []Kind{Kill, Kill, Pause, Stop, Stop, Reload, Store, Compact, StoreLink, Engine, Engine, Leave, Join, Publish, Series, SilentStore}

// endingPaths are the ways of requests of all kinds.
var endingPaths = []string{"/safe/", "/chat/", "/unsafe/", "/resume/"}

// callEnding sends one request that ends engines again and again.
func (w *world) callEnding(k int) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(k)+endingFrom))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerPatience}
	time.Sleep(time.Duration(k) * endingApart)
	path := fmt.Sprintf("%s%s%d", endingPaths[k%len(endingPaths)], endingMark, k)
	for n := 0; w.ctx.Err() == nil; n++ {
		g := rng.IntN(len(w.gates))
		a := asked{gate: g, id: fmt.Sprintf("e%dn%d", k, n), path: path, marked: path, key: keyKept, by: library, sent: time.Now()}
		a = w.ask(client, w.gates[g].callers, a)
		w.rec.add(a.done())
		time.Sleep(time.Duration(rng.Int64N(int64(endingEvery))))
	}
}

// endingFrom keeps the draws of callEnding from those of other callers.
const endingFrom = 1 << 33

// endsOn returns how an engine answers in an ending play.
func endsOn(seed uint64, reply func(standin.Run) standin.Reply) func(standin.Run) standin.Reply {
	return func(run standin.Run) standin.Reply {
		if !strings.Contains(run.URI, endingMark) {
			return reply(run)
		}
		rng := rand.New(rand.NewPCG(seed, uint64(len(run.ID))))
		return standin.Reply{Crash: true, Wait: time.Duration(rng.Int64N(int64(endsAfter))), Down: endedDown/4 + time.Duration(rng.Int64N(int64(endedDown)))}
	}
}

// judgeEnding holds that requests which end engines reach few of them once all gates must
// know, and that what broke off with an engine is not laid to stops.
func (r *record) judgeEnding(engines []*standin.Engine) {
	gates := map[string]int{}
	for _, a := range r.asked {
		gates[a.id] = a.gate
	}
	arrived := map[string][]*standin.Run{}
	ended := map[string][]time.Time{}
	for _, e := range engines {
		for _, run := range e.Runs() {
			if strings.Contains(run.URI, endingMark) {
				arrived[run.URI] = append(arrived[run.URI], run)
				ended[run.URI] = append(ended[run.URI], run.ArrivedAt.Add(endsAfter))
			}
		}
	}
	for uri, times := range ended {
		if len(times) < 3 {
			continue
		}
		slices.SortFunc(times, time.Time.Compare)
		from, late := times[2].Add(contact), 0
		for _, run := range arrived[uri] {
			if run.ArrivedAt.After(from) && !r.outOfTouch(gates[run.ID], run.ArrivedAt) {
				late++
			}
		}
		if late > endedMost {
			r.breaks("%s ended %d engines and reached %d once all must know, want at most %d", uri, len(times), late, endedMost)
		}
	}
}

// outOfTouch reports whether a gate was struck or stopped shortly before.
func (r *record) outOfTouch(gate int, at time.Time) bool {
	from := at.Add(-contact)
	struck := slices.ContainsFunc(r.troubles, func(t trouble) bool {
		return t.gate == gate && t.from.Before(at) && t.until.After(from)
	})
	return struck || slices.ContainsFunc(r.stops, func(s stopped) bool { return s.gate == gate && s.at.Before(at) && s.gone.After(from) })
}

// noteCrashes tells of the ends of engines as troubles.
func (r *record) noteCrashes(engines []*standin.Engine) {
	for _, e := range engines {
		for _, at := range e.Crashes() {
			r.trouble(trouble{kind: Again, gate: everyGate, from: at.Add(-time.Millisecond), until: at.Add(endedDown)})
		}
	}
}
