// Package ports reserves TCP ports of the loopback interface for servers of tests that are away for
// a while and then listen at the same address again.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// The ports lie below the ephemeral ports: an outgoing connection, or a server that lets the kernel
// choose, could take the port of a server that is away.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// Port is a TCP port that nobody else reserves until it is released, in no process of the machine.
type Port struct {
	addr string
	// owner is a UDP socket with the number of the port. It keeps the port while nobody
	// listens on it.
	owner net.PacketConn
}

// Addr returns host:port.
func (p *Port) Addr() string { return p.addr }

// Release releases the port.
func (p *Port) Release() { _ = p.owner.Close() }

// Range is a range of ports that are tried in order.
type Range struct {
	mu sync.Mutex
	// next is the port before the next one to try.
	next int
}

// NewRange returns a range that starts with a port, or at random if it is zero, so that concurrent
// processes mostly try other ports.
func NewRange(first int) *Range {
	if first == 0 {
		first = firstPort + rand.IntN(lastPort-firstPort)
	}
	return &Range{next: first - 1}
}

var process = NewRange(0)

// Reserve reserves a port that nobody listens on.
func Reserve() (*Port, error) {
	p, ln, err := Listen()
	if err != nil {
		return nil, err
	}
	return p, ln.Close()
}

// Listen reserves a port and listens on it. A process that is started meanwhile may keep a listener
// for a moment that is closed here.
func Listen() (*Port, net.Listener, error) { return process.Listen() }

// Listen reserves the next port of the range that nobody listens on, and listens on it.
func (r *Range) Listen() (*Port, net.Listener, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var err error
	for range lastPort - firstPort {
		if r.next++; r.next > lastPort {
			r.next = firstPort
		}
		p := &Port{addr: fmt.Sprintf("127.0.0.1:%d", r.next)}
		if p.owner, err = net.ListenPacket("udp", p.addr); err != nil {
			continue
		}
		var ln net.Listener
		if ln, err = net.Listen("tcp", p.addr); err == nil {
			return p, ln, nil
		}
		p.Release()
	}
	return nil, nil, fmt.Errorf("no unused port from %d to %d: %w", firstPort, lastPort, err)
}
