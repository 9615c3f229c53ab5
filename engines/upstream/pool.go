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
	"github.com/weldfall/weldfall/common/head"
	"github.com/weldfall/weldfall/common/sock"
)

const (
	// dialTimeout limits the time to connect: about 100 times the latency between data
	// halls, and short enough to try another engine before a caller notices the delay.
	dialTimeout clock.Millis = 500
	// checkDialTimeout limits the time to connect in ProcessEnded, Unresponsive and Reserve: about
	// 10 times the latency between data halls. Requests wait for the result before they are
	// sent to another engine.
	checkDialTimeout clock.Millis = 100
	// idleTimeout is how long an idle connection is kept if the engine announces no
	// timeout of its own.
	idleTimeout clock.Millis = 4000
	// idleMargin is subtracted from the timeout that an engine announces, so that no
	// request arrives while the engine closes the connection.
	idleMargin clock.Millis = 600
	// readBufferSize is the size of a connection's read buffer in bytes. It holds about two
	// dozen events of a stream.
	readBufferSize = 4 << 10
)

// MaxArrivalDelay is the longest time after the call of Do at which a request may still
// reach its engine: the time to connect, and the time for which the kernel keeps sending
// unacknowledged data.
const MaxArrivalDelay = dialTimeout + dial.UserTimeout

// Pool is a pool of connections to engines. It is safe for concurrent use.
type Pool struct {
	clk    *clock.Clock
	names  HeaderNames
	log    *slog.Logger
	link   *downlink.Downlink
	dialer *net.Dialer
	dials  *metrics.Counter
	// strays counts responses that were discarded because their request ID is not that of
	// the request.
	strays *metrics.Counter
	silent *metrics.Counter
	// healthChecks counts the requests by which Unresponsive checks engines.
	healthChecks *metrics.Counter

	mu sync.Mutex
	// idle holds the idle connections of each address, the most recently used last.
	idle map[string][]*conn
	// open counts the connections of each address, idle ones included.
	open map[string]int
	// dialed counts the connections that were attempted.
	dialed int
	// maxConns is the number of connections to an address that this process may open. An
	// address without an entry has no limit.
	maxConns map[string]int
	// busy holds the connections of each address with an exchange in progress.
	busy map[string]map[*conn]bool
	// silentSince holds, for each address that had a silent connection, when that connection
	// last received data or was sent a request. If there were several, it is the latest such
	// time. Connections that have received no data since then may be silent too.
	silentSince map[string]clock.Millis
	// witnesses holds the witness of each engine from which a response is read that ends with its
	// connection.
	witnesses map[witnessKey]*witness
}

// NewPool returns an empty pool. link is the downlink of the process, nil if unknown.
func NewPool(clk *clock.Clock, names HeaderNames, link *downlink.Downlink, log *slog.Logger) *Pool {
	return &Pool{
		clk: clk, names: names, log: log, link: link, dialer: dial.New(dialTimeout), idle: map[string][]*conn{}, open: map[string]int{}, maxConns: map[string]int{},
		busy: map[string]map[*conn]bool{}, silentSince: map[string]clock.Millis{}, witnesses: map[witnessKey]*witness{},
		dials:        metrics.GetOrCreateCounter("weldfall_engine_dials_total"),
		strays:       metrics.GetOrCreateCounter("weldfall_engine_stray_answers_total"),
		silent:       metrics.GetOrCreateCounter(`weldfall_silent_connections_total{to="engine"}`),
		healthChecks: metrics.GetOrCreateCounter("weldfall_engine_health_questions_total"),
	}
}

// SetMaxConns limits the connections to addr to n. Zero removes the limit.
func (p *Pool) SetMaxConns(addr string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n <= 0 {
		delete(p.maxConns, addr)
		return
	}
	p.maxConns[addr] = n
}

// Forget closes the idle connections to addr, and removes its connection limit and what is
// known of its silent connections. Exchanges in progress go on, and their connections still
// count as open. Forget is called when the engine is gone or another one has the address.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	idle := p.idle[addr]
	delete(p.idle, addr)
	delete(p.maxConns, addr)
	delete(p.silentSince, addr)
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// CloseIdle closes all idle connections. It is called after a suspension of this instance,
// during which engines may have closed them.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, conns := range idle {
		for _, c := range conns {
			p.discard(c)
		}
	}
}

// CloseExpired closes connections that have been idle for too long. At addresses with an
// exchange in progress, it also closes idle connections that may be silent.
func (p *Pool) CloseExpired() {
	now := p.clk.Now()
	var old []*conn
	p.mu.Lock()
	for addr := range p.busy {
		old = append(old, p.removeSilent(addr, now)...)
	}
	for addr, idle := range p.idle {
		n := 0
		for n < len(idle) && idle[n].expiresAt <= now {
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
		p.discard(c)
	}
}

// conn is a connection to an engine.
type conn struct {
	nc   net.Conn
	br   *bufio.Reader
	addr string
	// expiresAt is when an idle connection may no longer be used.
	expiresAt clock.Millis
	// dialedAt is when the dial began, connectedAt when the connection was established.
	dialedAt, connectedAt clock.Millis
	// received counts the bytes received in the current exchange.
	received int64
	// maxReceived is the value of received from which on reading fails, zero for none.
	maxReceived int64
	// receivedAt is when data was last received or, before that, the connection was
	// established.
	receivedAt atomic.Int64
	// hasReceived is true once data was received.
	hasReceived atomic.Bool
	// sentAt is when the current exchange began. silenceTimeout is how long no data may be
	// received in it before the connection counts as silent, zero for no timeout. Both are
	// guarded by the pool's mu.
	sentAt, silenceTimeout clock.Millis
	// silent is true once the connection counted as silent in the current exchange. It is
	// guarded by the pool's mu.
	silent bool
	// head checks the head of the response that is being read, checksHead is set meanwhile.
	head       head.Scanner
	checksHead bool
	// peekErr is the error that hasArrived received from the socket, which returns it only once.
	peekErr error
	// onSilence is Request.OnSilence of the current exchange, nil if there is none.
	onSilence func(arrived func() bool) clock.Millis
	// number identifies the connection in logs. exchanges counts the exchanges on it, the
	// current one included.
	number, exchanges int
	// requestID is the ID of the latest request on the connection.
	requestID string
	// engine is the engine that responded to it, "" if unknown, or otherEngine. It is guarded by the
	// pool's mu.
	engine string
	// trace is Request.Trace of the current exchange, nil if there is none.
	trace *Trace
	clk   *clock.Clock
	link  *downlink.Downlink
}

// Read reads from the connection and counts the bytes. The count shows whether a failed
// exchange received part of a response or nothing. A timeout is returned only if the exchange
// does not wait longer, since a chunked body reports it again on every later read.
func (c *conn) Read(b []byte) (int, error) {
	if c.maxReceived > 0 && c.received >= c.maxReceived {
		return 0, errHeadTooLong
	}
	if err := c.head.Err(); c.checksHead && err != nil {
		// Package bufio ignores an error behind part of a line, and reads again.
		return 0, err
	}
	n, err := c.nc.Read(b)
	for n == 0 && c.onSilence != nil && isTimeout(err) {
		more := c.onSilence(c.hasArrived)
		if more <= 0 {
			// Package bufio reads again after an error behind part of a line.
			c.onSilence = nil
			break
		}
		c.setReadTimeout(more)
		n, err = c.nc.Read(b)
	}
	if errors.Is(err, io.EOF) && c.peekErr != nil {
		err = c.peekErr
	}
	if n > 0 && c.checksHead {
		if err := c.head.Scan(b[:n]); err != nil {
			return 0, err
		}
	}
	if n > 0 {
		c.received += int64(n)
		c.link.RecordCallerBytes(n)
		c.receivedAt.Store(int64(c.clk.Now()))
		c.hasReceived.Store(true)
	}
	return n, err
}

// beginHead checks what is read from now on, which begins with the bytes that are buffered, until
// the end of a head.
func (c *conn) beginHead() error {
	c.head.Reset()
	c.checksHead = true
	// Never fails: these bytes are buffered.
	buffered, _ := c.br.Peek(c.br.Buffered())
	return c.head.Scan(buffered)
}

// hasArrived reports whether there is data to read, or the end of the connection.
func (c *conn) hasArrived() bool {
	quiet, err := sock.NothingToRead(c.nc)
	if err != nil && !errors.Is(err, sock.ErrNotSyscallConn) {
		c.peekErr = err
	}
	return err != nil || !quiet
}

// setReadTimeout sets the time within which the next bytes must arrive.
func (c *conn) setReadTimeout(d clock.Millis) {
	// It fails only on a closed connection, which the next read reports.
	_ = c.nc.SetReadDeadline(clock.Deadline(max(0, d)))
}

// setWriteTimeout sets the time within which a request must be written.
func (c *conn) setWriteTimeout(d clock.Millis) {
	// It fails only on a closed connection, which the next write reports.
	_ = c.nc.SetWriteDeadline(clock.Deadline(max(0, d)))
}

// abort resets the connection. Another goroutine may be reading from it. An engine may take a
// FIN for the end of the request alone, and work on.
func (c *conn) abort() {
	if t, ok := c.nc.(*net.TCPConn); ok {
		// Fails only on a closed connection.
		_ = t.SetLinger(0)
	}
	_ = c.nc.Close()
}

// reusable reports whether an idle connection is open and has received no data.
func (c *conn) reusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	quiet, err := sock.NothingToRead(c.nc)
	return err == nil && quiet
}

// stale reports whether this instance was suspended since the connection was last known to
// be open. The engine may have closed it during the suspension without this instance
// receiving that. A response shows that the connection was open when its request was sent,
// but not when it was read: it may have arrived before the suspension.
func (c *conn) stale() bool { return max(c.dialedAt, c.sentAt) < c.clk.ResumedAt() }

// acquire returns an idle connection for a request, or a new one. A connection is not used for the
// same request again, as a second copy of its first response would have the right ID.
func (p *Pool) acquire(ctx context.Context, addr, requestID string) (*conn, error) {
	for c := p.takeIdle(addr); c != nil; c = p.takeIdle(addr) {
		sameRequest := requestID != "" && c.requestID == requestID
		if c.expiresAt > p.clk.Now() && !sameRequest && c.reusable() && !c.stale() {
			c.received = 0
			return c, nil
		}
		p.discard(c)
	}
	for {
		c, err := p.dial(ctx, addr)
		if err != nil || !c.stale() {
			return c, err
		}
		p.discard(c)
	}
}

// Reserve makes sure that there is an idle connection to addr for the next request, and opens
// one if necessary. It waits no longer for it than checkDialTimeout.
func (p *Pool) Reserve(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, checkDialTimeout.Duration())
	defer cancel()
	c, err := p.acquire(ctx, addr, "")
	if err != nil {
		return err
	}
	p.keep(c)
	return nil
}

// keep makes an acquired connection idle again that no request was sent on.
func (p *Pool) keep(c *conn) {
	if c.expiresAt == 0 {
		p.release(c, nil)
		return
	}
	p.mu.Lock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
	p.mu.Unlock()
}

// dial opens a connection unless the limit for the address is reached.
func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	if limit := p.maxConns[addr]; limit > 0 && p.open[addr] >= limit {
		p.mu.Unlock()
		return nil, fmt.Errorf("%s: %w", addr, ErrFull)
	}
	return p.dialCounted(ctx, addr)
}

// dialCounted opens a connection. The caller holds mu, which it unlocks.
func (p *Pool) dialCounted(ctx context.Context, addr string) (*conn, error) {
	p.open[addr]++
	p.dialed++
	number := p.dialed
	p.mu.Unlock()
	p.dials.Inc()
	dialed := p.clk.Now()
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.uncount(addr)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c := &conn{nc: nc, addr: addr, dialedAt: dialed, connectedAt: p.clk.Now(), number: number, clk: p.clk, link: p.link}
	c.receivedAt.Store(int64(c.connectedAt))
	c.br = bufio.NewReaderSize(c, readBufferSize)
	return c, nil
}

// Preconnect opens a connection to addr and keeps it idle for a later request.
func (p *Pool) Preconnect(addr string) error {
	c, err := p.dial(context.Background(), addr)
	if err != nil {
		return err
	}
	p.release(c, nil)
	return nil
}

// ProcessEnded reports whether the process that listened at addr has ended, which is known
// only if its machine refuses a connection. It returns false if the machine does not
// respond in time. An established connection is kept for a later request.
func (p *Pool) ProcessEnded(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkDialTimeout.Duration())
	defer cancel()
	c, err := p.dial(ctx, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.release(c, nil)
	return false
}

// Unresponsive reports whether the machine at addr accepts a connection but its process
// sends no data within timeout after r, and no data was received on another connection
// since the given time. It returns false if the machine does not respond.
func (p *Pool) Unresponsive(ctx context.Context, addr string, r *Request, since, timeout clock.Millis) bool {
	if p.receivedSince(addr, since) {
		return false
	}
	dialing, cancel := context.WithTimeout(ctx, checkDialTimeout.Duration())
	defer cancel()
	c, err := p.dial(dialing, addr)
	if err != nil {
		return false
	}
	defer p.discard(c)
	stop := context.AfterFunc(ctx, c.abort)
	defer stop()
	p.healthChecks.Inc()
	c.setReadTimeout(timeout)
	c.setWriteTimeout(timeout)
	if _, err := c.nc.Write(requestHead(r)); err != nil {
		return false
	}
	_, err = c.br.Peek(1)
	return isTimeout(err) && ctx.Err() == nil && !p.receivedSince(addr, since)
}

// receivedSince reports whether data was received on a connection to addr since a time.
func (p *Pool) receivedSince(addr string, since clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	received := func(c *conn) bool { return c.hasReceived.Load() && clock.Millis(c.receivedAt.Load()) >= since }
	for c := range p.busy[addr] {
		if received(c) {
			return true
		}
	}
	return slices.ContainsFunc(p.idle[addr], received)
}

// ClosedByPeer reports whether an error means that the peer closed or reset the connection,
// rather than sent nothing or invalid data.
func ClosedByPeer(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// takeIdle removes and returns the most recently used idle connection, or nil. It closes
// idle connections that may be silent.
func (p *Pool) takeIdle(addr string) *conn {
	c, old := p.popIdle(addr)
	for _, o := range old {
		p.discard(o)
	}
	return c
}

// popIdle is takeIdle, but returns the connections that may be silent in old. The caller must
// close them.
func (p *Pool) popIdle(addr string) (c *conn, old []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old = p.removeSilent(addr, p.clk.Now())
	idle := p.idle[addr]
	if len(idle) == 0 {
		return nil, old
	}
	c = idle[len(idle)-1]
	p.idle[addr] = idle[:len(idle)-1]
	return c, old
}

// beginExchange records that the exchange of a request begins on c.
func (p *Pool) beginExchange(c *conn, r *Request) {
	c.onSilence = r.OnSilence
	c.exchanges++
	c.requestID = r.ID
	if c.trace = r.Trace; c.trace == nil {
		c.trace = &Trace{}
	}
	c.trace.Conn, c.trace.Exchange = c.number, c.exchanges
	p.mu.Lock()
	defer p.mu.Unlock()
	c.sentAt, c.silenceTimeout, c.silent = p.clk.Now(), r.SilenceTimeout, false
	if p.busy[c.addr] == nil {
		p.busy[c.addr] = map[*conn]bool{}
	}
	p.busy[c.addr][c] = true
}

// endExchange records that the exchange on c is over, and keeps, closes or resets c. h is the
// head of the response.
func (p *Pool) endExchange(c *conn, end ConnEnd, h http.Header) {
	c.onSilence = nil
	trace := c.trace
	c.trace = nil
	p.endBusy(c)
	switch end {
	case ConnKept:
		end = p.release(c, h)
	case ConnReset:
		c.abort()
		p.uncount(c.addr)
	case ConnClosed:
		p.discard(c)
	}
	trace.End = end
}

// endBusy removes c from the connections with an exchange in progress.
func (p *Pool) endBusy(c *conn) {
	now := p.clk.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	busy := p.busy[c.addr]
	if !busy[c] {
		return
	}
	p.checkSilence(c, now)
	if delete(busy, c); len(busy) == 0 {
		delete(p.busy, c.addr)
	}
}

// checkSilence marks c as silent if it has received nothing for longer than its exchange
// allows. The exchange itself goes on, as the engine may only be slow. The caller holds
// mu.
func (p *Pool) checkSilence(c *conn, now clock.Millis) {
	last := max(c.sentAt, clock.Millis(c.receivedAt.Load()))
	if c.silent || c.silenceTimeout <= 0 || now-last < c.silenceTimeout {
		return
	}
	c.silent = true
	p.silent.Inc()
	p.silentSince[c.addr] = max(p.silentSince[c.addr], last)
}

// removeSilent marks silent exchanges with addr. It removes and returns the idle connections
// that have received no data since silentSince. Each of these may be silent, and a request
// would be lost to find out. Connections that have received data since are known to work.
// The caller holds mu, and must close the returned connections.
func (p *Pool) removeSilent(addr string, now clock.Millis) []*conn {
	for c := range p.busy[addr] {
		p.checkSilence(c, now)
	}
	since, ok := p.silentSince[addr]
	if !ok {
		return nil
	}
	var old []*conn
	p.idle[addr] = slices.DeleteFunc(p.idle[addr], func(c *conn) bool {
		silent := clock.Millis(c.receivedAt.Load()) <= since
		if silent {
			old = append(old, c)
		}
		return silent
	})
	if len(p.idle[addr]) == 0 {
		delete(p.idle, addr)
	}
	if len(old) > 0 {
		p.log.Warn("connection_silent", "to", "engine", "addr", addr, "silent_ms", now-since, "closed", len(old))
	}
	return old
}

// release keeps c idle, or closes it if the Keep-Alive header of the engine leaves it no idle
// time.
func (p *Pool) release(c *conn, h http.Header) ConnEnd {
	idle := idleTimeout
	if s := keepAliveSeconds(h.Get("Keep-Alive")); s >= 0 {
		idle = min(idle, clock.Millis(s)*1000-idleMargin)
	}
	if idle <= 0 {
		p.discard(c)
		return ConnClosed
	}
	c.expiresAt = p.clk.Now() + idle
	p.mu.Lock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
	p.mu.Unlock()
	return ConnKept
}

// discard closes c.
func (p *Pool) discard(c *conn) {
	// Nothing can be done about a failed close.
	_ = c.nc.Close()
	p.uncount(c.addr)
}

// uncount removes a connection to addr from the count of open ones.
func (p *Pool) uncount(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[addr]--; p.open[addr] <= 0 {
		delete(p.open, addr)
	}
}

// keepAliveSeconds returns the timeout in a Keep-Alive header, or -1 if it has none.
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
