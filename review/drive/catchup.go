package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
	"github.com/weldfall/weldfall/review/lab"
)

func init() { cases["catchup"] = keyDuringCatchUp }

const (
	// catchUpGates is the number of gates, one of which the store turns away.
	catchUpGates = 5
	// catchUpRoutes is the number of routes without requests: 240, and the config grew twice by
	// the 1,400 routes of the site.
	catchUpRoutes = 240 + 2*1400
	// catchUpChanges come catchUpGap apart, and as many again from secondStorm on. The last one
	// of the first storm takes a key away.
	catchUpChanges = 12
	catchUpGap     = 330 * time.Millisecond
	// turnedAway is how long the store turns the gate away, from the beginning of the first
	// storm on. secondStorm is when the second storm begins.
	turnedAway  = 9 * time.Second
	secondStorm = 8500 * time.Millisecond
	// revokeBound is that of the settings.
	revokeBound = 5 * time.Second
	// revokedKey is the key that is taken away.
	revokedKey = "k-taken-away"
)

// catchUpBounds are those of the site, for its machines with the slowest link.
var catchUpBounds = lab.Bounds{ContactMs: 4000, DrainMs: 3000, ConfigMs: 3000, RevokeMs: 5000, LinkMbps: 10}

// catchUpConfig returns a version of the config, as the platform encodes it, with the keys of its
// tenant.
func catchUpConfig(version int, keys ...string) ([]byte, error) {
	routes := []map[string]any{lab.Route("r-ask", "/ask/", "safe", "desk", 2)}
	for i := range catchUpRoutes {
		routes = append(routes, lab.Route(fmt.Sprintf("r-%d", i), fmt.Sprintf("/idle/%d/", i), "safe", "desk", 2))
	}
	cfg := lab.Config(version, routes, "desk")
	cfg["tenants"] = []map[string]any{{"name": "desk", "apiKeys": keys, "priority": 2}}
	return json.Marshal(standin.Columns(cfg))
}

// keyDuringCatchUp checks CONFIG for a key that is taken away while the store turns a gate away.
func keyDuringCatchUp(l *lab.Lab) (broken bool, err error) {
	first, err := catchUpConfig(1, lab.Key, revokedKey)
	if err != nil {
		return false, err
	}
	l.Publish("op/config", first)
	l.Recordf("the config has %d bytes, the store takes %d", len(first), 1<<20)
	var changes [][]byte
	for i := range 2 * catchUpChanges {
		keys := []string{lab.Key, revokedKey}
		if i >= catchUpChanges-1 {
			keys = keys[:1]
		}
		text, err := catchUpConfig(2+i, keys...)
		if err != nil {
			return false, err
		}
		changes = append(changes, text)
	}
	engines, err := startEngines(l, "desk", "i-1", "i-2")
	if err != nil {
		return false, err
	}
	var fronts []*lab.Front
	gates, err := startGates(l, catchUpGates, func(int) lab.Bounds { return catchUpBounds }, func(*lab.Gate, []*lab.Gate) (string, error) {
		f, err := l.NewFront()
		if err != nil {
			return "", err
		}
		fronts = append(fronts, f)
		return f.Addr, nil
	})
	if err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers []*lab.Caller
	for _, g := range gates {
		c := l.NewCaller(g)
		c.Repeat(ctx, 50*time.Millisecond, lab.Request{Path: "/ask/x", Key: revokedKey, Body: []byte("question"), Deadline: 2 * time.Second})
		callers = append(callers, c)
	}
	time.Sleep(6 * time.Second)
	began := time.Now()
	if l.Trouble {
		fronts[0].SetRefusing(true)
		l.Store.CutWatches()
		l.Recordf("the store turns %s away", gates[0].Name)
	}
	publish := func(first int, from time.Time) (last time.Time) {
		for i := range catchUpChanges {
			time.Sleep(time.Until(from.Add(time.Duration(i+1) * catchUpGap)))
			last = l.Publish("op/config", changes[first+i])
			l.Recordf("the store confirms version %d", 2+first+i)
		}
		return last
	}
	served := make(chan struct{})
	time.AfterFunc(turnedAway, func() {
		defer close(served)
		fronts[0].SetRefusing(false)
		l.Recordf("the store serves all gates")
	})
	taken := publish(0, began)
	l.Recordf("this version takes the key away")
	publish(catchUpChanges, began.Add(secondStorm))
	<-served
	time.Sleep(12 * time.Second)
	stop()
	sentAt := map[string]time.Time{}
	for i, c := range callers {
		answers := c.Wait()
		l.RecordCounts(gates[i].Name, answers)
		for _, a := range answers {
			sentAt[a.ID] = a.SentAt
		}
	}
	gates[0].RecordLog("table_in_force", "store_lost", "store_regained", "readiness")
	n := 0
	for _, e := range engines {
		for _, r := range e.Runs() {
			if sent := sentAt[r.ID]; sent.Sub(taken) > revokeBound {
				n++
				l.Recordf("request %s was sent with the key %d ms after it was taken away, and engine %s ran it", r.ID, sent.Sub(taken).Milliseconds(), r.Engine)
			}
		}
	}
	l.Recordf("%d requests ran with the key too late", n)
	return n > 0, nil
}
