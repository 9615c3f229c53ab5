package fleettest

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
)

// Network has a proxy in front of each listener of a test. It determines which process dialed
// a connection, so that tests can cut the link between two processes in one direction or both.
type Network struct {
	mu sync.Mutex
	// pids maps process IDs to names.
	pids map[int]string
	// cuts and delays have the links with a fault, by "from>to".
	cuts   map[string]bool
	delays map[string]clock.Millis
	conns  map[*proxiedConn]bool
	closed bool
}

// proxiedConn is a connection through a proxy.
type proxiedConn struct {
	src, dst       string
	client, server net.Conn
	// droppedData is guarded by Network.mu.
	droppedData bool
}

func newNetwork() *Network {
	return &Network{pids: map[int]string{}, cuts: map[string]bool{}, delays: map[string]clock.Millis{}, conns: map[*proxiedConn]bool{}}
}

// Any matches every process in Cut, Delay and Reset.
const Any = "*"

// Cut drops the data from one process to another until Heal. Connections stay open and
// silent, as when a link fails.
func (n *Network) Cut(from, to string) { n.locked(func() { n.cuts[from+">"+to] = true }) }

// CutBoth cuts both directions.
func (n *Network) CutBoth(a, b string) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// Partition cuts every link between two groups.
func (n *Network) Partition(left, right []string) {
	for _, l := range left {
		for _, r := range right {
			n.CutBoth(l, r)
		}
	}
}

// Delay delays the data from one process to another.
func (n *Network) Delay(from, to string, d clock.Millis) {
	n.locked(func() { n.delays[from+">"+to] = d })
}

// Reset closes the connections between two processes, whichever side dialed. New connections
// work.
func (n *Network) Reset(a, b string) {
	n.closeIf(func(p *proxiedConn) bool {
		return match(p.src, a) && match(p.dst, b) || match(p.src, b) && match(p.dst, a)
	})
}

func match(name, pattern string) bool { return pattern == Any || name == pattern }

// Heal ends all cuts and delays, and closes the connections with dropped data.
func (n *Network) Heal() {
	n.locked(func() {
		clear(n.cuts)
		clear(n.delays)
	})
	n.closeIf(func(p *proxiedConn) bool { return p.droppedData })
}

func (n *Network) locked(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (n *Network) closeIf(f func(*proxiedConn) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.conns {
		if f(p) {
			_ = p.client.Close()
			_ = p.server.Close()
		}
	}
}

func (n *Network) close() {
	n.locked(func() { n.closed = true })
	n.closeIf(func(*proxiedConn) bool { return true })
}

// faults returns the faults of a link. The caller holds n.mu.
func (n *Network) faults(from, to string) (cut bool, delay clock.Millis) {
	for _, k := range []string{from + ">" + to, Any + ">" + to, from + ">" + Any} {
		cut = cut || n.cuts[k]
		delay = max(delay, n.delays[k])
	}
	return cut, delay
}

// listen starts a proxy to the target address of process dst and returns its address.
func (n *Network) listen(t testing.TB, dst, target string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go n.handle(c, dst, target)
		}
	}()
	return ln.Addr().String()
}

func (n *Network) handle(c net.Conn, dst, target string) {
	src := n.processOfPort(c.RemoteAddr().(*net.TCPAddr).Port)
	up, err := net.Dial("tcp", target)
	if err != nil {
		_ = c.Close()
		return
	}
	p := &proxiedConn{src: src, dst: dst, client: c, server: up}
	n.mu.Lock()
	n.conns[p] = true
	closed := n.closed
	n.mu.Unlock()
	if closed {
		_ = c.Close()
		_ = up.Close()
	}
	var wg sync.WaitGroup
	wg.Go(func() { n.forward(p, c, up, src, dst) })
	wg.Go(func() { n.forward(p, up, c, dst, src) })
	wg.Wait()
	n.mu.Lock()
	delete(n.conns, p)
	n.mu.Unlock()
}

func (n *Network) forward(p *proxiedConn, from, to net.Conn, src, dst string) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		k, err := from.Read(buf)
		if k > 0 {
			n.mu.Lock()
			cut, delay := n.faults(src, dst)
			p.droppedData = p.droppedData || cut
			n.mu.Unlock()
			if delay > 0 {
				pause(delay)
			}
			if !cut {
				if _, err := to.Write(buf[:k]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}

// processOfPort returns the name of the process that owns a local port, as listed in /proc, ""
// if there is none.
func (n *Network) processOfPort(port int) string {
	inode := socketInode(port)
	if inode == "" {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for pid, name := range n.pids {
		fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, fd := range fds {
			if l, err := os.Readlink(fd); err == nil && l == "socket:["+inode+"]" {
				return name
			}
		}
	}
	return ""
}

// socketInode returns the inode of the socket with a local port, "" if there is none.
func socketInode(port int) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	want := fmt.Sprintf("0100007F:%04X", port)
	for line := range strings.SplitSeq(string(table), "\n") {
		f := strings.Fields(line)
		if len(f) > 9 && f[1] == want {
			if _, err := strconv.Atoi(f[9]); err == nil {
				return f[9]
			}
		}
	}
	return ""
}
