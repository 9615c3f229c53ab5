package peers

import (
	"math/rand/v2"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/quarantine/gossip"
)

// differFor is how long after it met a peer that knows other suspects a process tells some
// with its questions, too: a few rounds.
const differFor clock.Millis = 2000

// remindEvery bounds how often all suspects are told at once.
const remindEvery clock.Millis = 1000

// question is what a peer is asked with.
func (p *Peers) question() message {
	k := p.cfg.Host.LocalStatus(loadsAsked, gossip.MaxRequestSuspects)
	p.mu.Lock()
	at := p.differedAt
	p.mu.Unlock()
	if at == 0 || p.clk.Now()-at > differFor {
		k.Suspects = ""
	}
	return p.message(k)
}

// answer is what a peer is told that asked. Suspects are in it if the peer knows others.
func (p *Peers) answer(question message) message {
	p.cfg.Host.ReceiveSuspects(question.sender(), question.Status.Suspects)
	k := p.cfg.Host.LocalStatus(loadsTold, gossip.MaxResponseSuspects)
	if !p.differ(k, question.Status) {
		k.Suspects = ""
	}
	p.remind(k, question)
	return p.message(k)
}

// remind has all suspects told to others at once if this process knows them and the peer
// that a message came from does not: a process that has just started sends requests before
// it has asked one that remembers, and others have likely started with it.
func (p *Peers) remind(own Status, m message) {
	if !own.SuspectsComplete || m.Status.SuspectsComplete || own.SuspectSum == 0 || own.SuspectSum == m.Status.SuspectSum {
		return
	}
	p.mu.Lock()
	now := p.clk.Now()
	due := p.spreadAt == 0 || now-p.spreadAt >= remindEvery
	if due {
		p.spreadAt = now
	}
	p.mu.Unlock()
	if due {
		p.log.Info("strikes_told", "to", m.sender())
		p.cfg.Host.BroadcastSuspects()
	}
}

// differ reports whether a peer knows other suspects than this process, and notes it.
func (p *Peers) differ(own, peer Status) bool {
	if own.SuspectSum == peer.SuspectSum {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.differedAt = p.clk.Now()
	return true
}

// some returns up to n members by chance, those that can be asked first.
func (p *Peers) some(n int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.some(n)
}

// some returns up to n members by chance, those that can be asked first.
func (m *Members) some(n int) []string {
	var good, failed []string
	for addr, k := range m.seen {
		if k.failed() {
			failed = append(failed, addr)
		} else {
			good = append(good, addr)
		}
	}
	for _, in := range [][]string{good, failed} {
		rand.Shuffle(len(in), func(i, j int) { in[i], in[j] = in[j], in[i] })
	}
	all := append(good, failed...)
	return all[:min(n, len(all))]
}
