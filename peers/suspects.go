package peers

import (
	"math/rand/v2"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/quarantine/gossip"
)

// suspectsDifferFor is how long after meeting a peer with other suspects a process sends
// suspects with its requests too. It covers a few rounds.
const suspectsDifferFor clock.Millis = 2000

// minBroadcastInterval is the least time between two broadcasts of all suspects.
const minBroadcastInterval clock.Millis = 1000

// request returns the message that a call sends.
func (p *Peers) request() message {
	st := p.cfg.Host.LocalStatus(requestLoads, gossip.MaxRequestSuspects)
	p.mu.Lock()
	at := p.suspectsDifferedAt
	p.mu.Unlock()
	if at == 0 || p.clk.Now()-at > suspectsDifferFor {
		st.Suspects = ""
	}
	return p.newMessage(st)
}

// response returns the answer to a request. It includes suspects if the peer knows
// others.
func (p *Peers) response(req message) message {
	p.cfg.Host.ReceiveSuspects(req.sender(), req.Status.Suspects)
	st := p.cfg.Host.LocalStatus(responseLoads, gossip.MaxResponseSuspects)
	if !p.suspectsDiffer(st, req.Status) {
		st.Suspects = ""
	}
	p.maybeBroadcast(st, req)
	return p.newMessage(st)
}

// maybeBroadcast sends all suspects to other entries if this process knows them and the
// peer that sent m does not. A process that has just started accepts requests before its
// first exchange with a peer that knows the suspects, and others have likely started with
// it.
func (p *Peers) maybeBroadcast(own Status, m message) {
	if !own.SuspectsComplete || m.Status.SuspectsComplete || own.SuspectSum == 0 || own.SuspectSum == m.Status.SuspectSum {
		return
	}
	p.mu.Lock()
	now := p.clk.Now()
	due := p.broadcastAt == 0 || now-p.broadcastAt >= minBroadcastInterval
	if due {
		p.broadcastAt = now
	}
	p.mu.Unlock()
	if due {
		p.log.Info("strikes_told", "to", m.sender())
		p.cfg.Host.BroadcastSuspects()
	}
}

// suspectsDiffer reports whether a peer knows other suspects than this process, and if so
// records the time.
func (p *Peers) suspectsDiffer(own, peer Status) bool {
	if own.SuspectSum == peer.SuspectSum {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspectsDifferedAt = p.clk.Now()
	return true
}

// randomPeers returns up to n random members, with those whose last call failed at the
// end.
func (p *Peers) randomPeers(n int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.random(n)
}

// random returns up to n random members, with those whose last call failed at the end.
func (m *Members) random(n int) []string {
	var reachable, failed []string
	for addr, k := range m.byAddr {
		if k.failed() {
			failed = append(failed, addr)
		} else {
			reachable = append(reachable, addr)
		}
	}
	for _, in := range [][]string{reachable, failed} {
		rand.Shuffle(len(in), func(i, j int) { in[i], in[j] = in[j], in[i] })
	}
	all := append(reachable, failed...)
	return all[:min(n, len(all))]
}
