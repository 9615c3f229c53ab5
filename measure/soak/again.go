package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
)

// Variants of a restart.
const (
	// The clock of the engine was set forward or back in between.
	clockForward = "clock_on"
	clockBack    = "clock_back"
	// lateEntry publishes the final draining entry of the earlier incarnation after the
	// first entry of the later one.
	lateEntry = "late_word"
	// drainsFirst publishes the engine as draining before the restart.
	drainsFirst = "left_before"
)

var (
	restartVariants = []string{clockForward, clockBack, lateEntry, lateEntry, drainsFirst}
	// restartGroups is how many engines restart: one, two or all.
	restartGroups   = []int{1, 2, maxIndex}
	foreignVariants = []string{"nothing", "no_json", "no_base64", "seq", "state", "capacity", "born"}
	// restartingKinds are the steps of a restarting play.
	restartingKinds = slices.Concat(mixedKinds, []Kind{RestartEngines, RestartEngines, RestartEngines, RestartEngines, RestartEngines, ForeignEntry, ForeignEntry, ForeignEntry})
)

const (
	// lateEntryDelay is how long after the first entry of the later incarnation one of the
	// earlier incarnation may arrive.
	lateEntryDelay = 100 * time.Millisecond
	// clockSetBack is how far the clock of an engine is set back.
	clockSetBack = time.Hour
)

// restartEngines makes engines crash and restart, one after the other.
func (w *deployment) restartEngines(s Step) {
	w.mu.Lock()
	n := len(w.engines)
	w.mu.Unlock()
	var wg sync.WaitGroup
	for k := range min(s.Count, n) {
		wg.Go(func() { w.restartEngine((s.Index+k)%n, s.Variant) })
		time.Sleep(min(s.Duration/time.Duration(n), lateEntryDelay))
	}
	wg.Wait()
}

func (w *deployment) restartEngine(i int, variant string) {
	w.mu.Lock()
	e := w.engines[i]
	earlier := e.Entry(w.services[i], "draining")
	earlier["address"] = w.links[i].Addr()
	by := time.Second
	if variant == clockBack {
		by = -clockSetBack
	}
	if variant == drainsFirst {
		w.publishEngine(i, "draining")
		w.mu.Unlock()
		time.Sleep(lateEntryDelay)
		w.mu.Lock()
	}
	e.RestartWithClockOffset(by)
	w.publishEngine(i, "ready")
	w.rec.addRestart(e.ID())
	w.mu.Unlock()
	if variant != lateEntry {
		return
	}
	time.Sleep(lateEntryDelay)
	w.store.Put("servers/"+e.ID(), earlier)
	time.Sleep(lateEntryDelay)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.publishEngine(i, "ready")
}

// addRestart records a restart. The engine no longer counts as draining, since its earlier
// incarnation did.
func (r *record) addRestart(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.drainedAt, id)
	r.restarted[id] = true
}

const (
	// restartUseWindow is the end of a run in which a restarted engine must receive
	// requests, if its service has at least restartUseMinRuns runs then: with that many,
	// one of twelve engines gets none by chance once in 4,000,000 runs.
	restartUseWindow  = 5 * time.Second
	restartUseMinRuns = 175
)

// behave returns the behavior of an engine. In a restarting or copying play, engines of
// plain services report no load: with few requests, a gate stays with the engine that
// reported itself idle and leaves out others that are idle, too.
func (w *deployment) behave(variant string) func(standin.Run) standin.Reply {
	reply := behave(variant)
	switch w.cfg.Play {
	case Ending, Sharing:
		return crashOn(w.cfg.Seed, reply)
	case Silent:
		return silentReply(reply)
	case Crowding:
		return crowded(reply)
	case Leaving:
		return endsUnframed(reply)
	case Restarting, Copying:
	default:
		return reply
	}
	return func(run standin.Run) standin.Reply {
		p := reply(run)
		if p.Events == 0 {
			p.Load = ""
		}
		return p
	}
}

// judgeRestarted checks that restarted engines of plain services receive requests: requests
// are routed by load there, and no engine is left out if none reports its load.
func (r *record) judgeRestarted(engines []*standin.Engine, services []string) {
	from := r.ended.Add(-restartUseWindow)
	runs, all := map[string]int{}, 0
	for i, e := range engines {
		if services[i] != "api" {
			continue
		}
		for _, run := range e.Runs() {
			if run.ArrivedAt.After(from) {
				runs[e.ID()]++
				all++
			}
		}
	}
	for i, e := range engines {
		if services[i] == "api" && r.restarted[e.ID()] && runs[e.ID()] == 0 && all >= restartUseMinRuns {
			r.addViolation("%s restarted and received none of the last %d requests of its service", e.ID(), all)
		}
	}
}

// publishForeign publishes an engine with an invalid entry, which no one may use, and
// replaces the entry of another engine by such an entry for a while.
func (w *deployment) publishForeign(i int, s Step) {
	decoy, err := standin.NewEngine(fmt.Sprintf("i-decoy-%d-%d", s.Start, s.Index), w.behave(""))
	if err != nil {
		// The run continues without it.
		return
	}
	w.rec.mu.Lock()
	w.rec.decoys = append(w.rec.decoys, decoy)
	w.rec.mu.Unlock()
	w.mu.Lock()
	service := w.services[i]
	w.publishInvalid(decoy.ID(), decoy.Entry(service, "ready"), s.Variant)
	entry := w.engines[i].Entry(service, "ready")
	entry["address"] = w.links[i].Addr()
	w.publishInvalid(w.engines[i].ID(), entry, s.Variant)
	w.mu.Unlock()
	time.Sleep(s.Duration)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.publishEngine(i, w.rec.state(w.engines[i].ID()))
}

// state returns the state that was last published for an engine.
func (r *record) state(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, left := r.drainedAt[id]; left {
		return "draining"
	}
	return "ready"
}

// publishInvalid writes an invalid entry, as a foreign writer would.
func (w *deployment) publishInvalid(id string, entry map[string]any, variant string) {
	key := "servers/" + id
	switch variant {
	case "nothing":
		w.store.Put(key, []byte{})
	case "no_json":
		w.store.Put(key, []byte("\xff\x00"))
	case "no_base64":
		w.store.PutText(key, "%%%")
	case "seq":
		delete(entry, variant)
		w.store.Put(key, entry)
	default:
		entry[variant] = []string{"x"}
		w.store.Put(key, entry)
	}
}
