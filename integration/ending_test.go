package integration_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/weldfall/weldfall/internal/fleettest"
)

// Requests that end engines, on the way over daemons.
//
// Seen: one request that ends each engine which begins it was offered to the next engine
// each time its caller sent it again. Cause: entries took the end of an engine for a
// failure of that engine alone, and daemons told them no more than that. Proof: the same
// body at whichever entry, under a new id each time, and an engine ends with each try.

const endsEngines = "ends-engines"

// endings is a fleet whose targets end when they begin a marked request, and are
// started again at once.
type endings struct {
	f       *fleettest.Fleet
	targets []*fleettest.Process
	start   func(i int, addr string) *fleettest.Process
	ends    []time.Time
}

// revive starts the targets again that have ended.
func (e *endings) revive() {
	for i, p := range e.targets {
		if p.Exited() {
			e.ends = append(e.ends, time.Now())
			e.targets[i] = e.start(i, p.Addr)
		}
	}
}

// try sends a request and lets the targets come back that ended.
func (e *endings) try(q request) answer {
	start := time.Now()
	a := q.send()
	wait(20)
	e.revive()
	time.Sleep(time.Until(start.Add(150 * time.Millisecond)))
	return a
}

func TestARequestThatEndsEnginesIsHeldBackOverDaemonsToo(t *testing.T) {
	args := []string{"--ends-on", endsEngines}
	spec := fleettest.Spec{Engines: 5, Services: 5, Entries: 2, EngineArgs: append([]string{"--gap-ms", "5"}, args...), ServiceArgs: args, Direct: true}
	service := func(body string) request {
		return request{path: "/services/desk/fees?ref=7", key: fleettest.Key("planning", "ws0"), body: body}
	}
	for name, k := range map[string]struct {
		ask     func(i int) request
		other   func(i int) request
		targets func(f *fleettest.Fleet) ([]*fleettest.Process, func(i int, addr string) *fleettest.Process)
	}{
		"a chat": {
			func(int) request { return chat(nil, chatBody(true, 5, endsEngines)) },
			func(i int) request { return chat(nil, chatBody(true, 5, fmt.Sprintf("other %d", i))) },
			func(f *fleettest.Fleet) ([]*fleettest.Process, func(i int, addr string) *fleettest.Process) {
				return f.Engines, f.StartEngineAt
			},
		},
		"a service": {
			func(int) request { return service(endsEngines) },
			func(int) request { return service("pay") },
			func(f *fleettest.Fleet) ([]*fleettest.Process, func(i int, addr string) *fleettest.Process) {
				return f.Services, f.StartServiceAt
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleettest.Start(t, spec)
			e := &endings{f: f}
			e.targets, e.start = k.targets(f)
			i := 0
			ask := func() answer {
				q := k.ask(i)
				q.entry = f.Entries[i%len(f.Entries)]
				i++
				return e.try(q)
			}
			for len(e.ends) < 3 && i < 20 {
				ask()
			}
			wait(3000)
			before, served, refused := len(e.ends), 0, 0
			for range 20 {
				if a := ask(); a.status == 503 && a.verdict == "not_run" && a.header.Get("Retry-After") != "" {
					refused++
				}
				q := k.other(i)
				q.entry = f.Entries[i%len(f.Entries)]
				if a := e.try(q); a.status == 200 {
					served++
				}
			}
			if got := len(e.ends) - before; got > 3 {
				t.Errorf("got %d engines that ended once all must know, want at most 3", got)
			}
			if len(e.ends) > 8 {
				t.Errorf("got %d engines that ended, want at most 8", len(e.ends))
			}
			if refused < 17 {
				t.Errorf("got %d of 20 refused as not run with when to come back, want 17 at least", refused)
			}
			if served != 20 {
				t.Errorf("got %d of 20 other requests served, want all", served)
			}
			if log := f.Entries[0].Log() + f.Entries[1].Log(); !strings.Contains(log, "msg=held_back") {
				t.Error("got no line of a request that is held back, want some")
			}
		})
	}
}
