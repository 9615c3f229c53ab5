package upstream

import (
	"context"
	"net/http"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/common/sock"
)

const (
	// endLag is how long a process that ends may take to close its connections and its listener.
	endLag clock.Millis = 50
	// witnessPause is the time between two attempts to replace a witness.
	witnessPause clock.Millis = 100
)

// witness is a connection that is kept open to an engine while responses without a length or
// chunks are read from it. The connections of a process that ends are closed at the same time, so
// that a response whose connection the witness outlasts was ended by the engine.
type witness struct {
	// engine is the ID of the engine, and check its health check, nil if it has none.
	engine string
	check  *Request
	// users is the number of these responses. The pool drops the witness with the last one.
	users int
	// c is nil while there is no connection.
	c *conn
	// lostAt is when the engine's side last closed the connection, negative if it never did.
	lostAt clock.Millis
	stop   context.CancelFunc
}

// addWitness keeps a witness for a response to r open until dropWitness is called.
func (p *Pool) addWitness(addr string, r *Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.witnesses[addr]
	if w == nil {
		ctx, stop := context.WithCancel(context.Background())
		w = &witness{engine: r.Engine, check: r.Health, stop: stop, lostAt: -1}
		p.witnesses[addr] = w
		go p.keepWitness(ctx, w, addr)
	}
	w.users++
}

func (p *Pool) dropWitness(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.witnesses[addr]
	if w.users--; w.users == 0 {
		delete(p.witnesses, addr)
		w.stop()
	}
}

// keepWitness keeps the connection of w open until ctx is done, which then becomes idle.
func (p *Pool) keepWitness(ctx context.Context, w *witness, addr string) {
	for {
		c, err := p.openWitness(ctx, w, addr)
		if err != nil {
			if !clock.Sleep(ctx, witnessPause) {
				return
			}
			continue
		}
		p.setWitness(w, c)
		err = c.waitEnd(ctx)
		if ctx.Err() != nil && isTimeout(err) {
			p.release(c, nil)
			return
		}
		p.setWitness(w, nil)
		p.discard(c)
	}
}

func (p *Pool) setWitness(w *witness, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.c = c; c == nil {
		w.lostAt = p.clk.Now()
	}
}

// openWitness returns an idle connection or a new one, also above the connection limit. Where an
// earlier one was lost, another process may have the address since, which the health check shows.
func (p *Pool) openWitness(ctx context.Context, w *witness, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
	defer cancel()
	p.mu.Lock()
	replaces := w.lostAt >= 0
	p.mu.Unlock()
	if replaces && p.CheckSender(ctx, addr, w.check) == framing.SenderEnded {
		return nil, ErrNotSent
	}
	if c := p.takeIdle(addr); !replaces && c != nil {
		p.mu.Lock()
		same := c.mayReach(w.engine)
		p.mu.Unlock()
		if same && c.reusable() && !c.stale() {
			return c, nil
		}
		p.discard(c)
	}
	p.mu.Lock()
	return p.dialCounted(ctx, addr)
}

// waitEnd waits until the peer closes an idle connection or sends something, or until ctx is done,
// when it returns a timeout.
func (c *conn) waitEnd(ctx context.Context) error {
	// These fail only on a closed connection, which reading reports.
	_ = c.nc.SetReadDeadline(clock.NoDeadline())
	stop := context.AfterFunc(ctx, func() { _ = c.nc.SetReadDeadline(clock.Deadline(0)) })
	defer stop()
	_, err := c.br.Peek(1)
	return err
}

// checkSender returns what is known of the process of the engine whose response a has ended with
// its connection. It takes endLag or longer, since a process closes its connections and its
// listener in any order.
func (a *Response) checkSender() framing.Sender {
	p, addr := a.pool, a.conn.addr
	begun := p.clk.Now()
	listed := a.listed()
	if listed == framing.SenderEnded {
		return framing.SenderEnded
	}
	w, lost, others := a.witnesses()
	answers := false
	if listed != framing.SenderLeaves {
		// An engine that leaves may refuse connections while it finishes its responses.
		switch p.CheckSender(context.Background(), addr, a.health) {
		case framing.SenderEnded:
			return framing.SenderEnded
		case framing.SenderStands:
			answers = true
		}
	}
	clock.Sleep(context.Background(), begun+endLag-p.clk.Now())
	open := 0
	if w != nil && p.isWitness(addr, w) {
		open++
	}
	for _, c := range others {
		if c.established() {
			open++
		}
	}
	a.conn.trace.Others, a.conn.trace.OthersOpen = len(others), open
	switch {
	case open > 0:
		return framing.SenderStands
	case w != nil || lost:
		return framing.SenderDisconnected
	case answers && !p.ProcessEnded(context.Background(), addr):
		return framing.SenderStands
	}
	return framing.SenderUnknown
}

// witnesses returns the connections of the engine that were established before the last data of
// the response: the witness, if there is one, and the open ones among all others. lost is whether
// there is no witness since the engine closed it while the response was read.
func (a *Response) witnesses() (w *conn, lost bool, others []*conn) {
	p, addr := a.pool, a.conn.addr
	last := clock.Millis(a.conn.receivedAt.Load())
	p.mu.Lock()
	kept := p.witnesses[addr]
	if w = kept.c; w != nil && w.connectedAt > last {
		w = nil
	}
	lost = w == nil && kept.lostAt >= a.headAt
	candidates := slices.Clone(p.idle[addr])
	for c := range p.busy[addr] {
		candidates = append(candidates, c)
	}
	candidates = slices.DeleteFunc(candidates, func(c *conn) bool { return c == a.conn || c.connectedAt > last || !c.mayReach(a.engine) })
	p.mu.Unlock()
	return w, lost, slices.DeleteFunc(candidates, func(c *conn) bool { return !c.established() })
}

// isWitness reports whether c still is the witness of an address and open, as far as can be known.
func (p *Pool) isWitness(addr string, c *conn) bool {
	p.mu.Lock()
	kept := p.witnesses[addr]
	current := kept != nil && kept.c == c
	p.mu.Unlock()
	open, err := sock.Established(c.nc)
	return current && (open || err != nil)
}

// setEngine records which engine responded on c.
func (p *Pool) setEngine(c *conn, engine string, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.engine = engine; status == http.StatusMisdirectedRequest {
		c.engine = otherEngine
	}
}

// mayReach reports whether the connection is not known to be that of another engine. The caller
// holds the pool's mu.
func (c *conn) mayReach(engine string) bool { return c.engine == "" || c.engine == engine }

// established reports whether neither side is known to have closed the connection. It returns false
// if the state is not known. Another goroutine may be reading from the connection.
func (c *conn) established() bool {
	open, err := sock.Established(c.nc)
	return err == nil && open
}
