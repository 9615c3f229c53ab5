package soak

import (
	"sync"
	"syscall"
	"time"

	"github.com/weldfall/weldfall/internal/proxy"
	"github.com/weldfall/weldfall/platform/standin"
)

// restartSlack is how long a single restart may wait for one that came before:
// it is over before the last requests, which must be served.
const restartSlack = time.Second

// play carries out the schedule.
func (w *world) play() {
	begin := time.Now()
	w.quietFrom = begin.Add(w.cfg.Length - quiet)
	for _, s := range w.cfg.Steps {
		time.Sleep(time.Until(begin.Add(s.At)))
		w.wg.Go(func() {
			from := time.Now()
			w.strike(s)
			if !s.planned() {
				w.rec.trouble(trouble{kind: s.as(), gate: w.struck(s), from: from, until: time.Now()})
			}
			if s.disturbs() {
				w.rec.setDisturbed(time.Now())
			}
		})
	}
	time.Sleep(time.Until(begin.Add(w.cfg.Length)))
}

// as returns the kind of trouble that a step is to each gate that it reaches.
func (s Step) as() Kind {
	if s.Kind == Herd && s.How == herdKilled {
		return Kill
	}
	return s.Kind
}

// struck returns the number of the only gate that a trouble can reach, or
// everyGate.
func (w *world) struck(s Step) int {
	switch s.Kind {
	case Kill, Pause, Suspend, StoreLink, SilentStore, Revoke:
		return s.Who % len(w.gates)
	}
	return everyGate
}

// stopSeries stops gates that follow on one another, each again within a
// second of its return.
func (w *world) stopSeries(s Step) {
	var wg sync.WaitGroup
	for i := range min(s.Many, len(w.gates)) {
		g := w.gates[(s.Who+i)%len(w.gates)]
		one := func() {
			for range s.Again + 1 {
				if time.Now().After(w.quietFrom) {
					return
				}
				g.restart(syscall.SIGTERM, w.quietFrom)
				time.Sleep(s.For)
			}
		}
		switch s.How {
		case inTurn:
			one()
		case overlapping:
			wg.Go(one)
			time.Sleep(s.For)
		default:
			wg.Go(one)
		}
	}
	wg.Wait()
}

// strike begins a trouble, and ends it.
func (w *world) strike(s Step) {
	g := w.gates[s.Who%len(w.gates)]
	w.mu.Lock()
	i := s.Who % len(w.engines)
	e, l := w.engines[i], w.links[i]
	w.mu.Unlock()
	switch s.Kind {
	case Kill:
		g.restart(syscall.SIGKILL, w.quietFrom.Add(restartSlack))
	case Stop:
		g.restart(syscall.SIGTERM, w.quietFrom.Add(restartSlack))
	case Roll:
		var wg sync.WaitGroup
		for _, g := range w.gates {
			if time.Now().After(w.quietFrom) {
				break
			}
			wg.Go(func() { g.restart(syscall.SIGTERM, w.quietFrom) })
			time.Sleep(s.For)
		}
		wg.Wait()
	case Series:
		w.stopSeries(s)
	case SilentStore:
		g.store.Silence(proxy.Fault(s.How).DroppedDirection(), s.Many)
	case SilentEngine:
		l.Silence(proxy.Fault(s.How).DroppedDirection(), s.Many)
	case Hush:
		w.hush(s)
	case Copy:
		w.comeBack(s)
	case Suspend:
		g.suspend(s.For, w.quietFrom)
	case Pause:
		g.signal(syscall.SIGSTOP)
		time.Sleep(s.For)
		g.signal(syscall.SIGCONT)
	case Herd:
		w.strikeAll(s)
	case Reload:
		g.reload()
	case Store:
		w.store.SetFault(standin.Fault(s.How))
		time.Sleep(s.For)
		w.store.SetFault(standin.None)
	case Compact:
		w.store.Compact()
	case StoreLink:
		g.store.SetFault(proxy.Fault(s.How))
		time.Sleep(s.For)
		g.store.SetFault(proxy.NoFault)
	case EngineLink:
		l.SetFault(proxy.Fault(s.How))
		time.Sleep(s.For)
		l.SetFault(proxy.NoFault)
	case Engine:
		e.SetReply(w.behave(s.How))
		time.Sleep(s.For)
		e.SetReply(w.behave(""))
	case Break:
		w.breakOff(s, i)
	case Engines:
		w.setAll(w.behave(s.How))
		time.Sleep(s.For)
		w.setAll(w.behave(""))
	case Leave:
		w.leave(i)
	case Join:
		// Without an engine more the run goes on.
		_ = w.join([]string{"llm", "api"}[s.Who%2])
	case Publish:
		w.publish()
	case Grow:
		w.grow(s.Many)
	case Again:
		w.startAgain(s)
	case Foreign:
		w.foreign(i, s)
	case Revoke:
		g.store.SetFault(proxy.Cut)
		w.revoke()
		time.Sleep(s.For)
		g.store.SetFault(proxy.NoFault)
	}
}

// revoke takes a key away, once.
func (w *world) revoke() {
	w.mu.Lock()
	w.revoked = true
	w.mu.Unlock()
	w.publish()
	w.rec.mu.Lock()
	defer w.rec.mu.Unlock()
	if _, again := w.rec.revoked[keyRevoked]; !again {
		w.rec.revoked[keyRevoked] = time.Now()
	}
}

func (w *world) setAll(reply func(standin.Run) standin.Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.engines {
		e.SetReply(reply)
	}
}

// leave publishes that an engine leaves, unless it is one of the first, which
// keep the services alive.
func (w *world) leave(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i < firstEngines {
		return
	}
	w.list(i, "draining")
	w.rec.mu.Lock()
	defer w.rec.mu.Unlock()
	delete(w.rec.restarted, w.engines[i].ID())
	if _, again := w.rec.left[w.engines[i].ID()]; !again {
		w.rec.left[w.engines[i].ID()] = time.Now()
	}
}
