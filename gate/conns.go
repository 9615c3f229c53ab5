package gate

import (
	"net"
	"net/http"
	"sync"
)

// callerConns knows the connections of callers, so that a stopping process
// can close those on which nothing is under way. The library's own way to do
// so closes a connection whose next request has been read but not yet begun.
type callerConns struct {
	net.Listener
	mu   sync.Mutex
	open map[*callerConn]bool
}

func newCallerConns(ln net.Listener) *callerConns {
	return &callerConns{Listener: ln, open: map[*callerConn]bool{}}
}

// Accept implements net.Listener.
func (l *callerConns) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: nc, list: l}
	l.mu.Lock()
	l.open[c] = true
	l.mu.Unlock()
	return c, nil
}

// state is the server's word on what a connection does.
func (l *callerConns) state(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*callerConn); ok && s == http.StateIdle {
		c.mu.Lock()
		c.busy = false
		c.mu.Unlock()
	}
}

// closeIdle closes the connections on which nothing is under way and returns
// how many.
func (l *callerConns) closeIdle() int {
	l.mu.Lock()
	open := make([]*callerConn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	n := 0
	for _, c := range open {
		if c.closeIfIdle() {
			n++
		}
	}
	return n
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	list *callerConns

	mu sync.Mutex
	// busy is true from the first byte of a request until its answer is out.
	busy bool
	// shut is true once the connection was closed for being idle; bytes that
	// were read meanwhile are not handed on.
	shut bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut {
		return 0, net.ErrClosed
	}
	c.busy = true
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.list.mu.Lock()
	delete(c.list.open, c)
	c.list.mu.Unlock()
	return c.Conn.Close()
}

func (c *callerConn) closeIfIdle() bool {
	c.mu.Lock()
	idle := !c.busy && !c.shut
	if idle {
		c.shut = true
	}
	c.mu.Unlock()
	if !idle {
		return false
	}
	// The connection was idle: nobody waits for word that its close failed.
	_ = c.Close()
	return true
}
