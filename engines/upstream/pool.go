package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/dial"
	"github.com/weldfall/weldfall/common/downlink"
	"github.com/weldfall/weldfall/common/sock"
)

// Connections.
const (
	// dialLimit bounds the time in which a connection must come up: some
	// hundred times the way between data halls, and short enough to try
	// another engine before a caller waits noticeably.
	dialLimit clock.Millis = 500
	// inquiryLimit bounds the time in which a machine whose engine broke off must say
	// whether it still listens: some ten times the way between data halls. Callers wait
	// for the answer before another engine is tried.
	inquiryLimit clock.Millis = 100
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

// MaxArrivalDelay is how long after it was given to a pool a request may arrive at its engine:
// until a connection is up, and then while the kernel keeps what nobody acknowledges.
const MaxArrivalDelay = dialLimit + dial.UserTimeout

// Pool keeps connections to engines. It is safe for concurrent use.
type Pool struct {
	clk    *clock.Clock
	names  HeaderNames
	log    *slog.Logger
	link   *downlink.Downlink
	dialer *net.Dialer
	dials  *metrics.Counter
	strays *metrics.Counter
	silent *metrics.Counter
	// asked counts the questions whether engines are dark.
	asked *metrics.Counter

	mu sync.Mutex
	// idle has the kept connections of an address, the latest used last.
	idle map[string][]*conn
	// open counts the connections of an address, idle ones too.
	open map[string]int
	// most is the share of an address's connections that this process may
	// open; no entry means no bound.
	most map[string]int
	// busy has the connections of an address on which an exchange is under way.
	busy map[string]map[*conn]bool
	// doubted is the latest sign of life, or the sending, on a connection of an
	// address that then fell silent. What was not heard since may be silent too.
	doubted map[string]clock.Millis
}

// NewPool returns an empty pool. link is that of the process, nil if nothing is known
// of it.
func NewPool(clk *clock.Clock, names HeaderNames, link *downlink.Downlink, log *slog.Logger) *Pool {
	return &Pool{
		clk: clk, names: names, log: log, link: link, dialer: dial.New(dialLimit), idle: map[string][]*conn{}, open: map[string]int{}, most: map[string]int{},
		busy: map[string]map[*conn]bool{}, doubted: map[string]clock.Millis{},
		dials:  metrics.GetOrCreateCounter("weldfall_engine_dials_total"),
		strays: metrics.GetOrCreateCounter("weldfall_engine_stray_answers_total"),
		silent: metrics.GetOrCreateCounter(`weldfall_silent_connections_total{to="engine"}`),
		asked:  metrics.GetOrCreateCounter("weldfall_engine_health_questions_total"),
	}
}

// SetMaxConns bounds the connections to addr; zero takes the bound away.
func (p *Pool) SetMaxConns(addr string, n int) {
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
	delete(p.doubted, addr)
	p.mu.Unlock()
	for _, c := range idle {
		p.drop(c)
	}
}

// CloseIdle closes all idle connections: what was at their other ends may be gone.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, conns := range idle {
		for _, c := range conns {
			p.drop(c)
		}
	}
}

// CloseExpired closes connections that have been idle for too long, and those that
// are in doubt.
func (p *Pool) CloseExpired() {
	now := p.clk.Now()
	var old []*conn
	p.mu.Lock()
	for addr := range p.busy {
		old = append(old, p.doubt(addr, now)...)
	}
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
	// dialed is when its dial began, opened when it came up.
	dialed, opened clock.Millis
	// got counts the bytes read in the present exchange.
	got int64
	// heard is when the connection came up or bytes last came.
	heard atomic.Int64
	// spoke is true once bytes came.
	spoke atomic.Bool
	// sent is when the present exchange began, and patience how long it may go
	// without a sign before the connection is in doubt, 0 for ever; both are
	// guarded by the pool's mu.
	sent, patience clock.Millis
	// silent is true once the present exchange was in doubt; guarded by the
	// pool's mu.
	silent bool
	clk    *clock.Clock
	link   *downlink.Downlink
}

// Read counts what arrives, so that "no answer at all" can be told from "a
// broken one".
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.nc.Read(b)
	if n > 0 {
		c.got += int64(n)
		c.link.Came(n)
		c.heard.Store(int64(c.clk.Now()))
		c.spoke.Store(true)
	}
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
	quiet, err := sock.Quiet(c.nc)
	return err == nil && quiet
}

// stale reports whether this instance was suspended since the engine last proved that it
// holds the connection. It may have given it up meanwhile, and the word of that is lost. An
// answer proves it as of the sending of its request: it may have come before a suspension
// and been read after.
func (c *conn) stale() bool { return max(c.dialed, c.sent) < c.clk.Woke() }

// acquire returns a kept connection or a new one.
func (p *Pool) acquire(ctx context.Context, addr string) (*conn, error) {
	for c := p.take(addr); c != nil; c = p.take(addr) {
		if c.until > p.clk.Now() && c.clean() && !c.stale() {
			c.got = 0
			return c, nil
		}
		p.drop(c)
	}
	for {
		c, err := p.dial(ctx, addr)
		if err != nil || !c.stale() {
			return c, err
		}
		p.drop(c)
	}
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
	dialed := p.clk.Now()
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.closed(addr)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c := &conn{nc: nc, addr: addr, dialed: dialed, opened: p.clk.Now(), clk: p.clk, link: p.link}
	c.heard.Store(int64(c.opened))
	c.br = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

// Preconnect opens a connection to addr and keeps it for a request to come.
func (p *Pool) Preconnect(addr string) error {
	c, err := p.dial(context.Background(), addr)
	if err != nil {
		return err
	}
	p.release(c, true, nil)
	return nil
}

// ProcessEnded reports whether the process that listened at addr has ended: its machine
// answers, and refuses a connection. Of a machine that does not answer in time it is not
// known. A connection that comes up is kept for a request to come.
func (p *Pool) ProcessEnded(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, inquiryLimit.Duration())
	defer cancel()
	c, err := p.dial(ctx, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.release(c, true, nil)
	return false
}

// Unresponsive reports whether the machine at addr takes a connection on which its process gives no
// sign within limit when it is asked r, and nothing came on any other connection since a
// time. Of a machine that does not answer it is not known.
func (p *Pool) Unresponsive(ctx context.Context, addr string, r *Request, since, limit clock.Millis) bool {
	if p.heardSince(addr, since) {
		return false
	}
	dialing, cancel := context.WithTimeout(ctx, inquiryLimit.Duration())
	defer cancel()
	c, err := p.dial(dialing, addr)
	if err != nil {
		return false
	}
	defer p.drop(c)
	stop := context.AfterFunc(ctx, c.abort)
	defer stop()
	p.asked.Inc()
	c.limit(limit)
	if _, err := c.nc.Write(requestHead(r)); err != nil {
		return false
	}
	_, err = c.br.Peek(1)
	return isTimeout(err) && ctx.Err() == nil && !p.heardSince(addr, since)
}

// heardSince reports whether bytes came on a connection to addr since a time.
func (p *Pool) heardSince(addr string, since clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	heard := func(c *conn) bool { return c.spoke.Load() && clock.Millis(c.heard.Load()) >= since }
	for c := range p.busy[addr] {
		if heard(c) {
			return true
		}
	}
	return slices.ContainsFunc(p.idle[addr], heard)
}

// BrokenOff reports whether an error is the end of a connection from its other side,
// rather than silence or nonsense on it.
func BrokenOff(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// take removes the latest used idle connection that is not in doubt.
func (p *Pool) take(addr string) *conn {
	c, old := p.takeHeard(addr)
	for _, o := range old {
		p.drop(o)
	}
	return c
}

func (p *Pool) takeHeard(addr string) (c *conn, old []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old = p.doubt(addr, p.clk.Now())
	idle := p.idle[addr]
	if len(idle) == 0 {
		return nil, old
	}
	c = idle[len(idle)-1]
	p.idle[addr] = idle[:len(idle)-1]
	return c, old
}

// begin records that an exchange begins on c.
func (p *Pool) begin(c *conn, patience clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.sent, c.patience, c.silent = p.clk.Now(), patience, false
	if p.busy[c.addr] == nil {
		p.busy[c.addr] = map[*conn]bool{}
	}
	p.busy[c.addr][c] = true
}

// end records that the exchange on c is over.
func (p *Pool) end(c *conn) {
	now := p.clk.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	busy := p.busy[c.addr]
	if !busy[c] {
		return
	}
	p.look(c, now)
	if delete(busy, c); len(busy) == 0 {
		delete(p.busy, c.addr)
	}
}

// look puts c in doubt if it has given no sign for longer than its exchange
// allows. The exchange itself goes on: an engine may only be slow. The caller
// holds mu.
func (p *Pool) look(c *conn, now clock.Millis) {
	last := max(c.sent, clock.Millis(c.heard.Load()))
	if c.silent || c.patience <= 0 || now-last < c.patience {
		return
	}
	c.silent = true
	p.silent.Inc()
	p.doubted[c.addr] = max(p.doubted[c.addr], last)
}

// doubt looks at the exchanges with addr and takes out the idle connections
// that were not heard since the latest of those that fell silent. One that was
// heard since is known to work; the others cost a request each to find out. The
// caller holds mu, and closes what is returned.
func (p *Pool) doubt(addr string, now clock.Millis) []*conn {
	for c := range p.busy[addr] {
		p.look(c, now)
	}
	at, ok := p.doubted[addr]
	if !ok {
		return nil
	}
	var old []*conn
	p.idle[addr] = slices.DeleteFunc(p.idle[addr], func(c *conn) bool {
		unheard := clock.Millis(c.heard.Load()) <= at
		if unheard {
			old = append(old, c)
		}
		return unheard
	})
	if len(p.idle[addr]) == 0 {
		delete(p.idle, addr)
	}
	if len(old) > 0 {
		p.log.Warn("connection_silent", "to", "engine", "addr", addr, "silent_ms", now-at, "closed", len(old))
	}
	return old
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
