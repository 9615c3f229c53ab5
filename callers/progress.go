package callers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/sock"
)

// endCause is why a connection of a caller ends.
type endCause string

const (
	causeIdleTimeout   endCause = "idle_timeout"
	causeHeaderTimeout endCause = "header_timeout"
	causeBodyTimeout   endCause = "body_timeout"
	causeWriteTimeout  endCause = "write_timeout"
	causeDrain         endCause = "drain"
	causeProcessEnd    endCause = "process_end"
	causeCallerClosed  endCause = "caller_closed"
	causeCallerReset   endCause = "caller_reset"
	causeAborted       endCause = "response_aborted"
	causePanicked      endCause = "handler_panicked"
	causeAfterResponse endCause = "after_response"
	causeEvictedIdle   endCause = "evicted_idle"
	causeEvictedHeader endCause = "evicted_head"
	causeEvictedBody   endCause = "evicted_body"
)

// level returns the level of the log line. Callers disconnect at any time, and evictions are many.
func (e endCause) level() slog.Level {
	switch {
	case e == causeCallerClosed || e == causeCallerReset:
		return slog.LevelInfo
	case e.isEviction():
		return slog.LevelDebug
	}
	return slog.LevelWarn
}

func (e endCause) isEviction() bool { return slices.Contains(evictable, e) }

// received is how much of a request was read.
type received string

const (
	receivedNothing received = "nothing"
	receivedPart    received = "head_part"
	receivedHeader  received = "head"
	receivedBody    received = "body_part"
	receivedWhole   received = "whole"
)

// delivered is how much of a response was written.
type delivered string

const (
	deliveredNothing delivered = "none"
	deliveredPart    delivered = "part"
	deliveredWhole   delivered = "whole"
)

// connEnd is why a connection ends. The first cause counts.
type connEnd struct {
	cause endCause
	// limit is the limit that ended the connection, 0 if none did, and version that of the
	// settings that set it.
	limit   clock.Millis
	version int64
}

// set sets the cause and reports whether there was none.
func (e *connEnd) set(cause endCause, limit clock.Millis, version int64) bool {
	if e.cause != "" {
		return false
	}
	*e = connEnd{cause, limit, version}
	return true
}

// requestProgress is how far a request and its response have got. It is guarded by conn.mu.
type requestProgress struct {
	id string
	// version is the version of the settings in force when the header had been read.
	version int64
	// bytesRead counts the bytes read since the request began, lastReadAt is when the last
	// of them were read.
	bytesRead  int
	lastReadAt clock.Millis
	// bodyRead counts the bytes of the body, wholeBody is set once it was read completely.
	bodyRead  int
	wholeBody bool
	written   int
	// handling is set when the handler starts, handled when it returns.
	handling, handled bool
	writeFailed       bool
	// abandoned is set if the caller disconnected before the handler returned.
	abandoned bool
}

func (p *requestProgress) recordRead(n int, now clock.Millis) {
	p.bytesRead += n
	p.lastReadAt = now
}

func (p *requestProgress) received(active, headerRead bool) received {
	switch {
	case !active:
		return receivedNothing
	case !headerRead || !p.handling:
		return receivedPart
	case p.wholeBody:
		return receivedWhole
	case p.bodyRead > 0:
		return receivedBody
	}
	return receivedHeader
}

// delivered returns how much of the response was written. ending is true if the server closes
// the connection by itself, and not net/http after the last byte.
func (p *requestProgress) delivered(ending bool) delivered {
	// net/http rejects malformed requests itself.
	complete := p.handled || !p.handling && p.written > 0
	switch {
	case complete && !p.writeFailed && !ending:
		return deliveredWhole
	case p.written > 0:
		return deliveredPart
	}
	return deliveredNothing
}

// SetRequest names the request that is served, and the version of the settings in force when its
// header had been read, for the log. ctx is the context of the request.
func SetRequest(ctx context.Context, id string, version int64) {
	c := connFromContext(ctx)
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.id, c.request.version = id[:min(len(id), maxLoggedID)], version
}

// maxLoggedID is the number of bytes of a request's ID that are logged.
const maxLoggedID = 64

// trackRequests wraps h to record the progress of each request in its connection.
func trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connFromContext(r.Context())
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		noBody := r.Body == nil || r.Body == http.NoBody
		c.recordHandler(func(p *requestProgress) { p.handling, p.wholeBody = true, noBody })
		if !noBody {
			// net/http examines the body of its own request.
			copied := *r
			copied.Body = trackedBody{r.Body, c}
			r = &copied
		}
		h.ServeHTTP(w, r)
		c.recordHandler(func(p *requestProgress) { p.handled = true })
	})
}

func (c *conn) recordHandler(f func(p *requestProgress)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.request)
}

// trackedBody records how much of a body was read.
type trackedBody struct {
	io.ReadCloser
	c *conn
}

// Read implements io.Reader.
func (b trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.c.recordHandler(func(p *requestProgress) {
		p.bodyRead += n
		p.wholeBody = p.wholeBody || err == io.EOF
	})
	return n, err
}

// setEndCause sets why the connection ends and reports whether there was no earlier cause.
func (c *conn) setEndCause(cause endCause, limit clock.Millis, version int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end.set(cause, limit, version)
}

func (c *conn) recordReadError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordReadErrorLocked(err)
}

// recordReadErrorLocked records that reading failed. c.mu must be held.
func (c *conn) recordReadErrorLocked(err error) {
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return
	case errors.Is(err, io.EOF):
		c.end.set(causeCallerClosed, 0, 0)
	default:
		c.end.set(causeCallerReset, 0, 0)
	}
	c.request.abandoned = c.request.abandoned || !c.request.handled
	// net/http may have buffered further requests.
	c.pipelined.err = err
}

func (c *conn) recordWrite(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.written += n
	if err == nil {
		return
	}
	c.request.writeFailed = true
	switch {
	case errors.Is(err, net.ErrClosed):
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.end.set(causeWriteTimeout, 0, 0)
	default:
		c.end.set(causeCallerReset, 0, 0)
	}
}

// reportEnd logs and counts the end of the connection if a request on it, or a part of one, was
// received and not answered completely. It must be called before the connection is closed. It
// returns true if the connection ends right after a complete response.
func (c *conn) reportEnd() (afterResponse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.closed = true
	if c.end.cause.isEviction() {
		c.server.countEviction(c.end.cause)
	}
	// Fails only for connections that are not of the operating system.
	unread, err := sock.UnreadBytes(c.Conn)
	if err != nil {
		unread = 0
	}
	response := c.request.delivered(c.end.cause == causeProcessEnd)
	answered := !c.active || response == deliveredWhole && !c.request.abandoned
	afterResponse = c.active && answered
	switch {
	case !answered:
		c.end.set(causePanicked, 0, 0)
	case unread == 0 && len(c.pipelined.bytes) == 0:
		return afterResponse
	default:
		c.end.set(causeAfterResponse, 0, 0)
	}
	c.logEnd(response, unread)
	return afterResponse
}

// logEnd logs and counts the end of the connection. c.mu must be held.
func (c *conn) logEnd(response delivered, unread int) {
	p, now := &c.request, c.server.cfg.Clock.Now()
	var begun, last clock.Millis
	if c.active {
		begun, last = now-c.since, now-max(c.since, p.lastReadAt)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("weldfall_connections_ended_total{cause=%q}", c.end.cause)).Inc()
	c.server.cfg.Log.Log(context.Background(), c.end.cause.level(), "connection_ended", "addr", c.RemoteAddr().String(), "cause", c.end.cause,
		"limit_ms", c.end.limit, "version", max(c.end.version, p.version), "request", p.id, "received", p.received(c.active, c.headerRead),
		"response", response, "bytes", p.bytesRead, "body", p.bodyRead, "ahead", len(c.pipelined.bytes), "unread", unread,
		"begun_ms", begun, "last_ms", last, "stalled_ms", c.server.pauses.since(now-begun, now))
}

// pauses records for how long the process did not run. It is safe for concurrent use.
type pauses struct {
	mu sync.Mutex
	// checkedAt is when the process was last known to run. It is valid if started is true.
	checkedAt clock.Millis
	started   bool
	// resumedAt is when the latest pause ended, after the given length.
	resumedAt, length clock.Millis
}

// minPause is how late a check must be for the process to count as paused.
const minPause clock.Millis = 500

// record is called every sweepPeriod.
func (p *pauses) record(now clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if late := p.late(now); late > 0 {
		p.resumedAt, p.length = now, late
	}
	p.checkedAt, p.started = now, true
}

// late returns for how long the process has not run since the last check. p.mu must be held.
func (p *pauses) late(now clock.Millis) clock.Millis {
	if late := now - p.checkedAt - sweepPeriod; p.started && late >= minPause {
		return late
	}
	return 0
}

// lastResumedAt returns when the latest known pause ended, 0 if there was none.
func (p *pauses) lastResumedAt() clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumedAt
}

// since returns the length of the latest known pause that ended after start, or 0.
func (p *pauses) since(start, now clock.Millis) clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	if late := p.late(now); late > 0 {
		return late
	}
	if p.resumedAt < start {
		return 0
	}
	return p.length
}
