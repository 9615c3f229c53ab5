package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/dial"
)

// Connections.
const (
	// dialLimit bounds the time in which a connection must come up: some
	// hundred times the way between data halls, and short enough to try
	// another engine before a caller waits noticeably.
	dialLimit clock.Millis = 500
	// idleLimit is how long an idle connection is kept when the engine tells
	// no limit of its own.
	idleLimit clock.Millis = 4000
	// idleMargin is taken off the limit that an engine tells, so that no
	// request crosses its close.
	idleMargin clock.Millis = 600
	// readBuffer is the size of a connection's read buffer in bytes: two
	// dozen events of a stream.
	readBuffer = 4 << 10
)

// Pool keeps connections to engines. It is safe for concurrent use.
type Pool struct {
	clk    *clock.Clock
	names  Names
	dialer *net.Dialer
	dials  *metrics.Counter
	strays *metrics.Counter

	mu sync.Mutex
	// idle has the kept connections of an address, the latest used last.
	idle map[string][]*conn
	// open counts the connections of an address, idle ones too.
	open map[string]int
	// most is the share of an address's connections that this process may
	// open; no entry means no bound.
	most map[string]int
}

// NewPool returns an empty pool.
func NewPool(clk *clock.Clock, names Names) *Pool {
	return &Pool{
		clk: clk, names: names, dialer: dial.New(dialLimit), idle: map[string][]*conn{}, open: map[string]int{}, most: map[string]int{},
		dials:  metrics.GetOrCreateCounter("weldfall_engine_dials_total"),
		strays: metrics.GetOrCreateCounter("weldfall_engine_stray_answers_total"),
	}
}

// SetMost bounds the connections to addr; zero takes the bound away.
func (p *Pool) SetMost(addr string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n <= 0 {
		delete(p.most, addr)
		return
	}
	p.most[addr] = n
}

// Forget closes the idle connections to addr: the engine there is gone or
// another one has the address.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	idle := p.idle[addr]
	delete(p.idle, addr)
	delete(p.most, addr)
	p.mu.Unlock()
	for _, c := range idle {
		p.drop(c)
	}
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep() {
	now := p.clk.Now()
	var old []*conn
	p.mu.Lock()
	for addr, idle := range p.idle {
		n := 0
		for n < len(idle) && idle[n].until <= now {
			n++
		}
		old = append(old, idle[:n]...)
		if n == len(idle) {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = idle[n:]
	}
	p.mu.Unlock()
	for _, c := range old {
		p.drop(c)
	}
}

// conn is one connection to an engine.
type conn struct {
	nc   net.Conn
	br   *bufio.Reader
	addr string
	// until is when an idle connection is no longer used.
	until clock.Millis
	// got counts the bytes read in the present exchange.
	got int64
}

// Read counts what arrives, so that "no answer at all" can be told from "a
// broken one".
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.nc.Read(b)
	c.got += int64(n)
	return n, err
}

// limit sets the time by which the next bytes must come.
func (c *conn) limit(d clock.Millis) {
	// SetDeadline fails only on a closed connection, which the next read or
	// write reports.
	_ = c.nc.SetDeadline(clock.Deadline(max(0, d)))
}

// abort closes the connection while another goroutine may read from it.
func (c *conn) abort() { _ = c.nc.Close() }

// clean reports whether an idle connection is open and nothing came on it.
func (c *conn) clean() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = rc.Read(func(fd uintptr) bool {
		_, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// acquire returns a kept connection or a new one.
func (p *Pool) acquire(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.take(addr)
		if c == nil {
			break
		}
		if c.until > p.clk.Now() && c.clean() {
			c.got = 0
			return c, nil
		}
		p.drop(c)
	}
	return p.dial(ctx, addr)
}

// dial opens a connection, within the share that this process may take.
func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	if most := p.most[addr]; most > 0 && p.open[addr] >= most {
		p.mu.Unlock()
		return nil, fmt.Errorf("%s: %w", addr, ErrFull)
	}
	p.open[addr]++
	p.mu.Unlock()
	p.dials.Inc()
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.closed(addr)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c := &conn{nc: nc, addr: addr}
	c.br = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

// Open opens a connection to addr and keeps it for a request to come.
func (p *Pool) Open(addr string) error {
	c, err := p.dial(context.Background(), addr)
	if err != nil {
		return err
	}
	p.release(c, true, nil)
	return nil
}

// take removes the latest used idle connection.
func (p *Pool) take(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[addr] = idle[:len(idle)-1]
	return c
}

// release keeps c or closes it. The engine's Keep-Alive bounds its idle time.
func (p *Pool) release(c *conn, keep bool, h http.Header) {
	if !keep {
		p.drop(c)
		return
	}
	idle := idleLimit
	if s := keepAliveSeconds(h.Get("Keep-Alive")); s >= 0 {
		idle = min(idle, clock.Millis(s)*1000-idleMargin)
	}
	if idle <= 0 {
		p.drop(c)
		return
	}
	c.until = p.clk.Now() + idle
	p.mu.Lock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
	p.mu.Unlock()
}

func (p *Pool) drop(c *conn) {
	// There is nobody to tell that a close failed.
	_ = c.nc.Close()
	p.closed(c.addr)
}

func (p *Pool) closed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[addr]--; p.open[addr] <= 0 {
		delete(p.open, addr)
	}
}

// keepAliveSeconds returns the timeout in a Keep-Alive header, or -1.
func keepAliveSeconds(v string) int {
	for part := range strings.SplitSeq(v, ",") {
		name, val, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(val)); err == nil && n >= 0 {
			return n
		}
	}
	return -1
}
