package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/weldfall/weldfall/review/lab"
)

func init() { cases["reload"] = reloadedBound }

const (
	// longDrainMs and shortDrainMs are the bounds for draining engines before and after the
	// change of the settings.
	longDrainMs  = 5000
	shortDrainMs = 2000
	// reloadRounds is how often an engine is replaced after it.
	reloadRounds = 4
)

// reloadedBound checks DRAIN after a change of the settings of one of two gates, announced by
// SIGHUP, that lowers drainMs. The other gate starts with the lower bound, and so does the first
// without the disruption.
func reloadedBound(l *lab.Lab) (broken bool, err error) {
	const service = "api"
	l.Publish("op/config", lab.Config(1, []map[string]any{lab.Route("r-safe", "/safe/", "safe", service, 2)}, service))
	engines, err := startEngines(l, service, "i-a", "i-b", "i-c")
	if err != nil {
		return false, err
	}
	bounds := func(i int) lab.Bounds {
		if l.Trouble && i == 0 {
			return lab.Bounds{DrainMs: longDrainMs}
		}
		return lab.Bounds{DrainMs: shortDrainMs}
	}
	gates, err := startGates(l, 2, bounds, func(*lab.Gate, []*lab.Gate) (string, error) { return l.StoreAddr, nil })
	if err != nil {
		return false, err
	}
	g := gates[0]
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers []*lab.Caller
	for _, g := range gates {
		c := l.NewCaller(g)
		c.Repeat(ctx, 20*time.Millisecond, lab.Request{Path: "/safe/x", Key: lab.Key, Body: []byte("question"), Deadline: 3 * time.Second})
		callers = append(callers, c)
	}
	time.Sleep(3 * time.Second)
	if l.Trouble {
		l.Recordf("the settings have drainMs = %d now", shortDrainMs)
		if err := g.WriteSettings(lab.Bounds{DrainMs: shortDrainMs}); err != nil {
			return false, err
		}
		if err := g.Signal(syscall.SIGHUP); err != nil {
			return false, err
		}
	}
	// All bounds of the change are over by then.
	time.Sleep(12 * time.Second)
	var drained []confirmed
	for i := range reloadRounds {
		next, err := l.StartEngine(fmt.Sprintf("i-new%d", i+1), engineWork)
		if err != nil {
			return false, err
		}
		next.List(service, "ready")
		time.Sleep(100 * time.Millisecond)
		old := engines[i]
		drained = append(drained, confirmed{old, old.List(service, "draining")})
		engines = append(engines, next)
		time.Sleep(6 * time.Second)
		old.Unlist()
		time.Sleep(3 * time.Second)
	}
	stop()
	for i, c := range callers {
		l.RecordCounts(gates[i].Name, c.Wait())
	}
	g.RecordLog("reload", "bounds_in_force", "change=leaving")
	return lateRuns(l, drained, shortDrainMs*time.Millisecond) > 0, nil
}
