// Package httpconn makes responses that net/http reads subject to the rules of package head and
// package framing: an invalid head is no response, and the end of a connection ends a response
// only if the request was written.
package httpconn

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/head"
)

// Transport is an http.RoundTripper that uses an http.Transport.
type Transport struct {
	base *http.Transport
	// from names the sender of the responses in logs and counters.
	from string
	log  *slog.Logger
}

// New returns a Transport that uses base, whose DialContext it wraps. base must not be used
// otherwise. from names the sender of the responses in logs and counters. log may be nil.
func New(base *http.Transport, from string, log *slog.Logger) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: nc, closed: make(chan struct{})}, nil
	}
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Transport{base: base, from: from, log: log}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	u := newUpload()
	if req.Body == nil || req.Body == http.NoBody {
		// Only such a request may be sent again, and it is written before a response can begin.
		u.end(nil)
	}
	var used atomic.Pointer[conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.begin(u)
				used.Store(c)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { u.end(info.Err) },
		PutIdleConn: func(error) {
			if c := used.Load(); c != nil {
				c.rest(u)
			}
		},
	}
	res, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	c := used.Load()
	if err == nil || c == nil {
		return res, err
	}
	// net/http may have taken the beginning of a line for all of it, and quote that.
	if invalid := c.headErr(); invalid != nil {
		t.recordBadHead(req.URL.Host, invalid)
		return nil, fmt.Errorf("%s: %w", req.URL.Host, invalid)
	}
	return nil, err
}

// recordBadHead counts and logs the head of a response that is invalid.
func (t *Transport) recordBadHead(addr string, err error) {
	var e *head.Error
	if !errors.As(err, &e) {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("weldfall_bad_responses_total{from=%q,reason=%q}", t.from, e.Reason())).Inc()
	t.log.Warn("bad_response", "from", t.from, "addr", addr, "reason", e.Reason(), "line", e.Line(), "byte", e.Column(), "text", e.Excerpt())
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
