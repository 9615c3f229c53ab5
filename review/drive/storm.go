package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
	"github.com/weldfall/weldfall/review/lab"
)

func init() { cases["storm"] = missedStorm }

const (
	// stormGates is the number of gates.
	stormGates = 3
	// idleRoutes is the number of routes without requests: the config grew five times by the
	// 1,400 routes of the site.
	idleRoutes = 5 * 1400
	// stormChanges come stormGap apart, or calmGap apart without the disruption. The last one
	// moves a route to another service.
	stormChanges = 25
	stormGap     = 60 * time.Millisecond
	calmGap      = 1500 * time.Millisecond
	// storeHistory is how long the store keeps its history.
	storeHistory = 20 * time.Second
	// configBound is that of the settings.
	configBound = 3 * time.Second
)

// stormBounds are those of the site, for its machines with the slowest link.
var stormBounds = lab.Bounds{ContactMs: 4000, DrainMs: 3000, ConfigMs: 3000, LenientRevoke: true, LinkMbps: 10}

// stormConfig returns a version of the config, as the platform encodes it, in which the route
// /move/ belongs to a service.
func stormConfig(version int, service string) ([]byte, error) {
	routes := []map[string]any{lab.Route("r-move", "/move/", "safe", service, 2)}
	for i := range idleRoutes {
		routes = append(routes, lab.Route(fmt.Sprintf("r-%d", i), fmt.Sprintf("/idle/%d/", i), "safe", "old", 2))
	}
	return json.Marshal(standin.Columns(lab.Config(version, routes, "old", "new")))
}

// stormService returns the service of the route /move/ after the change with index i.
func stormService(i int) string {
	if i == stormChanges-1 {
		return "new"
	}
	return "old"
}

// missedStorm checks CONFIG at gates on slow links while a large config is changed in quick
// succession. The last change moves a route to another service.
func missedStorm(l *lab.Lab) (broken bool, err error) {
	first, err := stormConfig(1, "old")
	if err != nil {
		return false, err
	}
	l.Publish("op/config", first)
	l.Recordf("the config has %d bytes, the store takes %d", len(first), 1<<20)
	var changes [][]byte
	for i := range stormChanges {
		text, err := stormConfig(2+i, stormService(i))
		if err != nil {
			return false, err
		}
		changes = append(changes, text)
	}
	old, err := startEngines(l, "old", "i-old")
	if err != nil {
		return false, err
	}
	if _, err := startEngines(l, "new", "i-new"); err != nil {
		return false, err
	}
	gates, err := startGates(l, stormGates, func(int) lab.Bounds { return stormBounds }, func(*lab.Gate, []*lab.Gate) (string, error) { return l.StoreAddr, nil })
	if err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers []*lab.Caller
	for _, g := range gates {
		c := l.NewCaller(g)
		c.Repeat(ctx, 50*time.Millisecond, lab.Request{Path: "/move/x", Key: lab.Key, Body: []byte("question"), Deadline: 2 * time.Second})
		callers = append(callers, c)
	}
	time.Sleep(4 * time.Second)
	gap := stormGap
	if !l.Trouble {
		gap = calmGap
	}
	began := time.Now()
	var moved time.Time
	for i := range changes {
		moved = l.Publish("op/config", changes[i])
		l.Recordf("the store confirms version %d, /move/ belongs to %s", 2+i, stormService(i))
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * gap)))
	}
	if l.Trouble {
		time.Sleep(time.Until(began.Add(storeHistory)))
		l.Store.DropHistory()
		l.Recordf("the store drops its history, which is %d s old", int(storeHistory.Seconds()))
	}
	time.Sleep(8 * time.Second)
	stop()
	sentAt := map[string]time.Time{}
	for i, c := range callers {
		answers := c.Wait()
		l.RecordCounts(gates[i].Name, answers)
		for _, a := range answers {
			sentAt[a.ID] = a.SentAt
		}
	}
	for _, g := range gates {
		g.RecordLog("table_in_force", "store_lost", "store_regained")
	}
	n := 0
	for _, r := range old[0].Runs() {
		if sent := sentAt[r.ID]; sent.Sub(moved) > configBound {
			n++
			l.Recordf("request %s was sent %d ms after the move was confirmed, and engine %s of the old service ran it", r.ID, sent.Sub(moved).Milliseconds(), r.Engine)
		}
	}
	l.Recordf("%d requests ran at the old service too late", n)
	return n > 0, nil
}
