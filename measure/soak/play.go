package soak

import (
	"sync"
	"syscall"
	"time"

	"github.com/weldfall/weldfall/internal/proxy"
	"github.com/weldfall/weldfall/platform/standin"
)

// restartSlack is how long a single restart may wait for an earlier one. Such a restart
// ends before the recovery window, in which requests must be served.
const restartSlack = time.Second

// runSteps carries out the schedule.
func (w *deployment) runSteps() {
	begin := time.Now()
	w.quietFrom = begin.Add(w.cfg.Length - quiet)
	for _, s := range w.cfg.Steps {
		time.Sleep(time.Until(begin.Add(s.Start)))
		w.wg.Go(func() {
			from := time.Now()
			w.apply(s)
			if !s.planned() {
				for _, g := range w.affectedGates(s) {
					w.rec.addDisturbance(disturbance{kind: s.disturbanceKind(), gate: g, from: from, until: time.Now()})
				}
			}
			if s.disturbs() {
				w.rec.setLastDisturbance(time.Now())
			}
		})
	}
	time.Sleep(time.Until(begin.Add(w.cfg.Length)))
}

// disturbanceKind returns what the step is to each gate that it affects.
func (s Step) disturbanceKind() Kind {
	if s.Kind == AllGates && s.Variant == allKilled {
		return Kill
	}
	return s.Kind
}

// affectedGates returns the numbers of the only gates that a step can affect, or everyGate.
func (w *deployment) affectedGates(s Step) []int {
	switch s.Kind {
	case Kill, Pause, Suspend, StoreLink, SilentStoreConns, Revoke:
		return []int{s.Index % len(w.gates)}
	case CutOff:
		return s.gatesCutOff(len(w.gates))
	}
	return []int{everyGate}
}

// stopSeries stops consecutive gates, and each again within a second of its return.
func (w *deployment) stopSeries(s Step) {
	var wg sync.WaitGroup
	for i := range min(s.Count, len(w.gates)) {
		g := w.gates[(s.Index+i)%len(w.gates)]
		one := func() {
			for range s.Repeats + 1 {
				if time.Now().After(w.quietFrom) {
					return
				}
				g.restart(syscall.SIGTERM, w.quietFrom)
				time.Sleep(s.Duration)
			}
		}
		switch s.Variant {
		case inTurn:
			one()
		case overlapping:
			wg.Go(one)
			time.Sleep(s.Duration)
		default:
			wg.Go(one)
		}
	}
	wg.Wait()
}

// apply carries out a step and returns when its effect ends.
func (w *deployment) apply(s Step) {
	g := w.gates[s.Index%len(w.gates)]
	w.mu.Lock()
	i := s.Index % len(w.engines)
	e, l := w.engines[i], w.links[i]
	w.mu.Unlock()
	switch s.Kind {
	case Kill:
		g.restart(syscall.SIGKILL, w.quietFrom.Add(restartSlack))
	case Stop:
		g.restart(syscall.SIGTERM, w.quietFrom.Add(restartSlack))
	case RollingStop:
		var wg sync.WaitGroup
		for _, g := range w.gates {
			if time.Now().After(w.quietFrom) {
				break
			}
			wg.Go(func() { g.restart(syscall.SIGTERM, w.quietFrom) })
			time.Sleep(s.Duration)
		}
		wg.Wait()
	case Series:
		w.stopSeries(s)
	case SilentStoreConns:
		g.store.Silence(proxy.Fault(s.Variant).DroppedDirection(), s.Count)
	case SilentEngineConns:
		l.Silence(proxy.Fault(s.Variant).DroppedDirection(), s.Count)
	case SilenceStore:
		w.silenceStore(s)
	case RestoreStore:
		w.restoreStore(s)
	case Suspend:
		g.suspend(s.Duration, w.quietFrom)
	case Pause:
		g.signal(syscall.SIGSTOP)
		time.Sleep(s.Duration)
		g.signal(syscall.SIGCONT)
	case AllGates:
		w.applyToAllGates(s)
	case Reload:
		g.reload()
	case StoreFault:
		w.store.SetFault(standin.Fault(s.Variant))
		time.Sleep(s.Duration)
		w.store.SetFault(standin.None)
	case Compact:
		w.store.Compact()
	case StoreLink:
		g.store.SetFault(proxy.Fault(s.Variant))
		time.Sleep(s.Duration)
		g.store.SetFault(proxy.NoFault)
	case EngineLink:
		l.SetFault(proxy.Fault(s.Variant))
		time.Sleep(s.Duration)
		l.SetFault(proxy.NoFault)
	case EngineFault:
		e.SetReply(w.behave(s.Variant))
		time.Sleep(s.Duration)
		e.SetReply(w.behave(""))
	case BreakResponses:
		w.breakResponses(s, i)
	case Release:
		w.release(s)
	case CutOff:
		w.cutOff(s)
	case AllEnginesFault:
		w.setAll(w.behave(s.Variant))
		time.Sleep(s.Duration)
		w.setAll(w.behave(""))
	case DrainEngine:
		w.drainEngine(i)
	case EndEngines:
		w.endEngines(s)
	case AddEngine:
		// The run continues without another engine.
		_ = w.addEngine([]string{"llm", "api"}[s.Index%2])
	case PublishConfig:
		w.publishConfig()
	case GrowConfig:
		w.growConfig(s.Count)
	case SilenceEngines:
		w.silenceEngines(s)
	case ChangeSettings:
		w.changeSettings(s)
	case RestartEngines:
		w.restartEngines(s)
	case ForeignEntry:
		w.publishForeign(i, s)
	case Revoke:
		g.store.SetFault(proxy.Cut)
		w.revoke()
		time.Sleep(s.Duration)
		g.store.SetFault(proxy.NoFault)
	}
}

// revoke revokes keyRevoked. Only the first call counts.
func (w *deployment) revoke() {
	w.mu.Lock()
	w.revoked = true
	w.mu.Unlock()
	w.publishConfig()
	w.rec.mu.Lock()
	defer w.rec.mu.Unlock()
	if _, again := w.rec.revokedAt[keyRevoked]; !again {
		w.rec.revokedAt[keyRevoked] = time.Now()
	}
}

func (w *deployment) setAll(reply func(standin.Run) standin.Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.engines {
		e.SetReply(reply)
	}
}

// drainEngine publishes an engine as draining, unless it is one of the first engines, which
// keep the services available.
func (w *deployment) drainEngine(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i < firstEngines {
		return
	}
	w.publishEngine(i, "draining")
	w.rec.mu.Lock()
	defer w.rec.mu.Unlock()
	delete(w.rec.restarted, w.engines[i].ID())
	if _, again := w.rec.drainedAt[w.engines[i].ID()]; !again {
		w.rec.drainedAt[w.engines[i].ID()] = time.Now()
	}
}
