package callers

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/sock"
)

const (
	// fileDescriptors is the number of descriptors that are left to files, and maxFileShare the
	// divisor for their share of a lower limit.
	fileDescriptors, maxFileShare = 200, 8
	// evictionShare is the divisor for the share of the connections that are closed at once. Each
	// time, all connections are examined.
	evictionShare = 32
	// roomPeriod is the longest interval between looks for connections to close.
	roomPeriod clock.Millis = 20
	// acceptPause is the pause after a failed accept.
	acceptPause clock.Millis = 100
)

// MaxConns returns how many connections of callers a process may have open that may open the
// given number of descriptors. Each request takes a connection to an engine as well, so it is
// half of those that are not left to files.
func MaxConns(descriptors int) int {
	return max(1, (descriptors-min(fileDescriptors, descriptors/maxFileShare))/2)
}

// evictable lists the causes of evictions in the order in which connections give way.
var evictable = []endCause{causeEvictedIdle, causeEvictedHeader, causeEvictedBody}

// Full reports whether new connections wait because all others have requests in flight. The
// response to a request should then say that its connection closes. ctx is the context of the
// request.
func Full(ctx context.Context) bool {
	c := connFromContext(ctx)
	return c != nil && c.server.full.Load()
}

// accept accepts a connection once there are at most as many as allowed. If that fails, as it does
// without a free descriptor or memory of the kernel, it closes a connection and tries again.
func (l listener) accept() (*conn, error) {
	for {
		l.s.waitForRoom()
		nc, err := l.Listener.Accept()
		if err == nil {
			l.s.acceptFailing = false
			return l.s.track(nc), nil
		}
		if errors.Is(err, net.ErrClosed) || l.s.isClosing() {
			return nil, err
		}
		if !l.s.acceptFailing {
			l.s.cfg.Log.Error("accept_failed", "addr", l.Addr(), "error", err)
		}
		l.s.acceptFailing = true
		l.s.evict(1)
		clock.Sleep(context.Background(), acceptPause)
	}
}

// waitForRoom returns once there are at most MaxConns connections, or the server closes.
func (s *Server) waitForRoom() {
	defer s.full.Store(false)
	for n := s.excess(); n > 0; n = s.excess() {
		found := s.evict(n)
		s.full.Store(!found)
		clock.Await(context.Background(), s.removed, roomPeriod)
	}
}

// excess returns by how many the connections exceed MaxConns, 0 if the server closes.
func (s *Server) excess() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || s.cfg.MaxConns <= 0 {
		return 0
	}
	return max(0, len(s.conns)-s.cfg.MaxConns)
}

// notifyRoom wakes the accepting goroutine after a connection was closed or became idle.
func (s *Server) notifyRoom() {
	select {
	case s.removed <- struct{}{}:
	default:
	}
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// candidate is a connection that may give way.
type candidate struct {
	c     *conn
	order int
	since clock.Millis
}

// evict starts to close connections until n or somewhat more are being closed. It reports whether
// there are any.
func (s *Server) evict(n int) bool {
	open := s.openConns()
	n = max(n, len(open)/evictionShare)
	var candidates []candidate
	pending := 0
	for _, c := range open {
		order, since, isPending := c.evictionOrder()
		switch {
		case isPending:
			pending++
		case order >= 0:
			candidates = append(candidates, candidate{c, order, since})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.since, b.since))
	})
	for _, v := range candidates[:min(len(candidates), max(0, n-pending))] {
		v.c.evict(evictable[v.order])
	}
	return pending > 0 || len(candidates) > 0
}

// evictionOrder returns the index in evictable of the cause for which the connection may be
// closed, or -1 if it must stay open, and since when the cause holds. pending reports whether the
// connection is being closed.
func (c *conn) evictionOrder() (order int, since clock.Millis, pending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		if c.lingering {
			// Its response is complete.
			_ = c.Conn.SetReadDeadline(clock.Deadline(0))
		}
		return -1, 0, true
	case c.bodyOverdue && c.writing.Load():
		// Nothing reads the connection until the caller has read the response.
		return -1, 0, false
	case c.closing, c.overdue, c.bodyOverdue:
		// net/http may have set another deadline meanwhile.
		_ = c.Conn.SetReadDeadline(clock.Deadline(0))
		return -1, 0, true
	case !c.active && !c.awaitsFirstRequest():
		return slices.Index(evictable, causeEvictedIdle), c.since, false
	case c.active && !c.headerRead && c.server.cfg.Clock.Now()-c.since >= QuietPeriod:
		return slices.Index(evictable, causeEvictedHeader), c.since, false
	case c.awaitsBody() && c.server.cfg.Clock.Now()-c.since >= QuietPeriod:
		return slices.Index(evictable, causeEvictedBody), c.request.lastReadAt, false
	}
	return -1, 0, false
}

// evict starts to close the connection, unless its state has changed.
func (c *conn) evict(cause endCause) {
	switch cause {
	case causeEvictedIdle:
		c.closeIfIdle(cause, 0, 0)
	case causeEvictedHeader:
		c.expireHeader(cause, 0, 0)
	case causeEvictedBody:
		c.expireBody()
	}
}

// awaitsBody reports whether the body of the current request has not been read completely. c.mu
// must be held.
func (c *conn) awaitsBody() bool {
	return c.active && c.headerRead && c.request.handling && !c.request.wholeBody && c.pipelined.done == nil
}

// expireBody interrupts the read of a body, so that its handler responds that the body did not
// arrive in time. What has arrived is read first.
func (c *conn) expireBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaitsBody() || c.bodyOverdue || c.end.cause != "" {
		return
	}
	c.bodyOverdue = true
	c.end.set(causeEvictedBody, 0, 0)
	// Fails only if the connection is closed.
	_ = c.Conn.SetReadDeadline(clock.Deadline(0))
}

// cancelBodyExpiry keeps the connection open if it is being closed because its body is
// incomplete. c.mu must be held.
func (c *conn) cancelBodyExpiry() {
	if c.bodyOverdue {
		c.bodyOverdue, c.end = false, connEnd{}
		_ = c.Conn.SetReadDeadline(c.pipelined.deadline)
	}
}

// bodyContinues reports whether a read of n bytes goes on although it was interrupted by
// expireBody: data has arrived, or the body was complete and net/http waits for a disconnect.
func (c *conn) bodyContinues(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.bodyOverdue {
		return false
	}
	quiet, err := sock.NothingToRead(c.Conn)
	if n > 1 && (quiet || err != nil) {
		return false
	}
	c.cancelBodyExpiry()
	return true
}

// countEviction counts a connection that was closed to make room for another one.
func (s *Server) countEviction(cause endCause) {
	metrics.GetOrCreateCounter(fmt.Sprintf("weldfall_connections_evicted_total{cause=%q}", cause)).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictions[cause]++
}

// logEvictions logs the evictions since the last call.
func (s *Server) logEvictions() {
	s.mu.Lock()
	counts, open := s.evictions, len(s.conns)
	s.evictions = map[endCause]int{}
	s.mu.Unlock()
	if len(counts) == 0 {
		return
	}
	args := []any{"open", open, "limit", s.cfg.MaxConns}
	for _, cause := range evictable {
		args = append(args, string(cause), counts[cause])
	}
	s.cfg.Log.Warn("connections_evicted", args...)
}
