package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of case 7, from the start of the traffic.
const (
	caseLength = 75 * time.Second
	gateLostAt = 3 * time.Second
	crashFrom  = 8 * time.Second
	engineDown = 4500 * time.Millisecond
	// entryLapse is three heartbeats, after which the entry of a silent engine goes.
	entryLapse = 3600 * time.Millisecond
)

// case7 has two gates and six engines of a plain service. One gate is lost for good, then one
// engine crashes while it runs the lookup that one tenant repeats. The tenant must be served on:
// a sound gate and five, later six, sound engines are there.
func case7(f *fleet, trouble bool) (int, error) {
	const host, service = "desk.example", "desk"
	tenants := []string{"hule", "kora", "mino", "pasa"}
	lookups := route{name: "r-fee", prefix: "/fee/", kind: "unsafe", service: service, timeoutMs: 2000, goalMs: 300, attempts: 1}
	f.store.Put("op/config", config(7, host, []route{lookups}, []string{service}, tenants, false))

	polled := kind{name: "fee-lookup", path: "/fee/lookup", limit: 4 * time.Second}
	var mu sync.Mutex
	var victim *engineProc
	armed, crashed := false, make(chan struct{})
	f.onLine = func(e *engineProc, line string) {
		mu.Lock()
		defer mu.Unlock()
		if !armed || victim != nil || !strings.Contains(line, " runs ") || !strings.Contains(line, "tenant="+tenants[0]) {
			return
		}
		victim = e
		f.record.add("kill engine %s", e.id)
		_ = e.cmd.Process.Signal(syscall.SIGKILL)
		close(crashed)
	}
	for range 6 {
		if _, err := f.startEngine(service, "", 6); err != nil {
			return 0, err
		}
	}
	if err := f.startGates(2); err != nil {
		return 0, err
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)
	f.record.add("traffic begins")
	c := &crowd{f: f, host: host}
	start := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; time.Since(start) < caseLength; n++ {
			// The first tenant repeats one lookup, the others ask for different ones.
			c.send(ask{kind: polled, tenant: tenants[0], key: keyOf(tenants[0]), body: "fee of application 1186"})
			for _, t := range tenants[1:] {
				c.send(ask{kind: polled, tenant: t, key: keyOf(t), body: fmt.Sprintf("fee of application %s %d", t, n)})
			}
			time.Sleep(time.Until(start.Add(time.Duration(n+1) * 400 * time.Millisecond)))
		}
	}()
	if trouble {
		time.Sleep(time.Until(start.Add(gateLostAt)))
		f.signal(f.gates[1], syscall.SIGKILL)
		time.Sleep(time.Until(start.Add(crashFrom)))
		mu.Lock()
		armed = true
		mu.Unlock()
		select {
		case <-crashed:
		case <-time.After(20 * time.Second):
			return 0, fmt.Errorf("no lookup of %s was run", tenants[0])
		}
		time.Sleep(entryLapse)
		f.unlist(victim)
		time.Sleep(engineDown - entryLapse)
		if _, err := f.startEngine(service, victim.addr, 6); err != nil {
			return 0, err
		}
	}
	<-done
	c.wg.Wait()
	f.record.add("traffic ends")
	code := held
	all := c.shares(func(*ask) bool { return true })
	for _, t := range tenants {
		own := c.shares(func(a *ask) bool { return a.tenant == t })
		starved := own.part() < all.part()/4
		f.record.add("tenant %s served %v, all %v: starved %v", t, own, all, starved)
		fmt.Printf("tenant %s served %v, all %v, starved: %v\n", t, own, all, starved)
		if starved {
			code = broken
		}
	}
	late := c.shares(func(a *ask) bool { return a.tenant == tenants[0] && a.at.After(start.Add(crashFrom+10*time.Second)) })
	f.record.add("tenant %s after the engine was back: %v", tenants[0], late)
	fmt.Printf("tenant %s after the engine was back: %v\n", tenants[0], late)
	return code, nil
}
