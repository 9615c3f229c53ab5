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

// phase is the part of an exchange in which a caller timed out.
type phase string

const (
	phaseHeader   phase = "head"
	phaseBody     phase = "body"
	phaseResponse phase = "answer"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// contextWithConn implements http.Server.ConnContext.
func contextWithConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// connFromContext returns the connection of a request, or nil if ctx has none.
func connFromContext(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// OnDisconnect arranges for f to be called once when the caller of a request disconnects, or
// at once if it already has. Calling stop cancels this. ctx is the context of the request.
func OnDisconnect(ctx context.Context, f func(cause error)) (stop func()) {
	c := connFromContext(ctx)
	if c == nil {
		return func() {}
	}
	c.setOnDisconnect(f)
	return func() { c.setOnDisconnect(nil) }
}

// RecordBodyTimeout records that the body of a request did not arrive within a limit, unless its
// connection ends for another cause.
func RecordBodyTimeout(ctx context.Context, limit clock.Millis) {
	if c := connFromContext(ctx); c != nil && c.setEndCause(causeBodyTimeout, limit, 0) {
		c.server.recordTimeout(c.RemoteAddr().String(), phaseBody)
	}
}

// recordTimeout counts and logs a caller that stopped sending or reading.
func (s *Server) recordTimeout(addr string, p phase) {
	s.timeoutsTotal.Inc()
	s.cfg.Log.Warn("connection_silent", "to", "caller", "state", p, "addr", addr)
}

// track wraps a new connection and adds it to the server's connections.
func (s *Server) track(nc net.Conn) *conn {
	c := &conn{Conn: nc, server: s, since: s.cfg.Clock.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	return c
}

// connStateChanged implements http.Server.ConnState.
func (s *Server) connStateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		// A pipelined request may already be buffered, so that no Read follows.
		c.markActive()
		c.headerRead = true
		c.cancelExpiry()
	case http.StateIdle:
		if c.request.abandoned {
			// net/http closes the connection only when it reads again.
			c.logEnd(c.request.delivered(false), 0)
		}
		c.cancelBodyExpiry()
		c.active, c.headerRead, c.since = false, false, s.cfg.Clock.Now()
		c.request = requestProgress{}
		if c.pipelined.begun {
			// The first byte of the next request was read.
			c.pipelined.begun = false
			c.markActive()
			c.request.recordRead(1, c.since)
		}
		c.server.notifyRoom()
	}
}

// closeExpired closes connections that were idle for too long, and those whose request header
// did not arrive in time.
func (s *Server) closeExpired() {
	limits := s.cfg.Limits()
	now := s.cfg.Clock.Now()
	s.pauses.record(now)
	s.logEvictions()
	resumedAt := max(s.pauses.lastResumedAt(), s.cfg.Clock.ResumedAt())
	for _, c := range s.openConns() {
		c.mu.Lock()
		age, active, headerRead, header := now-c.since, c.active, c.headerRead, limits
		if c.began.Header > header.Header {
			header = c.began
		}
		// Nothing could be read while the process stood still.
		headerAge := min(age, now-resumedAt)
		c.mu.Unlock()
		switch {
		case !active && age > limits.Idle:
			c.closeIfIdle(causeIdleTimeout, limits.Idle, limits.Version)
		case active && !headerRead && headerAge > header.Header:
			c.expireHeader(causeHeaderTimeout, header.Header, header.Version)
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

// CloseIdle starts to close all connections without an active request and returns their
// number.
func (s *Server) CloseIdle() int {
	n := 0
	for _, c := range s.openConns() {
		if c.closeIfIdle(causeDrain, 0, 0) {
			n++
		}
	}
	return n
}

// ActiveConns returns the number of connections that have, or may have, a request in flight.
// It includes new connections, whose first request may be arriving, and connections being
// closed whose reader has not yet confirmed that nothing arrived. The number of running
// handlers is not enough: net/http writes the end of a response after the handler returns.
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

// conn is a connection from a caller.
type conn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// active is set from the first byte of a request until its response is written.
	active bool
	// headerRead is set once the header of the current request has been read.
	headerRead bool
	// receivedRequest is set once the first request begins to arrive.
	receivedRequest bool
	// since is when the connection was opened or last became idle. While the connection is
	// active, it is when the first byte of the request arrived.
	since clock.Millis
	// began is the limits in force when the current request began. Settings that lower the
	// limit on headers apply to later requests.
	began Limits
	// closing is set while the connection is being closed as idle, for whatever cause. Its pending
	// read is interrupted, and the reader closes it if no data has arrived.
	closing bool
	// overdue is set while the connection is being closed because the limit on its header is
	// over, or to make room for another connection. Its pending read is interrupted, and the reader closes it once no data is left.
	overdue bool
	// bodyOverdue is set while the read of a body is interrupted to make room for another
	// connection.
	bodyOverdue bool
	pipelined   readAheadBuffer
	// request is the progress of the current request, zero while there is none.
	request requestProgress
	// end is why the connection ends, zero while nothing ends it. closed is set by Close.
	end    connEnd
	closed bool
	// lingering is set while the closed connection waits for the caller to close it.
	lingering bool
	framing   framingDetector
	heads     headTracker
	// resetOnClose is set while closing the connection sends a reset. It is used only by the
	// goroutine of the request's handler.
	resetOnClose bool
	// writing is set while data is written, which takes as long as the caller does not read.
	writing atomic.Bool
	// lingerOnClose is set once a response that ends with the connection is complete.
	lingerOnClose atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.drainReadAhead(p)
	for n == 0 && err == nil {
		if c.headerExpired() {
			// net/http would respond to a header that ends within a line.
			return 0, errors.Join(net.ErrClosed, c.Close())
		}
		n, err = c.Conn.Read(p)
		c.server.cfg.Link.RecordCallerBytes(n)
		if errors.Is(err, os.ErrDeadlineExceeded) && (c.receivedBeforeClose() || c.bodyContinues(len(p))) {
			err = nil
		}
	}
	if n == 0 {
		c.recordReadError(err)
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framing.scan(p[:n])
	c.heads.scan(p[:n])
	c.markActive()
	c.request.recordRead(n, c.server.cfg.Clock.Now())
	// A read of one byte is the one by which net/http detects a disconnect.
	if len(p) == 1 && c.headerRead {
		c.pipelined.begun = true
	}
	if len(p) == 1 && c.headerRead && c.pipelined.done == nil && c.pipelined.err == nil {
		c.pipelined.done = make(chan struct{})
		go c.readAhead(c.pipelined.done)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Store(true)
	defer c.writing.Store(false)
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.server.recordTimeout(c.RemoteAddr().String(), phaseResponse)
	}
	c.recordWrite(n, err)
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.mu.Lock()
	closing := c.server.closing
	c.server.mu.Unlock()
	// What is being read ahead is neither unread nor buffered.
	c.stopReadAhead()
	answered := c.reportEnd()
	if (answered || c.lingerOnClose.Load()) && !closing {
		c.setLingering()
		c.closeLingering()
	}
	// Until here the connection is active, so that a stopping process waits for it.
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	err := c.Conn.Close()
	c.server.notifyRoom()
	return err
}

// closeIfIdle starts to close the connection and returns true, unless a request is in flight.
// It interrupts the pending read, and the reader closes the connection if no data has arrived.
// The connection must not be closed here, since only the reader knows whether a request has
// arrived. When closeIfIdle closed it, overloaded processes dropped requests that they had read
// or that were in the socket buffer: 1 to 8 requests when 18 of 30 entries were stopped.
func (c *conn) closeIfIdle(cause endCause, limit clock.Millis, version int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active || c.awaitsFirstRequest() {
		return false
	}
	c.closing = true
	c.end.set(cause, limit, version)
	// Fails only if the connection is closed.
	_ = c.Conn.SetReadDeadline(clock.Deadline(0))
	return true
}

// awaitsFirstRequest reports whether the connection is so new that its first request may still
// be in transit. Such a connection must not be closed as idle: the request arrives one round
// trip after the connection, so a stopping process that checked every drainPeriod reset one in
// five callers at a round trip of 10 ms, and all of them from 50 ms on. c.mu must be held.
func (c *conn) awaitsFirstRequest() bool {
	return !c.receivedRequest && c.server.cfg.Clock.Now()-c.since < QuietPeriod
}

// cancelClose keeps the connection open if it is being closed. c.mu must be held.
func (c *conn) cancelClose() {
	if c.closing {
		c.closing, c.end = false, connEnd{}
		_ = c.Conn.SetReadDeadline(c.pipelined.deadline)
	}
}

// expireHeader starts to close the connection because its header is incomplete. What has
// arrived is read first: the process may not have run since, and a request that is complete is
// served.
func (c *conn) expireHeader(cause endCause, limit clock.Millis, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active || c.headerRead || c.overdue {
		return
	}
	c.overdue = true
	c.end.set(cause, limit, version)
	// Fails only if the connection is closed.
	_ = c.Conn.SetReadDeadline(clock.Deadline(0))
}

// cancelExpiry keeps the connection open if it is being closed because the limit on its header
// is over. c.mu must be held.
func (c *conn) cancelExpiry() {
	if c.overdue {
		c.overdue, c.end = false, connEnd{}
		_ = c.Conn.SetReadDeadline(c.pipelined.deadline)
	}
}

// headerExpired reports whether the connection is overdue and all data was read. A caller that
// sent only part of a header gets no response.
func (c *conn) headerExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.overdue {
		return false
	}
	quiet, err := sock.NothingToRead(c.Conn)
	if !quiet && err == nil {
		_ = c.Conn.SetReadDeadline(c.pipelined.deadline)
		return false
	}
	if c.end.cause == causeHeaderTimeout {
		c.server.recordTimeout(c.RemoteAddr().String(), phaseHeader)
	}
	return true
}

// receivedBeforeClose reports whether data has arrived although the read was interrupted to
// close the connection. In that case the connection is not closed.
func (c *conn) receivedBeforeClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overdue {
		// headerExpired decides.
		return true
	}
	if !c.closing {
		return false
	}
	quiet, err := sock.NothingToRead(c.Conn)
	if quiet || err != nil {
		return false
	}
	c.markActive()
	return true
}

// markActive records that data of a request has arrived. c.mu must be held.
func (c *conn) markActive() {
	c.cancelClose()
	if !c.active {
		c.active, c.receivedRequest, c.since = true, true, c.server.cfg.Clock.Now()
		c.began, c.request = c.server.cfg.Limits(), requestProgress{}
	}
}
