// Package callers implements the HTTP server that callers connect to, and the management of
// their connections. A connection is closed only while no request is in flight on it, also when
// the process stops. A disconnect of a caller is detected at once.
package callers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/downlink"
)

const (
	// sweepPeriod is the interval between checks of the connections for timeouts.
	sweepPeriod clock.Millis = 1000
	// drainPeriod is the interval between checks whether a stopping process may exit.
	drainPeriod clock.Millis = 50
	// QuietPeriod is how long a stopping process must have received no request before it
	// exits: a few round trips to callers after it closed its idle connections.
	QuietPeriod clock.Millis = 300
)

// Config sets up a Server.
type Config struct {
	Handler http.Handler
	// MaxHeaderBytes limits the size of a request header.
	MaxHeaderBytes int
	// MaxConns limits the number of open connections, 0 if there is no limit. Beyond it, those
	// that are idle or whose request has not arrived completely are closed, and while there are
	// none, new ones wait.
	MaxConns int
	// Limits returns the limits in force.
	Limits func() Limits
	// Link is the downlink of the process, or nil if its rate is unknown.
	Link  *downlink.Downlink
	Clock *clock.Clock
	Log   *slog.Logger
}

// Limits are the operators' limits on connections of callers.
type Limits struct {
	// Idle is the longest time for which a connection may be idle.
	Idle clock.Millis
	// Header is the longest time for which a request header may take to arrive.
	Header clock.Millis
	// Version is the version of the settings that set the limits, 0 if none did.
	Version int64
}

// Server is an HTTP server that tracks its connections, so that a stopping process can close
// the idle ones. http.Server.Shutdown is not used for this, since it closes connections whose
// next request has been read but not yet started. Server is safe for concurrent use.
type Server struct {
	cfg           Config
	http          *http.Server
	timeoutsTotal *metrics.Counter
	pauses        pauses

	mu    sync.Mutex
	conns map[*conn]bool
	// closing is set by Close.
	closing bool
	// evictions counts the connections that were closed to make room, since the last log line.
	evictions map[endCause]int
	// removed receives a value when a connection was closed or became idle. It has room for one.
	removed chan struct{}
	// full is set while a new connection waits and no other one may be closed.
	full atomic.Bool
	// acceptFailing is set while accepting fails. It is used only by the accepting goroutine.
	acceptFailing bool
}

// New returns a server that is not yet serving.
func New(cfg Config) *Server {
	s := &Server{
		cfg: cfg, conns: map[*conn]bool{}, evictions: map[endCause]int{}, removed: make(chan struct{}, 1),
		timeoutsTotal: metrics.GetOrCreateCounter(`weldfall_silent_connections_total{to="caller"}`),
	}
	s.http = &http.Server{
		ConnState: s.connStateChanged, ConnContext: contextWithConn, Handler: trackRequests(checkFraming(resetUnfinished(cfg.Handler))), MaxHeaderBytes: cfg.MaxHeaderBytes,
		ErrorLog: slog.NewLogLogger(cfg.Log.Handler(), slog.LevelDebug),
	}
	return s
}

// Serve accepts connections on ln until Close is called, and then returns nil.
func (s *Server) Serve(ln net.Listener) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s.pauses.record(s.cfg.Clock.Now())
	go clock.Every(ctx, sweepPeriod, s.closeExpired)
	if err := s.http.Serve(listener{ln, s}); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers on %s: %w", ln.Addr(), err)
	}
	return nil
}

// Drain closes idle connections until no request is in flight and none has arrived for
// QuietPeriod, or until the deadline. busy reports whether requests are being handled, and
// lastRequestAt returns when the latest one arrived.
func (s *Server) Drain(deadline clock.Millis, busy func() bool, lastRequestAt func() clock.Millis) {
	start := s.cfg.Clock.Now()
	for now, checkedAt := start, start; now < deadline; now = s.cfg.Clock.Now() {
		if now-checkedAt >= QuietPeriod {
			// Requests may have arrived while the process did not run.
			start = now
		}
		checkedAt = now
		quiet := now - max(start, lastRequestAt())
		if !busy() && s.ActiveConns() == 0 && quiet >= QuietPeriod {
			return
		}
		s.CloseIdle()
		clock.Sleep(context.Background(), drainPeriod)
	}
}

// Close closes the server and all open connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	for _, c := range s.openConns() {
		c.setEndCause(causeProcessEnd, 0, 0)
	}
	_ = s.http.Close()
	// net/http does not know a connection that was accepted just now.
	for _, c := range s.openConns() {
		_ = c.Close()
	}
}

// listener wraps accepted connections so that the server tracks them.
type listener struct {
	net.Listener
	s *Server
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.accept()
	if err != nil {
		return nil, err
	}
	return c, nil
}
