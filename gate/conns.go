package gate

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/downlink"
	"github.com/weldfall/weldfall/common/sock"
)

// callerConns knows the connections of callers, so that a stopping process
// can close those on which nothing is under way. The library's own way to do
// so closes a connection whose next request has been read but not yet begun.
type callerConns struct {
	net.Listener
	clk    *clock.Clock
	log    *slog.Logger
	silent *metrics.Counter
	link   *downlink.Downlink
	mu     sync.Mutex
	open   map[*callerConn]bool
}

func newCallerConns(ln net.Listener, clk *clock.Clock, link *downlink.Downlink, log *slog.Logger) *callerConns {
	return &callerConns{
		Listener: ln, clk: clk, log: log, link: link, open: map[*callerConn]bool{},
		silent: metrics.GetOrCreateCounter(`weldfall_silent_connections_total{to="caller"}`),
	}
}

// stalled is what a caller did when it fell silent.
type stalled string

const (
	// inHead and inBody are a request of which a part never came, inAnswer an
	// answer that the caller does not take.
	inHead   stalled = "head"
	inBody   stalled = "body"
	inAnswer stalled = "answer"
)

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// withConn hands the connection to its requests.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// callerConnOf returns the connection of a request, nil if it is not known.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(connKey{}).(*callerConn)
	return c
}

// tellSilent counts and logs a caller that fell silent.
func (l *callerConns) tellSilent(addr string, s stalled) {
	l.silent.Inc()
	l.log.Warn("connection_silent", "to", "caller", "state", s, "addr", addr)
}

// Accept implements net.Listener.
func (l *callerConns) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: nc, list: l, since: l.clk.Now()}
	l.mu.Lock()
	l.open[c] = true
	l.mu.Unlock()
	return c, nil
}

// state is the server's word on what a connection does.
func (l *callerConns) state(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive:
		// A request that came with the one before needs no further read.
		c.busy, c.headRead = true, true
		c.keep()
	case http.StateIdle:
		c.busy, c.headRead, c.since = false, false, l.clk.Now()
	}
}

// sweep closes the connections that have rested for longer than idle, and
// those whose head has taken longer than head to arrive.
func (l *callerConns) sweep(idle, head clock.Millis) {
	now := l.clk.Now()
	for _, c := range l.list() {
		c.mu.Lock()
		age, busy, headRead := now-c.since, c.busy, c.headRead
		c.mu.Unlock()
		switch {
		case !busy && age > idle:
			c.closeIfIdle()
		case busy && !headRead && age > head:
			// The caller sent half a head and stalled: it gets no answer.
			l.tellSilent(c.RemoteAddr().String(), inHead)
			_ = c.Close()
		}
	}
}

func (l *callerConns) list() []*callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := make([]*callerConn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	return open
}

// closeIdle closes the connections on which nothing is under way and returns
// how many.
func (l *callerConns) closeIdle() int {
	n := 0
	for _, c := range l.list() {
		if c.closeIfIdle() {
			n++
		}
	}
	return n
}

// underWay returns on how many connections a request is under way, or may be: it
// is on its way to a new connection, or the reader of one that is to be closed has
// not looked yet. The library writes the end of an answer after the handler has
// returned, so that no handler runs does not say so.
func (l *callerConns) underWay() int {
	n := 0
	for _, c := range l.list() {
		c.mu.Lock()
		if c.busy || c.closing || c.isNew() {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	list *callerConns

	mu sync.Mutex
	// busy is true from when a request is known to have come until its answer is
	// out.
	busy bool
	// headRead is true once the head of the request has been read.
	headRead bool
	// used is true once a request has come.
	used bool
	// since is when the connection was opened or came to rest or, while it is
	// busy, when the request's first byte came.
	since clock.Millis
	// closing is true while the connection is to be closed for being idle: its
	// read is interrupted, and the reader closes it if nothing has come.
	closing bool
	ahead   aheadOf
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.takeAhead(p)
	for n == 0 && err == nil {
		n, err = c.Conn.Read(p)
		c.list.link.Came(n)
		if errors.Is(err, os.ErrDeadlineExceeded) && c.hasMore() {
			err = nil
		}
	}
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.come()
	if len(p) == 1 && c.headRead && c.ahead.done == nil && c.ahead.end == nil {
		c.ahead.done = make(chan struct{})
		go c.readAhead(c.ahead.done)
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.list.tellSilent(c.RemoteAddr().String(), inAnswer)
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.list.mu.Lock()
	delete(c.list.open, c)
	c.list.mu.Unlock()
	return c.Conn.Close()
}

// closeIfIdle has the connection closed unless a request is under way or has
// come, and reports whether none is under way. The reader closes it, since only
// it knows what it has read: closed from here, a starved process dropped requests
// that it had read, or that its kernel held, 1 to 8 of them when 18 of 30 entries
// were stopped.
func (c *callerConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.isNew() {
		return false
	}
	c.closing = true
	// It fails only on a closed connection.
	_ = c.Conn.SetReadDeadline(clock.Deadline(0))
	return true
}

// isNew reports whether the connection was opened so lately that its first request
// may be on its way. Nobody has had the time to let it rest: with one round trip
// between connection and request, a stopping process that looks each drainPeriod
// reset one of five callers at 10 ms, and all from 50 ms on. The caller holds mu.
func (c *callerConn) isNew() bool {
	return !c.used && c.list.clk.Now()-c.since < drainQuiet
}

// keep takes back that the connection is to be closed. The caller holds mu.
func (c *callerConn) keep() {
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(c.ahead.deadline)
	}
}

// hasMore reports whether a read that was interrupted to close the connection
// has something to read after all.
func (c *callerConn) hasMore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		return false
	}
	quiet, err := sock.Quiet(c.Conn)
	if quiet || err != nil {
		return false
	}
	c.come()
	return true
}

// come records that a request has come. The caller holds mu.
func (c *callerConn) come() {
	c.keep()
	if !c.busy {
		c.busy, c.used, c.since = true, true, c.list.clk.Now()
	}
}
