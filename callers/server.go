// Package callers is the side of a process that its callers see: the server, their
// connections, and how these end when the process stops. A connection is closed only
// while nothing of a request is on its way, and a caller who leaves is noticed at once.
package callers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/downlink"
)

const (
	// sweepPeriod is how often the connections are looked through.
	sweepPeriod clock.Millis = 1000
	// drainPeriod is how often a stopping process looks whether it may end.
	drainPeriod clock.Millis = 50
	// QuietPeriod is how long nothing must have been taken before a stopping process ends,
	// once it has closed its idle connections: a few round trips to callers.
	QuietPeriod clock.Millis = 300
)

// Config sets up a Server.
type Config struct {
	Handler http.Handler
	// MaxHeaderBytes bounds the head of a request, in bytes.
	MaxHeaderBytes int
	// Timeouts returns how long a connection may rest, and how long a head may take.
	Timeouts func() (idle, head clock.Millis)
	// Link is that of the process, nil if nothing is known of it.
	Link  *downlink.Downlink
	Clock *clock.Clock
	Log   *slog.Logger
}

// Server serves callers, and knows their connections, so that a stopping process can
// close those on which nothing is under way. The library's own way to do so closes a
// connection whose next request has been read but not yet begun. It is safe for
// concurrent use.
type Server struct {
	cfg           Config
	http          *http.Server
	timeoutsTotal *metrics.Counter

	mu    sync.Mutex
	conns map[*conn]bool
	// closing is true once the server is closed with what is still open.
	closing bool
}

// New returns a server that does not yet serve.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, conns: map[*conn]bool{}, timeoutsTotal: metrics.GetOrCreateCounter(`weldfall_silent_connections_total{to="caller"}`)}
	s.http = &http.Server{
		ConnState: s.connStateChanged, ConnContext: contextWithConn, Handler: checkFraming(resetUnfinished(cfg.Handler)), MaxHeaderBytes: cfg.MaxHeaderBytes,
		ErrorLog: slog.NewLogLogger(cfg.Log.Handler(), slog.LevelDebug),
	}
	return s
}

// Serve serves callers on ln until Close.
func (s *Server) Serve(ln net.Listener) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go clock.Every(ctx, sweepPeriod, s.closeExpired)
	if err := s.http.Serve(listener{ln, s}); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers on %s: %w", ln.Addr(), err)
	}
	return nil
}

// Drain closes idle connections until nothing is under way, or the time is end. Busy
// reports whether requests are served, and tookAt when one was last taken.
func (s *Server) Drain(end clock.Millis, busy func() bool, tookAt func() clock.Millis) {
	began := s.cfg.Clock.Now()
	for s.cfg.Clock.Now() < end {
		quiet := s.cfg.Clock.Now() - max(began, tookAt())
		if !busy() && s.ActiveConns() == 0 && quiet >= QuietPeriod {
			return
		}
		s.CloseIdle()
		clock.Sleep(context.Background(), drainPeriod)
	}
}

// Close closes the server with whatever is still open.
func (s *Server) Close() {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	_ = s.http.Close()
}

// listener hands out connections that the server knows.
type listener struct {
	net.Listener
	s *Server
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.s.track(nc), nil
}
