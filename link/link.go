// Package link manages the JSON-RPC connections between the processes of the fleet. It
// dials on demand, serves, counts the bytes of control traffic and closes silent
// connections.
package link

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link/wire"
)

// Class separates connections for requests from those for control traffic.
type Class string

const (
	Data    Class = "data"
	Control Class = "control"
)

// PingPeriod is how often a side with requests in flight sends a ping.
const PingPeriod clock.Millis = 500

// SilenceLimit is how long a connection with requests in flight may be silent before it
// is closed.
const SilenceLimit clock.Millis = 2500

// dialTimeout limits the setup of a connection.
const dialTimeout clock.Millis = 1000

// Handler handles the messages of a connection.
type Handler interface {
	// Call answers a request. Each call runs in its own goroutine.
	Call(ctx context.Context, c *Conn, method string, params json.RawMessage) (any, error)
	// Notify handles a notification. Notifications are delivered one at a time and in
	// order, so it must not block.
	Notify(c *Conn, method string, params json.RawMessage)
	// Frame handles a part of a response, in order with the notifications.
	Frame(f wire.Frame)
}

// Conn is a connection between two processes.
type Conn struct {
	rpc    *jsonrpc2.Conn
	stream *stream
	clk    *clock.Clock
	// receivedAt is the time of the latest message from the other side.
	receivedAt atomic.Int64
	// inFlight counts the requests for which the connection is watched.
	inFlight atomic.Int64
	// peerBootID is the peer's boot ID. It is set before a dialed connection is returned.
	peerBootID uint64
}

// PeerBootID returns the boot ID of the process at the other end of a dialed connection.
// It changes when that process restarts.
func (c *Conn) PeerBootID() uint64 { return c.peerBootID }

// bootID is the boot ID of this process.
var bootID = max(1, rand.Uint64())

// BootID returns the random ID that this process chose at its start.
func BootID() uint64 { return bootID }

// Call sends a request and waits for its answer until ctx is done.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	if err := c.rpc.Call(ctx, method, params, result); err != nil {
		return fmt.Errorf("call %s: %w", method, err)
	}
	return nil
}

// Notify sends a message without an answer.
func (c *Conn) Notify(method string, params any) error {
	return c.rpc.Notify(context.Background(), method, params)
}

// SendFrame sends a part of a response.
func (c *Conn) SendFrame(f wire.Frame) error { return c.stream.WriteFrame(f) }

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

func (c *Conn) ended() bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.rpc.Close() }

// silentSince reports whether nothing was received since the given time.
func (c *Conn) silentSince(since clock.Millis) bool { return clock.Millis(c.receivedAt.Load()) < since }

// Watch counts a request as in flight until release is called. Meanwhile the connection
// is closed if it stays silent for SilenceLimit.
func (c *Conn) Watch() (release func()) {
	if c.inFlight.Add(1) == 1 {
		c.receivedAt.Store(int64(c.clk.Now()))
	}
	return sync.OnceFunc(func() { c.inFlight.Add(-1) })
}

// monitor pings while requests are in flight and closes the connection if it is silent.
func (c *Conn) monitor() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-c.Done()
		cancel()
	}()
	clock.Every(ctx, PingPeriod, func() {
		if c.inFlight.Load() == 0 {
			return
		}
		if c.clk.Now()-clock.Millis(c.receivedAt.Load()) > SilenceLimit {
			c.Close()
			return
		}
		_ = c.Notify(wire.MethodPing, wire.Ping{})
	})
}

// adapter passes the library's callbacks to a Handler.
type adapter struct {
	conn  *Conn
	ready chan struct{}
	h     Handler
}

var _ jsonrpc2.Handler = (*adapter)(nil)

// Handle implements jsonrpc2.Handler.
func (a *adapter) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-a.ready
	if req.Method == wire.MethodHello && !req.Notif {
		_ = rpc.Reply(ctx, req.ID, wire.Hello{BootID: bootID})
		return
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if req.Notif {
		if req.Method == wire.MethodPing {
			return
		}
		a.h.Notify(a.conn, req.Method, params)
		return
	}
	go a.answer(ctx, rpc, req, params)
}

func (a *adapter) answer(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, params json.RawMessage) {
	res, err := a.h.Call(ctx, a.conn, req.Method, params)
	if err != nil {
		_ = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
		return
	}
	_ = rpc.Reply(ctx, req.ID, res)
}

func newConn(nc net.Conn, class Class, arriving *arrivals, clk *clock.Clock, h Handler) *Conn {
	c := &Conn{clk: clk}
	c.receivedAt.Store(int64(clk.Now()))
	a := &adapter{conn: c, ready: make(chan struct{}), h: h}
	c.stream = newStream(nc, class, arriving, func(f wire.Frame) {
		c.receivedAt.Store(int64(clk.Now()))
		h.Frame(f)
	})
	quiet := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	touch := jsonrpc2.OnRecv(func(*jsonrpc2.Request, *jsonrpc2.Response) { c.receivedAt.Store(int64(clk.Now())) })
	c.rpc = jsonrpc2.NewConn(context.Background(), c.stream, a, quiet, touch)
	close(a.ready)
	go c.monitor()
	return c
}

// classByte is the first byte that a dialer sends, so that both ends count the traffic of
// a connection in the same class.
var classByte = map[Class]byte{Data: 'd', Control: 'c'}

// Pool dials connections on demand and keeps one for each address and class.
type Pool struct {
	clk *clock.Clock
	h   Handler

	mu    sync.Mutex
	conns map[poolKey]*poolEntry
}

type poolKey struct {
	addr  string
	class Class
}

type poolEntry struct {
	once sync.Once
	conn *Conn
	err  error
	// live is conn once it is dialed, for readers that do not wait for once.
	live atomic.Pointer[Conn]
}

// NewPool returns a pool whose connections pass messages to h.
func NewPool(clk *clock.Clock, h Handler) *Pool {
	return &Pool{clk: clk, h: h, conns: map[poolKey]*poolEntry{}}
}

// Get returns the open connection to addr, or dials one. A connection that was silent
// since this instance was suspended may be dead and is replaced.
func (p *Pool) Get(addr string, class Class) (*Conn, error) {
	key := poolKey{addr, class}
	for {
		e := p.entry(key)
		e.once.Do(func() { p.fill(key, e) })
		if e.err != nil {
			return nil, e.err
		}
		if e.conn.silentSince(p.clk.ResumedAt()) {
			e.conn.Close()
		}
		if !e.conn.ended() {
			return e.conn, nil
		}
		// The connection has just ended, and the goroutine that drops it has not run yet.
		p.drop(key, e)
	}
}

func (p *Pool) entry(key poolKey) *poolEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.conns[key]
	if e == nil {
		e = &poolEntry{}
		p.conns[key] = e
	}
	return e
}

func (p *Pool) fill(key poolKey, e *poolEntry) {
	e.conn, e.err = p.dial(key.addr, key.class)
	if e.err != nil {
		p.drop(key, e)
		return
	}
	e.live.Store(e.conn)
	go func() {
		<-e.conn.Done()
		p.drop(key, e)
	}()
}

func (p *Pool) drop(key poolKey, e *poolEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[key] == e {
		delete(p.conns, key)
	}
}

// dialAddr opens a connection to another process.
var dialAddr = func(addr string, timeout clock.Millis) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, timeout.Duration())
}

// SetDial makes this process open all connections of pools by dial, for tests that put proxies
// between processes. It must be called before the first pool is used.
func SetDial(dial func(addr string, timeout clock.Millis) (net.Conn, error)) { dialAddr = dial }

func (p *Pool) dial(addr string, class Class) (*Conn, error) {
	nc, err := dialAddr(addr, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	if _, err := nc.Write([]byte{classByte[class]}); err != nil {
		_ = nc.Close()
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	c := newConn(nc, class, nil, p.clk, p.h)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout.Duration())
	defer cancel()
	var hello wire.Hello
	if err := c.Call(ctx, wire.MethodHello, nil, &hello); err != nil {
		c.Close()
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	c.peerBootID = hello.BootID
	return c, nil
}

// CloseSilent closes the connections without received data since the given time and
// returns how many it closed.
func (p *Pool) CloseSilent(since clock.Millis) int {
	n := 0
	for _, e := range p.entries() {
		// Connections that are being dialed are skipped.
		if c := e.live.Load(); c != nil && c.silentSince(since) {
			c.Close()
			n++
		}
	}
	return n
}

func (p *Pool) entries() []*poolEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := make([]*poolEntry, 0, len(p.conns))
	for _, e := range p.conns {
		entries = append(entries, e)
	}
	return entries
}

// Close closes all connections.
func (p *Pool) Close() {
	for _, e := range p.entries() {
		e.once.Do(func() { e.err = net.ErrClosed })
		if e.conn != nil {
			e.conn.Close()
		}
	}
}

// acceptPause is the pause after a failed accept.
const acceptPause clock.Millis = 100

// Serve accepts connections on ln until ctx is done, and then closes them. A connection
// without received data for idleTimeout is closed, since the end of a silent connection is not
// reported. Zero keeps idle connections open. If accepting fails, as without a free file
// descriptor, it is tried again after a pause.
func Serve(ctx context.Context, ln net.Listener, clk *clock.Clock, log *slog.Logger, h Handler, idleTimeout clock.Millis) {
	open := &acceptedConns{conns: map[*Conn]bool{}}
	arriving := newArrivals(clk, log)
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	defer open.closeIf(func(*Conn) bool { return true })
	if idleTimeout > 0 {
		sweepCtx, stopSweep := context.WithCancel(ctx)
		defer stopSweep()
		go clock.Every(sweepCtx, max(1, idleTimeout/2), func() {
			since := clk.Now() - idleTimeout
			open.closeIf(func(c *Conn) bool { return c.silentSince(since) })
		})
	}
	failing := false
	for {
		nc, err := ln.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			if err == nil {
				_ = nc.Close()
			}
			return
		}
		if err != nil {
			if !failing {
				log.Error("accept_failed", "addr", ln.Addr(), "error", err)
			}
			failing = true
			clock.Sleep(ctx, acceptPause)
			continue
		}
		failing = false
		go func() {
			class, err := readClass(nc)
			if err != nil {
				_ = nc.Close()
				return
			}
			c := newConn(nc, class, arriving, clk, h)
			open.add(c)
			<-c.Done()
			open.remove(c)
		}()
	}
}

// readClass reads the class byte of a new connection, which a dialer sends at once.
func readClass(nc net.Conn) (Class, error) {
	var b [1]byte
	// SetReadDeadline fails only on a closed connection, which the read reports.
	_ = nc.SetReadDeadline(clock.Deadline(dialTimeout))
	if _, err := io.ReadFull(nc, b[:]); err != nil {
		return "", err
	}
	_ = nc.SetReadDeadline(clock.NoDeadline())
	if b[0] == classByte[Control] {
		return Control, nil
	}
	return Data, nil
}

// acceptedConns are the open connections of a server. It is safe for concurrent use.
type acceptedConns struct {
	mu    sync.Mutex
	conns map[*Conn]bool
}

func (s *acceptedConns) add(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
}

func (s *acceptedConns) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *acceptedConns) closeIf(f func(*Conn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if f(c) {
			c.Close()
		}
	}
}
