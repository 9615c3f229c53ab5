package integration_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/weldfall/weldfall/internal/fleettest"
)

// Guards against a request that crashes each engine being offered to a further engine
// whenever its caller retries it. Entries took the crash for a failure of that engine
// alone, and daemons reported no more than that. The test sends the same body through all
// entries, with a new ID each time.

const crashMarker = "ends-engines"

// crashFleet is a fleet whose targets crash when they start to run a marked request, and
// are restarted at once.
type crashFleet struct {
	f       *fleettest.Fleet
	targets []*fleettest.Process
	start   func(i int, addr string) *fleettest.Process
	crashes []time.Time
}

// restartTargets restarts the targets that have exited.
func (e *crashFleet) restartTargets() {
	for i, p := range e.targets {
		if p.Exited() {
			e.crashes = append(e.crashes, time.Now())
			e.targets[i] = e.start(i, p.Addr)
		}
	}
}

// send sends a request and restarts the targets that crashed.
func (e *crashFleet) send(q request) response {
	start := time.Now()
	a := q.send()
	wait(20)
	e.restartTargets()
	time.Sleep(time.Until(start.Add(150 * time.Millisecond)))
	return a
}

func TestCrashingRequestIsHeldBack(t *testing.T) {
	args := []string{"--ends-on", crashMarker}
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
			func(int) request { return chat(nil, chatBody(true, 5, crashMarker)) },
			func(i int) request { return chat(nil, chatBody(true, 5, fmt.Sprintf("other %d", i))) },
			func(f *fleettest.Fleet) ([]*fleettest.Process, func(i int, addr string) *fleettest.Process) {
				return f.Engines, f.StartEngineAt
			},
		},
		"a service": {
			func(int) request { return service(crashMarker) },
			func(int) request { return service("pay") },
			func(f *fleettest.Fleet) ([]*fleettest.Process, func(i int, addr string) *fleettest.Process) {
				return f.Services, f.StartServiceAt
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleettest.Start(t, spec)
			e := &crashFleet{f: f}
			e.targets, e.start = k.targets(f)
			i := 0
			ask := func() response {
				q := k.ask(i)
				q.entry = f.Entries[i%len(f.Entries)]
				i++
				return e.send(q)
			}
			for len(e.crashes) < 3 && i < 20 {
				ask()
			}
			wait(3000)
			before, served, refused := len(e.crashes), 0, 0
			for range 20 {
				if a := ask(); a.status == 503 && a.verdict == "not_run" && a.header.Get("Retry-After") != "" {
					refused++
				}
				q := k.other(i)
				q.entry = f.Entries[i%len(f.Entries)]
				if a := e.send(q); a.status == 200 {
					served++
				}
			}
			if got := len(e.crashes) - before; got > 3 {
				t.Errorf("got %d crashed engines after all entries had to know the request, want at most 3", got)
			}
			if len(e.crashes) > 8 {
				t.Errorf("got %d crashed engines, want at most 8", len(e.crashes))
			}
			if refused < 17 {
				t.Errorf("got %d of 20 refused with not_run and Retry-After, want at least 17", refused)
			}
			if served != 20 {
				t.Errorf("got %d of 20 other requests served, want all", served)
			}
			if log := f.Entries[0].Log() + f.Entries[1].Log(); !strings.Contains(log, "msg=held_back") {
				t.Error("got no held_back line, want some")
			}
		})
	}
}
