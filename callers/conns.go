package callers

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/sock"
)

// phase is what a caller did when it fell silent.
type phase string

const (
	// phaseHeader and inBody are a request of which a part never came, inAnswer an
	// answer that the caller does not take.
	phaseHeader   phase = "head"
	phaseBody     phase = "body"
	phaseResponse phase = "answer"
)

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// contextWithConn hands the connection to its requests.
func contextWithConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// connFromContext returns the connection of a request, nil if it is not known.
func connFromContext(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// OnDisconnect has left called once if the caller of a request leaves, or has left, until
// done is called. The context is that of the request.
func OnDisconnect(ctx context.Context, left func(cause error)) (done func()) {
	c := connFromContext(ctx)
	if c == nil {
		return func() {}
	}
	c.setOnDisconnect(left)
	return func() { c.setOnDisconnect(nil) }
}

// RecordBodyTimeout says that a part of the body of a request never came.
func RecordBodyTimeout(ctx context.Context) {
	if c := connFromContext(ctx); c != nil {
		c.server.recordTimeout(c.RemoteAddr().String(), phaseBody)
	}
}

// recordTimeout counts and logs a caller that fell silent.
func (s *Server) recordTimeout(addr string, what phase) {
	s.timeoutsTotal.Inc()
	s.cfg.Log.Warn("connection_silent", "to", "caller", "state", what, "addr", addr)
}

// track returns a connection that the server knows from now on.
func (s *Server) track(nc net.Conn) *conn {
	c := &conn{Conn: nc, server: s, since: s.cfg.Clock.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	return c
}

// connStateChanged is the server's word on what a connection does.
func (s *Server) connStateChanged(nc net.Conn, now http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch now {
	case http.StateActive:
		// A request that came with the one before needs no further read.
		c.active, c.headerRead = true, true
		c.cancelClose()
	case http.StateIdle:
		c.active, c.headerRead, c.since = false, false, s.cfg.Clock.Now()
	}
}

// closeExpired closes the connections that have rested for too long, and those whose head
// has taken too long to arrive.
func (s *Server) closeExpired() {
	idle, head := s.cfg.Timeouts()
	now := s.cfg.Clock.Now()
	for _, c := range s.openConns() {
		c.mu.Lock()
		age, busy, headRead := now-c.since, c.active, c.headerRead
		c.mu.Unlock()
		switch {
		case !busy && age > idle:
			c.closeIfIdle()
		case busy && !headRead && age > head:
			// The caller sent half a head and stalled: it gets no answer.
			s.recordTimeout(c.RemoteAddr().String(), phaseHeader)
			_ = c.Close()
		}
	}
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

// CloseIdle closes the connections on which nothing is under way and returns
// how many.
func (s *Server) CloseIdle() int {
	n := 0
	for _, c := range s.openConns() {
		if c.closeIfIdle() {
			n++
		}
	}
	return n
}

// ActiveConns returns on how many connections a request is under way, or may be: it
// is on its way to a new connection, or the reader of one that is to be closed has
// not looked yet. The library writes the end of an answer after the handler has
// returned, so that no handler runs does not say so.
func (s *Server) ActiveConns() int {
	n := 0
	for _, c := range s.openConns() {
		c.mu.Lock()
		if c.active || c.closing || c.awaitsFirstRequest() {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// active is true from when a request is known to have come until its answer is
	// out.
	active bool
	// headerRead is true once the head of the request has been read.
	headerRead bool
	// receivedRequest is true once a request has come.
	receivedRequest bool
	// since is when the connection was opened or came to rest or, while it is
	// busy, when the request's first byte came.
	since clock.Millis
	// closing is true while the connection is to be closed for being idle: its
	// read is interrupted, and the reader closes it if nothing has come.
	closing   bool
	pipelined readAheadBuffer
	framing   framingDetector
	// resetOnClose is true while a request's handler has the connection end with a reset. Only
	// the handler's goroutine uses it.
	resetOnClose bool
	// lingerOnClose is true once an answer is out that the end of the connection ends.
	lingerOnClose atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.drainReadAhead(p)
	for n == 0 && err == nil {
		n, err = c.Conn.Read(p)
		c.server.cfg.Link.Came(n)
		if errors.Is(err, os.ErrDeadlineExceeded) && c.receivedBeforeClose() {
			err = nil
		}
	}
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framing.scan(p[:n])
	c.markActive()
	if len(p) == 1 && c.headerRead && c.pipelined.done == nil && c.pipelined.err == nil {
		c.pipelined.done = make(chan struct{})
		go c.readAhead(c.pipelined.done)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.server.recordTimeout(c.RemoteAddr().String(), phaseResponse)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	closing := c.server.closing
	c.server.mu.Unlock()
	if c.lingerOnClose.Load() && !closing {
		c.closeLingering()
	}
	return c.Conn.Close()
}

// closeIfIdle has the connection closed unless a request is under way or has
// come, and reports whether none is under way. The reader closes it, since only
// it knows what it has read: closed from here, a starved process dropped requests
// that it had read, or that its kernel held, 1 to 8 of them when 18 of 30 entries
// were stopped.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active || c.awaitsFirstRequest() {
		return false
	}
	c.closing = true
	// It fails only on a closed connection.
	_ = c.Conn.SetReadDeadline(clock.Deadline(0))
	return true
}

// awaitsFirstRequest reports whether the connection was opened so lately that its first request
// may be on its way. Nobody has had the time to let it rest: with one round trip
// between connection and request, a stopping process that looks each drainPeriod
// reset one of five callers at 10 ms, and all from 50 ms on. The caller holds mu.
func (c *conn) awaitsFirstRequest() bool {
	return !c.receivedRequest && c.server.cfg.Clock.Now()-c.since < QuietPeriod
}

// cancelClose takes back that the connection is to be closed. The caller holds mu.
func (c *conn) cancelClose() {
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(c.pipelined.deadline)
	}
}

// receivedBeforeClose reports whether a read that was interrupted to close the connection
// has something to read after all.
func (c *conn) receivedBeforeClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		return false
	}
	quiet, err := sock.Quiet(c.Conn)
	if quiet || err != nil {
		return false
	}
	c.markActive()
	return true
}

// markActive records that a request has markActive. The caller holds mu.
func (c *conn) markActive() {
	c.cancelClose()
	if !c.active {
		c.active, c.receivedRequest, c.since = true, true, c.server.cfg.Clock.Now()
	}
}
