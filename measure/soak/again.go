package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
)

// Ways of an engine that starts again.
const (
	// clockOn and clockBack are what its clock did meanwhile.
	clockForward = "clock_on"
	clockBack    = "clock_back"
	// lateWord has the last word of its earlier life, that it leaves, come after the
	// first of the later one.
	lateEntry = "late_word"
	// leavesAgain has it say that it leaves before it starts again.
	drainsFirst = "left_before"
)

var (
	restartVariants = []string{clockForward, clockBack, lateEntry, lateEntry, drainsFirst}
	// againGroups is how many engines start again: one, two or all.
	restartGroups   = []int{1, 2, maxIndex}
	foreignVariants = []string{"nothing", "no_json", "no_base64", "seq", "state", "capacity", "born"}
	// restartingKinds is drawn from in a restarting play.
	restartingKinds = slices.Concat(mixedKinds, []Kind{RestartEngines, RestartEngines, RestartEngines, RestartEngines, RestartEngines, ForeignEntry, ForeignEntry, ForeignEntry})
)

const (
	// lateBy is how long after the first word of a later life one of the earlier life
	// may come.
	lateEntryDelay = 100 * time.Millisecond
	// backBy is how far the clock of an engine is set back.
	clockSetBack = time.Hour
)

// startAgain makes engines crash and start again, one after the other.
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

func (w *deployment) restartEngine(i int, how string) {
	w.mu.Lock()
	e := w.engines[i]
	earlier := e.Entry(w.services[i], "draining")
	earlier["address"] = w.links[i].Addr()
	by := time.Second
	if how == clockBack {
		by = -clockSetBack
	}
	if how == drainsFirst {
		w.list(i, "draining")
		w.mu.Unlock()
		time.Sleep(lateEntryDelay)
		w.mu.Lock()
	}
	e.RestartWithClockOffset(by)
	w.list(i, "ready")
	w.rec.addRestart(e.ID())
	w.mu.Unlock()
	if how != lateEntry {
		return
	}
	time.Sleep(lateEntryDelay)
	w.store.Put("servers/"+e.ID(), earlier)
	time.Sleep(lateEntryDelay)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list(i, "ready")
}

// again forgets that an engine left: that was its earlier life.
func (r *record) addRestart(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.drainedAt, id)
	r.restarted[id] = true
}

const (
	// usedWithin is the end of a run in which an engine that started again must be
	// used, if its service has at least usedOf runs then: by chance one of twelve
	// engines is left out by as many once in 4,000,000 runs.
	restartUseWindow  = 5 * time.Second
	restartUseMinRuns = 175
)

// behave returns how an engine answers. In a restarting or copying play engines of plain services
// tell no load: with few requests an entry stays at the one that told it that it is idle,
// and leaves others out that are idle too.
func (w *deployment) behave(way string) func(standin.Run) standin.Reply {
	reply := behave(way)
	switch w.cfg.Play {
	case Ending:
		return crashOn(w.cfg.Seed, reply)
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

// judgeRestarted holds that engines of plain services that started again are used:
// requests go by load there, and none is left out where none tells its own.
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
			r.addViolation("%s started again and got none of the last %d requests of its service", e.ID(), all)
		}
	}
}

// foreign lists an engine that nobody may use, and has such an entry stand in place
// of another engine's for a while.
func (w *deployment) foreign(i int, s Step) {
	decoy, err := standin.NewEngine(fmt.Sprintf("i-decoy-%d-%d", s.Start, s.Index), w.behave(""))
	if err != nil {
		// Without it the run goes on.
		return
	}
	w.rec.mu.Lock()
	w.rec.decoys = append(w.rec.decoys, decoy)
	w.rec.mu.Unlock()
	w.mu.Lock()
	service := w.services[i]
	w.damage(decoy.ID(), decoy.Entry(service, "ready"), s.Variant)
	entry := w.engines[i].Entry(service, "ready")
	entry["address"] = w.links[i].Addr()
	w.damage(w.engines[i].ID(), entry, s.Variant)
	w.mu.Unlock()
	time.Sleep(s.Duration)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list(i, w.rec.state(w.engines[i].ID()))
}

// state returns what an engine was last published as.
func (r *record) state(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, left := r.drainedAt[id]; left {
		return "draining"
	}
	return "ready"
}

// damage writes an entry as another writer does.
func (w *deployment) damage(id string, entry map[string]any, how string) {
	key := "servers/" + id
	switch how {
	case "nothing":
		w.store.Put(key, []byte{})
	case "no_json":
		w.store.Put(key, []byte("\xff\x00"))
	case "no_base64":
		w.store.PutText(key, "%%%")
	case "seq":
		delete(entry, how)
		w.store.Put(key, entry)
	default:
		entry[how] = []string{"x"}
		w.store.Put(key, entry)
	}
}
