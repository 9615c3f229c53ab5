// Package witness shows whether the process that closed the connection of a response has ended. The
// kernel closes all connections of a process that ends within a moment, whereas one that ends a
// response closes one.
package witness

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/common/sock"
)

const (
	// endLag is how long a process that ends may take to close its connections and its listener.
	endLag clock.Millis = 50
	// pause is the least time between two attempts to open a witness.
	pause clock.Millis = 100
)

// Dialer opens connections to an address. While responses are watched it keeps one more open, the
// witness.
type Dialer struct {
	addr string
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu sync.Mutex
	// conns are the connections that this side has not closed.
	conns map[*conn]struct{}
	// refusals is the number of dials that were refused. Behind a refusal, another process may have
	// the address.
	refusals int
	watches  map[*Watch]struct{}
	// witness is the latest one, which its peer may have closed.
	witness *conn
	// stop closes the witness. It is nil while there are no watches.
	stop context.CancelFunc
}

// conn is a connection of a Dialer.
type conn struct {
	net.Conn
	d *Dialer
	// refusals is that of the Dialer when the connection was established.
	refusals int
}

// New returns a Dialer for addr that uses dial, or a net.Dialer if that is nil.
func New(addr string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Dialer {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return &Dialer{addr: addr, dial: dial, conns: map[*conn]struct{}{}, watches: map[*Watch]struct{}{}}
}

// DialContext connects to the address of the Dialer.
func (d *Dialer) DialContext(ctx context.Context, network, _ string) (net.Conn, error) {
	c, err := d.open(ctx, network)
	if err != nil {
		return nil, err
	}
	return c, nil
}

func (d *Dialer) open(ctx context.Context, network string) (*conn, error) {
	nc, err := d.dial(ctx, network, d.addr)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			d.refusals++
		}
		return nil, err
	}
	c := &conn{Conn: nc, d: d, refusals: d.refusals}
	d.conns[c] = struct{}{}
	return c, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.d.mu.Lock()
	delete(c.d.conns, c)
	c.d.mu.Unlock()
	return c.Conn.Close()
}

// established reports whether neither side is known to have closed the connection.
func (c *conn) established() bool {
	if c == nil {
		return false
	}
	open, err := sock.Established(c.Conn)
	return err == nil && open
}

// Watch shows whether the sender of a response outlasts it.
type Watch struct {
	d *Dialer
	// own is the connection of the response, nil if it is not known.
	own *conn
	// others and witness were open at the same time as own, and no dial was refused between them
	// and own.
	others  []*conn
	witness *conn
}

// Watch watches a response on nc, a connection of the Dialer, until Stop is called.
func (d *Dialer) Watch(nc net.Conn) *Watch {
	own, _ := nc.(*conn)
	w := &Watch{d: d, own: own}
	d.mu.Lock()
	defer d.mu.Unlock()
	if own.established() {
		for c := range d.conns {
			switch {
			case c == own || !w.sameProcess(c) || !c.established():
			case c == d.witness:
				w.witness = c
			default:
				w.others = append(w.others, c)
			}
		}
	}
	d.watches[w] = struct{}{}
	if d.stop == nil {
		var ctx context.Context
		ctx, d.stop = context.WithCancel(context.Background())
		go d.keepWitness(ctx)
	}
	return w
}

// sameProcess reports whether c is a connection to the process that sends the response, as far as is
// known.
func (w *Watch) sameProcess(c *conn) bool { return c.refusals == w.own.refusals }

// Stop ends the watch.
func (w *Watch) Stop() {
	d := w.d
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watches, w)
	if len(d.watches) == 0 && d.stop != nil {
		d.stop()
		d.stop = nil
	}
}

// keepWitness keeps a witness open until ctx is done.
func (d *Dialer) keepWitness(ctx context.Context) {
	for ctx.Err() == nil {
		turn, cancel := context.WithTimeout(ctx, pause.Duration())
		// Where there is no witness, Sender asks the address.
		if c, err := d.open(ctx, "tcp"); err == nil {
			d.show(ctx, c)
			c.waitEnd(ctx)
			_ = c.Close()
		}
		<-turn.Done()
		cancel()
	}
}

// show makes c the witness of the responses that are watched.
func (d *Dialer) show(ctx context.Context, c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	d.witness = c
	for w := range d.watches {
		if c.established() && w.own.established() && w.sameProcess(c) {
			w.witness = c
		}
	}
}

// waitEnd waits until the peer closes the connection or sends something, or until ctx is done.
func (c *conn) waitEnd(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(clock.Deadline(0)) })
	defer stop()
	_, _ = c.Read(make([]byte, 1))
}

// Sender returns what is known of the sender of a response that has ended with its connection. It
// takes endLag or longer, since a process closes its connections and its listener in any order.
// refuses reports whether the address refuses connections. It is asked if no other connection shows
// anything.
func (w *Watch) Sender(ctx context.Context, refuses func(context.Context) bool) framing.Sender {
	lag, cancel := context.WithTimeout(ctx, endLag.Duration())
	defer cancel()
	w.d.mu.Lock()
	witness := w.witness
	w.d.mu.Unlock()
	ended := witness == nil && len(w.others) == 0 && refuses(ctx)
	<-lag.Done()
	switch {
	case ctx.Err() != nil:
		return framing.SenderUnknown
	case ended:
		return framing.SenderEnded
	case witness.established():
		return framing.SenderStands
	}
	for _, c := range w.others {
		if c.established() {
			return framing.SenderStands
		}
	}
	switch {
	case witness != nil:
		return framing.SenderDisconnected
	case refuses(ctx):
		return framing.SenderEnded
	}
	return framing.SenderStands
}
