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

// Network is the links between the processes of a test: one proxy before each
// listener. It tells connections apart by the process that dialed, so that
// the link between two processes can be cut in one direction or both.
type Network struct {
	mu sync.Mutex
	// pids maps process ids to the names of processes.
	pids map[int]string
	// cuts has the links whose bytes are dropped, by "from>to".
	cuts map[string]bool
	// delays has the links whose bytes come later.
	delays map[string]clock.Millis
	conns  map[*proxied]bool
	closed bool
}

// proxied is one connection through a proxy.
type proxied struct {
	src, dst string
	a, b     net.Conn
	// dirty is true once bytes of it were dropped.
	dirty bool
}

func newNetwork() *Network {
	return &Network{pids: map[int]string{}, cuts: map[string]bool{}, delays: map[string]clock.Millis{}, conns: map[*proxied]bool{}}
}

// Any stands for every process in Cut and Delay.
const Any = "*"

// Cut drops what goes from one process to another until Heal. Connections
// stay open and silent, as when a link is lost.
func (n *Network) Cut(from, to string) { n.set(func() { n.cuts[from+">"+to] = true }) }

// CutBoth drops both directions.
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

// Delay makes what goes from one process to another late.
func (n *Network) Delay(from, to string, d clock.Millis) {
	n.set(func() { n.delays[from+">"+to] = d })
}

// Reset closes the connections between two processes, whoever dialed; new
// ones can be made.
func (n *Network) Reset(a, b string) {
	n.closeIf(func(p *proxied) bool {
		return match(p.src, a) && match(p.dst, b) || match(p.src, b) && match(p.dst, a)
	})
}

func match(name, pattern string) bool { return pattern == Any || name == pattern }

// Heal ends all cuts and delays. Connections that lost bytes are closed.
func (n *Network) Heal() {
	n.set(func() {
		clear(n.cuts)
		clear(n.delays)
	})
	n.closeIf(func(p *proxied) bool { return p.dirty })
}

func (n *Network) set(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (n *Network) closeIf(f func(*proxied) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.conns {
		if f(p) {
			_ = p.a.Close()
			_ = p.b.Close()
		}
	}
}

func (n *Network) close() {
	n.set(func() { n.closed = true })
	n.closeIf(func(*proxied) bool { return true })
}

func (n *Network) rule(from, to string) (cut bool, delay clock.Millis) {
	for _, k := range []string{from + ">" + to, Any + ">" + to, from + ">" + Any} {
		cut = cut || n.cuts[k]
		delay = max(delay, n.delays[k])
	}
	return cut, delay
}

// listen returns the address of a proxy before the listener of dst.
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
	src := n.dialer(c.RemoteAddr().(*net.TCPAddr).Port)
	up, err := net.Dial("tcp", target)
	if err != nil {
		_ = c.Close()
		return
	}
	p := &proxied{src: src, dst: dst, a: c, b: up}
	n.mu.Lock()
	n.conns[p] = true
	closed := n.closed
	n.mu.Unlock()
	if closed {
		_ = c.Close()
		_ = up.Close()
	}
	var wg sync.WaitGroup
	wg.Go(func() { n.pump(p, c, up, src, dst) })
	wg.Go(func() { n.pump(p, up, c, dst, src) })
	wg.Wait()
	n.mu.Lock()
	delete(n.conns, p)
	n.mu.Unlock()
}

func (n *Network) pump(p *proxied, from, to net.Conn, src, dst string) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		k, err := from.Read(buf)
		if k > 0 {
			n.mu.Lock()
			cut, delay := n.rule(src, dst)
			p.dirty = p.dirty || cut
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

// dialer finds the process that has the local port, by the kernel's tables.
func (n *Network) dialer(port int) string {
	inode := inodeOf(port)
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

func inodeOf(port int) string {
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
