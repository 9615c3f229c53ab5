// Package link keeps the JSON-RPC connections between the processes of the
// fleet: it dials on demand, serves, counts control bytes and notices silent
// connections.
package link

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link/wire"
)

// Class separates connections that carry requests from those for control.
type Class string

const (
	Data    Class = "data"
	Control Class = "control"
)

// PingPeriod is how often a side with work in flight shows that it is alive.
const PingPeriod clock.Millis = 500

// SilenceLimit is how long a connection with work in flight may be silent
// before it counts as broken.
const SilenceLimit clock.Millis = 2500

// dialTimeout bounds the set-up of a connection.
const dialTimeout clock.Millis = 1000

// Handler takes the messages of a connection.
type Handler interface {
	// Call answers a request; it runs in a goroutine of its own.
	Call(ctx context.Context, c *Conn, method string, params json.RawMessage) (any, error)
	// Notify takes a notification; notifications come one at a time and in
	// order, so it must not block.
	Notify(c *Conn, method string, params json.RawMessage)
	// Frame takes a piece of an answer, in order with the notifications.
	Frame(f wire.Frame)
}

// Conn is one connection between two processes.
type Conn struct {
	rpc    *jsonrpc2.Conn
	stream *stream
	clk    *clock.Clock
	// heard is the time of the latest message from the other side.
	heard atomic.Int64
	// busy counts the requests in flight that want the connection watched.
	busy atomic.Int64
	// peerBoot is set before a dialed connection is handed out.
	peerBoot uint64
}

// PeerBootID returns the random number of the process at the other end of a
// dialed connection; it changes when that process restarts.
func (c *Conn) PeerBootID() uint64 { return c.peerBoot }

// boot is the random number of this process.
var boot = max(1, rand.Uint64())

// BootID returns the random number of this process.
func BootID() uint64 { return boot }

// Call sends a request and waits for its answer or for ctx.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	if err := c.rpc.Call(ctx, method, params, result); err != nil {
		return fmt.Errorf("call %s: %w", method, err)
	}
	return nil
}

// Notify sends a message that has no answer.
func (c *Conn) Notify(method string, params any) error {
	return c.rpc.Notify(context.Background(), method, params)
}

// SendFrame sends a piece of an answer.
func (c *Conn) SendFrame(f wire.Frame) error { return c.stream.WriteFrame(f) }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// ended reports whether the connection has ended.
func (c *Conn) ended() bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

// Close ends the connection.
func (c *Conn) Close() { _ = c.rpc.Close() }

// unheard reports whether nothing came from the other side since the given time.
func (c *Conn) unheard(since clock.Millis) bool { return clock.Millis(c.heard.Load()) < since }

// Watch marks one more request in flight until the returned function is
// called. A watched connection that stays silent is closed.
func (c *Conn) Watch() (release func()) {
	if c.busy.Add(1) == 1 {
		c.heard.Store(int64(c.clk.Now()))
	}
	return sync.OnceFunc(func() { c.busy.Add(-1) })
}

// keepAlive pings while requests are in flight and closes a silent connection.
func (c *Conn) keepAlive() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-c.Done()
		cancel()
	}()
	clock.Every(ctx, PingPeriod, func() {
		if c.busy.Load() == 0 {
			return
		}
		if c.clk.Now()-clock.Millis(c.heard.Load()) > SilenceLimit {
			c.Close()
			return
		}
		_ = c.Notify(wire.MethodPing, wire.Ping{})
	})
}

// adapter turns the library's callbacks into calls of a Handler.
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
		_ = rpc.Reply(ctx, req.ID, wire.Hello{BootID: boot})
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

func newConn(nc net.Conn, class Class, clk *clock.Clock, h Handler) *Conn {
	c := &Conn{clk: clk}
	c.heard.Store(int64(clk.Now()))
	a := &adapter{conn: c, ready: make(chan struct{}), h: h}
	c.stream = newStream(nc, class, func(f wire.Frame) {
		c.heard.Store(int64(clk.Now()))
		h.Frame(f)
	})
	quiet := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	touch := jsonrpc2.OnRecv(func(*jsonrpc2.Request, *jsonrpc2.Response) { c.heard.Store(int64(clk.Now())) })
	c.rpc = jsonrpc2.NewConn(context.Background(), c.stream, a, quiet, touch)
	close(a.ready)
	go c.keepAlive()
	return c
}

// classByte is the first byte that a dialer sends, so that both ends count
// the same connection in the same class.
var classByte = map[Class]byte{Data: 'd', Control: 'c'}

// Pool dials connections on demand and keeps one to each address and class.
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
	// live is conn once it is dialed, for those who do not wait for that.
	live atomic.Pointer[Conn]
}

// NewPool returns a pool whose connections deliver messages to h.
func NewPool(clk *clock.Clock, h Handler) *Pool {
	return &Pool{clk: clk, h: h, conns: map[poolKey]*poolEntry{}}
}

// Get returns the live connection to addr, or dials one. One on which nothing was heard
// since this instance was suspended may have died meanwhile, and is closed.
func (p *Pool) Get(addr string, class Class) (*Conn, error) {
	key := poolKey{addr, class}
	for {
		e := p.entry(key)
		e.once.Do(func() { p.fill(key, e) })
		if e.err != nil {
			return nil, e.err
		}
		if e.conn.unheard(p.clk.Woke()) {
			e.conn.Close()
		}
		if !e.conn.ended() {
			return e.conn, nil
		}
		// It has just ended, and whoever is told of it has not run yet.
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

func (p *Pool) dial(addr string, class Class) (*Conn, error) {
	nc, err := net.DialTimeout("tcp", addr, dialTimeout.Duration())
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	if _, err := nc.Write([]byte{classByte[class]}); err != nil {
		_ = nc.Close()
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	c := newConn(nc, class, p.clk, p.h)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout.Duration())
	defer cancel()
	var hello wire.Hello
	if err := c.Call(ctx, wire.MethodHello, nil, &hello); err != nil {
		c.Close()
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	c.peerBoot = hello.BootID
	return c, nil
}

// CloseSilent closes the connections on which nothing was heard since the
// given time, and returns how many.
func (p *Pool) CloseSilent(since clock.Millis) int {
	n := 0
	for _, e := range p.entries() {
		// A connection that is being dialed is not waited for.
		if c := e.live.Load(); c != nil && c.unheard(since) {
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

// Close ends all connections.
func (p *Pool) Close() {
	for _, e := range p.entries() {
		e.once.Do(func() { e.err = net.ErrClosed })
		if e.conn != nil {
			e.conn.Close()
		}
	}
}

// Serve accepts connections on ln until ctx is done, and then closes them. One
// on which nothing comes for as long as rest is closed, since the end of a
// silent connection does not come through; zero lets them rest for ever.
func Serve(ctx context.Context, ln net.Listener, clk *clock.Clock, h Handler, rest clock.Millis) error {
	open := &served{conns: map[*Conn]bool{}}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	defer open.closeIf(func(*Conn) bool { return true })
	if rest > 0 {
		sweepCtx, stopSweep := context.WithCancel(ctx)
		defer stopSweep()
		go clock.Every(sweepCtx, max(1, rest/2), func() {
			since := clk.Now() - rest
			open.closeIf(func(c *Conn) bool { return c.unheard(since) })
		})
	}
	for {
		nc, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("accept on %s: %w", ln.Addr(), err)
		}
		go func() {
			class, err := readClass(nc)
			if err != nil {
				_ = nc.Close()
				return
			}
			c := newConn(nc, class, clk, h)
			open.add(c)
			<-c.Done()
			open.remove(c)
		}()
	}
}

// readClass reads the first byte of a connection. A dialer sends it at once.
func readClass(nc net.Conn) (Class, error) {
	var b [1]byte
	// SetReadDeadline fails only on a closed connection, which the read reports.
	_ = nc.SetReadDeadline(clock.Deadline(dialTimeout))
	if _, err := io.ReadFull(nc, b[:]); err != nil {
		return "", err
	}
	_ = nc.SetReadDeadline(clock.Never())
	if b[0] == classByte[Control] {
		return Control, nil
	}
	return Data, nil
}

// served are the connections that a server has accepted. It is safe for
// concurrent use.
type served struct {
	mu    sync.Mutex
	conns map[*Conn]bool
}

func (s *served) add(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
}

func (s *served) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *served) closeIf(f func(*Conn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if f(c) {
			c.Close()
		}
	}
}
