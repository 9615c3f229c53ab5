package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/weldfall/weldfall/review/lab"
)

// confirmed is an engine that said that it drains, and when the store confirmed that.
type confirmed struct {
	engine *lab.Engine
	at     time.Time
}

// lateRuns records the requests that reached an engine more than bound after the store
// confirmed that the engine drains, and returns their number. Requests from the gates in
// except, which are not in touch, don't count.
func lateRuns(l *lab.Lab, drained []confirmed, bound time.Duration, except ...string) int {
	n := 0
	for _, d := range drained {
		for _, r := range d.engine.Runs() {
			late := r.At.Sub(d.at)
			gate, _, _ := strings.Cut(r.ID, "-")
			if late <= bound {
				continue
			}
			counts := !slices.Contains(except, gate)
			if counts {
				n++
			}
			l.Recordf("request %s reached engine %s %d ms after its draining was confirmed, bound %d ms, counts %t", r.ID, r.Engine, late.Milliseconds(), bound.Milliseconds(), counts)
		}
	}
	return n
}

// startEngines starts engines with the given IDs and lists them as ready.
func startEngines(l *lab.Lab, service string, ids ...string) ([]*lab.Engine, error) {
	var out []*lab.Engine
	for _, id := range ids {
		e, err := l.StartEngine(id, engineWork)
		if err != nil {
			return nil, err
		}
		e.List(service, "ready")
		out = append(out, e)
	}
	return out, nil
}

// engineWork is how long an engine works on a request.
const engineWork = 20 * time.Millisecond

// startGates starts gates that know each other's addresses as seeds. bounds returns those of the
// gate with index i, and store the address at which a gate reaches the store.
func startGates(l *lab.Lab, n int, bounds func(i int) lab.Bounds, store func(g *lab.Gate, all []*lab.Gate) (string, error)) ([]*lab.Gate, error) {
	// Each gate serves its metrics at the same port, so runs side by side need other addresses.
	network := 10 + os.Getpid()%240
	var gates []*lab.Gate
	var seeds []string
	for i := range n {
		g, err := l.Plan(fmt.Sprintf("g%02d", i+1), fmt.Sprintf("127.0.%d.%d", network, i+1))
		if err != nil {
			return nil, err
		}
		gates = append(gates, g)
		if i < maxSeeds {
			seeds = append(seeds, g.Control)
		}
	}
	for i, g := range gates {
		addr, err := store(g, gates)
		if err != nil {
			return nil, err
		}
		g.SetStore(addr)
		g.SetSeeds(seeds)
		if err := g.Start(bounds(i)); err != nil {
			return nil, err
		}
	}
	if !l.AwaitReady(20 * time.Second) {
		return nil, fmt.Errorf("the gates did not become ready")
	}
	return gates, nil
}

// maxSeeds is how many machines the settings of the platform name as seeds at most.
const maxSeeds = 3
