package main

import (
	"context"
	"fmt"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/internal/proxy"
	"github.com/weldfall/weldfall/review/lab"
)

func init() { cases["silenced"] = silencedEntry }

const (
	// silencedGates is the number of gates, which is that of the site's sheet.
	silencedGates = 9
	// silencedRounds is how often the store falls silent for the first gate.
	silencedRounds = 5
	// silenceFor is how long it does, and silencePeriod the time from one to the next.
	silenceFor    = 6 * time.Second
	silencePeriod = 14 * time.Second
)

// silencedBounds are those of the site's sheet.
var silencedBounds = lab.Bounds{ContactMs: 4000, DrainMs: 3000, ConfigMs: 3000}

// silencedEntry checks DRAIN at the other gates while the store answers one gate with silence:
// the one that ranks first, which confirms the engine list for all.
func silencedEntry(l *lab.Lab) (broken bool, err error) {
	const service = "api"
	l.Publish("op/config", lab.Config(1, []map[string]any{lab.Route("r-safe", "/safe/", "safe", service, 2)}, service))
	engines, err := startEngines(l, service, "i-a", "i-b", "i-c")
	if err != nil {
		return false, err
	}
	link, err := proxy.New(l.StoreAddr)
	if err != nil {
		return false, err
	}
	defer link.Close()
	first := ""
	gates, err := startGates(l, silencedGates, func(int) lab.Bounds { return silencedBounds }, func(g *lab.Gate, all []*lab.Gate) (string, error) {
		if first = firstRanked(all).Name; g.Name == first {
			return link.Addr(), nil
		}
		return l.StoreAddr, nil
	})
	if err != nil {
		return false, err
	}
	l.Recordf("gate %s ranks first", first)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers []*lab.Caller
	for _, g := range gates {
		c := l.NewCaller(g)
		c.Repeat(ctx, 40*time.Millisecond, lab.Request{Path: "/safe/x", Key: lab.Key, Body: []byte("question"), Deadline: 3 * time.Second})
		callers = append(callers, c)
	}
	time.Sleep(10 * time.Second)
	var drained []confirmed
	for i := range silencedRounds {
		e, err := replaceEngine(l, service, engines[i], fmt.Sprintf("i-new%d", i+1), link)
		if err != nil {
			return false, err
		}
		drained = append(drained, confirmed{engines[i], e.drainedAt})
		engines = append(engines, e.next)
	}
	stop()
	for i, c := range callers {
		l.RecordCounts(gates[i].Name, c.Wait())
	}
	for _, g := range gates {
		g.RecordLog("change=leaving", "store_lost", "store_regained")
	}
	return lateRuns(l, drained, 3*time.Second, first) > 0, nil
}

// replaced is the result of replaceEngine.
type replaced struct {
	next      *lab.Engine
	drainedAt time.Time
}

// replaceEngine starts a new engine, then drains an old one and takes it away, as a rollout
// does. With the disruption, the store falls silent for the gate behind the link in between.
func replaceEngine(l *lab.Lab, service string, old *lab.Engine, id string, link *proxy.Link) (replaced, error) {
	next, err := l.StartEngine(id, engineWork)
	if err != nil {
		return replaced{}, err
	}
	began := time.Now()
	next.List(service, "ready")
	time.Sleep(500 * time.Millisecond)
	if l.Trouble {
		l.Recordf("the store is silent to the first gate")
		link.SetFault(proxy.Cut)
	}
	time.Sleep(300 * time.Millisecond)
	at := old.List(service, "draining")
	time.Sleep(silenceFor)
	if l.Trouble {
		l.Recordf("the store answers the first gate again")
		link.SetFault(proxy.Resets)
		link.SetFault(proxy.NoFault)
	}
	old.Unlist()
	time.Sleep(silencePeriod - time.Since(began))
	return replaced{next, at}, nil
}

// firstRanked returns the gate that ranks first among its peers, by the hash of its address.
func firstRanked(all []*lab.Gate) *lab.Gate {
	first := all[0]
	for _, g := range all {
		if xxh3.HashString(g.Control) < xxh3.HashString(first.Control) {
			first = g
		}
	}
	return first
}
