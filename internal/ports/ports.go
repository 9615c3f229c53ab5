package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports of gates lie below the ephemeral ports: an outgoing connection could take the port
// of a gate that is restarting.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// portRange reserves ports for gates.
type portRange struct {
	mu sync.Mutex
	// next is the next port to try.
	next int
}

// ports starts at random, so that concurrent runs mostly try other ports.
var ports = &portRange{next: firstPort + rand.IntN(lastPort-firstPort)}

// reservedPort is a TCP port that no other run reserves until it is released.
type reservedPort struct {
	addr string
	// owner is a UDP socket with the number of the port. It keeps the port while no gate
	// listens on it.
	owner net.PacketConn
}

func (p *reservedPort) release() { _ = p.owner.Close() }

// reserve reserves a port that no one listens on, against all runs on the machine.
func (r *portRange) reserve() (*reservedPort, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var err error
	for range lastPort - firstPort {
		if r.next++; r.next > lastPort {
			r.next = firstPort
		}
		p := &reservedPort{addr: fmt.Sprintf("127.0.0.1:%d", r.next)}
		if p.owner, err = net.ListenPacket("udp", p.addr); err != nil {
			continue
		}
		var ln net.Listener
		if ln, err = net.Listen("tcp", p.addr); err == nil {
			return p, ln.Close()
		}
		p.release()
	}
	return nil, fmt.Errorf("no unused port from %d to %d: %w", firstPort, lastPort, err)
}
