package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of case 6. Those of the traffic are as in case 7.
const (
	reportPause = 1500 * time.Millisecond
	tagPause    = 300 * time.Millisecond
	// crashAfter is the time for which an engine runs a report before it crashes.
	crashAfter = 300 * time.Millisecond
	crashes    = 2
)

// case6 has two gates and twelve model engines. One gate is lost for good, then two engines crash,
// one after the other, each while it runs a report. All reports begin with the same part of a
// prompt, as those of a kind do. Reports must be served on: a sound gate and at least ten sound
// engines are there.
func case6(f *fleet, trouble bool) (int, error) {
	const host, service, tenant, slots = "desk.example", "drafting", "hule", 64
	report := kind{name: "site-report", path: "/tags/report/2f", limit: 6 * time.Second, stream: true}
	tag := kind{name: "plan-tagging", path: "/tags/revision", limit: 15 * time.Second, stream: true}
	routes := []route{
		{name: "r-report", prefix: "/tags/report/", kind: "stream", service: service, timeoutMs: 6000, goalMs: 600, attempts: 1, sticky: true},
		{name: "r-tags", prefix: "/tags/", kind: "stream", service: service, timeoutMs: 15000, goalMs: 400, attempts: 1, sticky: true},
	}
	f.store.Put("op/config", config(7, host, routes, []string{service}, []string{tenant}, true))
	v := &victims{f: f, left: crashes, crashed: make(chan *engineProc, crashes)}
	f.onLine = v.onLine
	for range 12 {
		if _, err := f.startEngine(service, "", slots); err != nil {
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
	send := func(k kind, shared string, every time.Duration) {
		for n := 0; time.Since(start) < caseLength; n++ {
			parts := fmt.Sprintf("%s,%08x:580", shared, 0x10000+n)
			c.send(ask{kind: k, tenant: tenant, key: keyOf(tenant), body: fmt.Sprintf("%s %d", k.name, n), prompt: prompt{parts: parts, tokens: "9200,120"}})
			time.Sleep(time.Until(start.Add(time.Duration(n+1) * every)))
		}
	}
	var senders sync.WaitGroup
	senders.Go(func() { send(report, "5c1e07a2:8620", reportPause) })
	senders.Go(func() { send(tag, "7d02b1c4:603", tagPause) })
	if trouble {
		time.Sleep(time.Until(start.Add(gateLostAt)))
		f.signal(f.gates[1], syscall.SIGKILL)
		time.Sleep(time.Until(start.Add(crashFrom)))
		v.arm()
		for range crashes {
			select {
			case e := <-v.crashed:
				f.bringBack(e, slots)
			case <-time.After(20 * time.Second):
				return 0, fmt.Errorf("no report was run")
			}
		}
	}
	senders.Wait()
	c.wg.Wait()
	f.record.add("traffic ends")
	code := held
	all := c.shares(func(*ask) bool { return true })
	for _, k := range []kind{report, tag} {
		own := c.shares(func(a *ask) bool { return a.kind == k })
		late := c.shares(func(a *ask) bool { return a.kind == k && a.at.After(start.Add(crashFrom+15*time.Second)) })
		starved := own.part() < all.part()/4
		line := fmt.Sprintf("kind %s served %v, of that from 15 s after the first crash on %v, all %v: starved %v", k.name, own, late, all, starved)
		f.record.add("%s", line)
		fmt.Println(line)
		if starved {
			code = broken
		}
	}
	return code, nil
}

// victims kills engines while they run a report.
type victims struct {
	f       *fleet
	crashed chan *engineProc

	mu    sync.Mutex
	armed bool
	left  int
}

func (v *victims) arm() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.armed = true
}

// onLine is called with each line of an engine.
func (v *victims) onLine(e *engineProc, line string) {
	if !strings.Contains(line, " runs ") || !strings.Contains(line, "/tags/report") {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.armed || v.left == 0 {
		return
	}
	v.left--
	time.AfterFunc(crashAfter, func() {
		v.f.record.add("kill engine %s", e.id)
		_ = e.cmd.Process.Signal(syscall.SIGKILL)
		v.crashed <- e
	})
}

// bringBack lets the entry of a crashed engine go and starts the engine again, as a new boot.
func (f *fleet) bringBack(e *engineProc, slots int) {
	time.AfterFunc(entryLapse, func() { f.unlist(e) })
	time.AfterFunc(engineDown, func() {
		if _, err := f.startEngine(e.service, e.addr, slots); err != nil {
			f.record.add("engine did not start again: %v", err)
		}
	})
}
