package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
)

const (
	// senderTimeout limits CheckSender. An engine that takes longer counts as busy.
	senderTimeout clock.Millis = 100
	// closeLag is how long a process that ends may take to close its listener after a connection,
	// if no health check can tell.
	closeLag clock.Millis = 15
	// maxProbes is the number of connections after which a process that resets each of them counts
	// as one that has too many.
	maxProbes = 4
	// probePause is the time between two of them.
	probePause clock.Millis = 1
	// maxHealthBody is the largest body in bytes of a response to a health check whose connection
	// is kept.
	maxHealthBody = 4 << 10
)

// answer is what is at an address.
type answer struct {
	sender framing.Sender
	// own is true if the response to the health check names the engine that it was meant for.
	own bool
}

// CheckSender returns what is known of the process at addr after it closed a connection. It has
// ended if its machine refuses a connection, or if another process responds to the health check r:
// by 421, or by another ID. While the kernel ends a process, its machine may still accept connections
// that are then reset, so that one which accepts is asked for its health, unless r is nil. An engine
// that does not respond in senderTimeout counts as unknown. A connection that is established is kept
// for a later request if possible.
func (p *Pool) CheckSender(ctx context.Context, addr string, r *Request) framing.Sender {
	return p.identify(ctx, addr, r).sender
}

// identify is CheckSender, and returns whether the process is known to be that of the engine.
func (p *Pool) identify(ctx context.Context, addr string, r *Request) answer {
	ctx, cancel := context.WithTimeout(ctx, senderTimeout.Duration())
	defer cancel()
	end := p.clk.Now() + senderTimeout
	for range maxProbes {
		at, err := p.probe(ctx, addr, r, end)
		switch {
		case err == nil:
			return at
		case errors.Is(err, syscall.ECONNREFUSED):
			return answer{sender: framing.SenderEnded}
		case !ClosedByPeer(err) || !clock.Sleep(ctx, probePause):
			return answer{sender: framing.SenderUnknown}
		}
	}
	return answer{sender: framing.SenderStands}
}

// probe connects to addr, also above the connection limit, and asks for the health until the time
// end. The error is that of the connection.
func (p *Pool) probe(ctx context.Context, addr string, r *Request, end clock.Millis) (answer, error) {
	p.mu.Lock()
	c, err := p.dialCounted(ctx, addr)
	if err != nil {
		return answer{}, err
	}
	if r == nil {
		return p.waitOpen(c)
	}
	p.healthChecks.Inc()
	c.setWriteTimeout(end - p.clk.Now())
	c.setReadTimeout(end - p.clk.Now())
	if _, err := c.nc.Write(requestHead(r)); err != nil {
		p.discard(c)
		return answer{}, err
	}
	res, err := p.readHead(c, r)
	if err != nil {
		p.discard(c)
		if errors.Is(err, ErrBadResponse) && !ClosedByPeer(err) {
			return answer{sender: framing.SenderStands}, nil
		}
		return answer{}, err
	}
	id := res.Header.Get(p.names.Instance)
	own := r.Engine != "" && id == r.Engine
	other := res.StatusCode == http.StatusMisdirectedRequest || r.Engine != "" && id != "" && !own
	if n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxHealthBody)); err != nil || n == maxHealthBody || other || res.Close || framing.OfResponse(res) == framing.UntilClose {
		p.discard(c)
	} else {
		p.release(c, res.Header)
	}
	if other {
		return answer{sender: framing.SenderEnded}, nil
	}
	return answer{sender: framing.SenderStands, own: own}, nil
}

// waitOpen waits for closeLag and returns an error if the connection is closed meanwhile.
func (p *Pool) waitOpen(c *conn) (answer, error) {
	c.setReadTimeout(closeLag)
	if _, err := c.br.Peek(1); err != nil && !isTimeout(err) {
		p.discard(c)
		return answer{}, err
	}
	p.release(c, nil)
	return answer{sender: framing.SenderStands}, nil
}
