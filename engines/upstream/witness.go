package upstream

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/common/sock"
)

const (
	// endLag is how long a process that ends may take to close its connections and its listener.
	endLag clock.Millis = 50
	// witnessPause is the time between two attempts to open a witness.
	witnessPause clock.Millis = 100
)

// witness is a connection that is kept open to an engine while responses without a length or
// chunks are read from it. The connections of a process that ends are closed at the same time, so
// that a response whose connection the witness outlasts was ended by the engine. It does not count
// for the connection limit.
type witness struct {
	of witnessKey
	// check is the health check of the engine, nil if it has none.
	check *Request
	// users holds these responses. The pool drops the witness with the last one.
	users map[*Response]bool
	// c is nil while there is no connection.
	c *conn
	// lost is true once the engine's side has closed one.
	lost bool
	stop context.CancelFunc
}

// witnessKey identifies a witness. Responses of an engine may still be read after another one has its
// address.
type witnessKey struct{ addr, engine string }

func (a *Response) witnessKey() witnessKey { return witnessKey{a.conn.addr, a.engine} }

// proof is what may show that the process of a response's engine outlasts the response. The pool's
// mu guards it.
type proof struct {
	// witness is the latest witness that was open together with the connection of the response, nil
	// if there was none.
	witness *conn
	// lostAt is when the witness ended, 0 before that.
	lostAt clock.Millis
	// others are the engine's other connections at the head of the response.
	others []*conn
}

// addWitness keeps a witness for a response until dropWitness is called.
func (p *Pool) addWitness(a *Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr := a.conn.addr
	for _, o := range p.idle[addr] {
		if o.mayReach(a.engine) {
			a.proof.others = append(a.proof.others, o)
		}
	}
	for o := range p.busy[addr] {
		if o != a.conn && o.mayReach(a.engine) {
			a.proof.others = append(a.proof.others, o)
		}
	}
	w := p.witnesses[a.witnessKey()]
	if w == nil {
		ctx, stop := context.WithCancel(context.Background())
		w = &witness{of: a.witnessKey(), check: a.health, users: map[*Response]bool{}, stop: stop}
		p.witnesses[w.of] = w
		go p.keepWitness(ctx, w)
	}
	w.users[a] = true
	if w.c != nil {
		a.observe(w.c)
	}
}

func (p *Pool) dropWitness(a *Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.witnesses[a.witnessKey()]
	if delete(w.users, a); len(w.users) == 0 {
		delete(p.witnesses, w.of)
		w.stop()
	}
}

// observe makes c the witness of the response if the response's connection is still open, so that
// c is a connection of the same process. The caller holds the pool's mu.
func (a *Response) observe(c *conn) {
	open, err := sock.Established(a.conn.nc)
	if err != nil {
		// The time of the last data is no later than the end.
		open = int64(c.connectedAt) <= a.conn.receivedAt.Load()
	}
	if open {
		a.proof.witness, a.proof.lostAt = c, 0
	}
}

// keepWitness keeps the connection of w open until ctx is done.
func (p *Pool) keepWitness(ctx context.Context, w *witness) {
	for {
		if c, err := p.openWitness(ctx, w); err == nil {
			p.beginWitness(w, c)
			err := c.waitEnd(ctx)
			p.endWitness(ctx, w, c, err)
			// Nothing can be done about a failed close.
			_ = c.nc.Close()
		}
		if !clock.Sleep(ctx, witnessPause) {
			return
		}
	}
}

// openWitness opens a connection. Where an earlier one was lost, another process may have the
// address since, unless the health check names the engine.
func (p *Pool) openWitness(ctx context.Context, w *witness) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
	defer cancel()
	p.mu.Lock()
	lost := w.lost
	p.mu.Unlock()
	if lost && !p.identify(ctx, w.of.addr, w.check).own {
		return nil, ErrNotSent
	}
	p.mu.Lock()
	c, err := p.dialCounted(ctx, w.of.addr)
	if err == nil {
		p.uncount(w.of.addr)
	}
	return c, err
}

func (p *Pool) beginWitness(w *witness, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.c = c
	for a := range w.users {
		a.observe(c)
	}
}

// endWitness records that c has ended by err. An engine that resets a new connection has too many,
// so that c was none.
func (p *Pool) endWitness(ctx context.Context, w *witness, c *conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.c = nil
	now := p.clk.Now()
	rejected := errors.Is(err, syscall.ECONNRESET) && now-c.connectedAt < endLag
	w.lost = w.lost || ctx.Err() == nil && !rejected
	for a := range w.users {
		switch {
		case a.proof.witness != c:
		case rejected:
			a.proof.witness = nil
		default:
			a.proof.lostAt = now
		}
	}
}

// waitEnd waits until the peer closes a connection without requests or sends something, or until ctx
// is done.
func (c *conn) waitEnd(ctx context.Context) error {
	// These fail only on a closed connection, which reading reports.
	_ = c.nc.SetReadDeadline(clock.NoDeadline())
	stop := context.AfterFunc(ctx, func() { _ = c.nc.SetReadDeadline(clock.Deadline(0)) })
	defer stop()
	_, err := c.br.Peek(1)
	return err
}

// checkSender returns what is known of the process of the engine whose response a has ended with
// its connection. It looks endLag later, since a process closes its connections and its listener in
// any order.
func (a *Response) checkSender() framing.Sender {
	p, addr, end := a.pool, a.conn.addr, a.pool.clk.Now()
	listed := a.listed()
	if listed == framing.SenderEnded {
		return framing.SenderEnded
	}
	clock.Sleep(context.Background(), endLag)
	at := p.identify(context.Background(), addr, a.health)
	open, hadWitness, lostAt := a.witnesses()
	a.conn.trace.Witnesses = open
	// An engine that leaves and closes all of its connections at once finishes none of its responses,
	// though its process may stand for some time.
	together := open == 0 && lostAt > 0 && lostAt >= end-endLag
	switch {
	case at.own && !(listed == framing.SenderLeaves && together):
		return framing.SenderStands
	case at.sender == framing.SenderEnded && listed != framing.SenderLeaves:
		return framing.SenderEnded
	case open > 0:
		return framing.SenderStands
	case hadWitness:
		return framing.SenderDisconnected
	case at.sender != framing.SenderEnded:
		return framing.SenderStands
	}
	return framing.SenderUnknown
}

// witnesses returns how many connections of the engine's process that were open together with that of
// the response still are, whether it had a witness and when that one ended, 0 if it is not known to
// have.
func (a *Response) witnesses() (open int, hadWitness bool, lostAt clock.Millis) {
	p := a.pool
	p.mu.Lock()
	w, others, lostAt := a.proof.witness, slices.Clone(a.proof.others), a.proof.lostAt
	p.mu.Unlock()
	if w != nil && lostAt == 0 {
		// Without its state, the witness ends when its reader says so.
		if established, err := sock.Established(w.nc); established || err != nil {
			open++
		} else {
			lostAt = p.clk.Now()
		}
	}
	for _, c := range others {
		if established, err := sock.Established(c.nc); err == nil && established {
			open++
		}
	}
	return open, w != nil, lostAt
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
