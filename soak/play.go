package soak

import (
	"syscall"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
)

// play carries out the schedule.
func (w *world) play() {
	begin := time.Now()
	for _, s := range w.cfg.Steps {
		time.Sleep(time.Until(begin.Add(s.At)))
		w.wg.Go(func() {
			w.strike(s)
			if s.disturbs() {
				w.rec.setDisturbed(time.Now())
			}
		})
	}
	time.Sleep(time.Until(begin.Add(w.cfg.Length)))
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
		g.restart(syscall.SIGKILL)
	case Stop:
		g.restart(syscall.SIGTERM)
	case Roll:
		for _, g := range w.gates {
			go g.restart(syscall.SIGTERM)
			time.Sleep(s.For)
		}
	case Pause:
		g.signal(syscall.SIGSTOP)
		time.Sleep(s.For)
		g.signal(syscall.SIGCONT)
	case Reload:
		g.signal(syscall.SIGHUP)
	case Store:
		w.store.SetFault(standin.Fault(s.How))
		time.Sleep(s.For)
		w.store.SetFault(standin.None)
	case Compact:
		w.store.Compact()
	case StoreLink:
		g.store.set(LinkFault(s.How))
		time.Sleep(s.For)
		g.store.set(Sound)
	case EngineLink:
		l.set(LinkFault(s.How))
		time.Sleep(s.For)
		l.set(Sound)
	case Engine:
		e.SetReply(behave(s.How))
		time.Sleep(s.For)
		e.SetReply(behave(""))
	case Engines:
		w.setAll(behave(s.How))
		time.Sleep(s.For)
		w.setAll(behave(""))
	case Leave:
		w.leave(i)
	case Join:
		// Without an engine more the run goes on.
		_ = w.join([]string{"llm", "api"}[s.Who%2])
	case Publish:
		w.publish()
	case Revoke:
		g.store.set(Cut)
		w.revoke()
		time.Sleep(s.For)
		g.store.set(Sound)
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
	if _, again := w.rec.left[w.engines[i].ID()]; !again {
		w.rec.left[w.engines[i].ID()] = time.Now()
	}
}
