package upstream

import (
	"context"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/common/sock"
)

// endLag is how long a process that ends may take to close its connections.
const endLag clock.Millis = 50

// others returns the open connections to the engine of c besides c.
func (p *Pool) others(c *conn) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var others []*conn
	for _, o := range p.idle[c.addr] {
		if o.open() {
			others = append(others, o)
		}
	}
	for o := range p.busy[c.addr] {
		if o != c && o.open() {
			others = append(others, o)
		}
	}
	return others
}

// open reports whether neither side has closed the connection, as far as can be known. Another
// goroutine may be reading from it.
func (c *conn) open() bool {
	open, err := sock.Established(c.nc)
	return err == nil && open
}

// logOthers logs how many of the other connections to an engine are open endLag after a response
// ended with its connection.
func (p *Pool) logOthers(c *conn, others []*conn, sender framing.Sender) {
	id, addr := c.requestID, c.addr
	go func() {
		clock.Sleep(context.Background(), endLag)
		open := 0
		for _, o := range others {
			if o.open() {
				open++
			}
		}
		p.log.Info("response_closed", "request", id, "addr", addr, "sender", sender, "others", len(others), "others_open", open)
	}()
}
