package callers

import (
	"errors"
	"os"
	"time"

	"github.com/weldfall/weldfall/common/clock"
)

// The library notices that a caller has left by a read of one byte while the
// request is served. A caller that has sent more than its request, if only the
// beginning of the next, gives it that byte, and nobody reads any further: the
// end behind it would be met when the answer is written. So the connection reads
// on by itself until the library does.

const (
	// maxReadAhead bounds what is read ahead, in bytes: some dozens of requests
	// without their bodies.
	maxReadAhead = 64 << 10
	// readAheadSize is the size of a read, in bytes.
	readAheadSize = 4 << 10
)

// readAheadBuffer is what was read beyond the request that is served. The connection's
// mu guards it.
type readAheadBuffer struct {
	bytes []byte
	// err is why there is no more, nil while there may be.
	err error
	// done is closed when the goroutine that reads ahead has ended, nil if there
	// is none.
	done chan struct{}
	// deadline is the one that was last set for reading; it holds for the
	// library's reads, while one that is over interrupts the goroutine.
	deadline time.Time
	// onDisconnect is told when the caller leaves, nil while no request is served.
	onDisconnect func(cause error)
}

// errDisconnected is why the request of a caller who has left ends.
var errDisconnected = errors.New("the caller left")

// setOnDisconnect has left called once if the caller leaves, or has left.
func (c *conn) setOnDisconnect(left func(cause error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pipelined.onDisconnect = left
	if left != nil && c.pipelined.err != nil {
		left(errDisconnected)
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.pipelined.deadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// readAhead reads on until it is interrupted, the caller leaves or the bound is
// reached.
func (c *conn) readAhead(done chan struct{}) {
	defer close(done)
	buf := make([]byte, readAheadSize)
	for {
		n, err := c.Conn.Read(buf)
		c.server.cfg.Link.Came(n)
		if !c.bufferReadAhead(buf[:n], err) {
			return
		}
	}
}

// bufferReadAhead takes what was read ahead and reports whether to read on.
func (c *conn) bufferReadAhead(p []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pipelined.bytes = append(c.pipelined.bytes, p...)
	if err == nil {
		return len(c.pipelined.bytes) < maxReadAhead
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		// What a caller asked for before it left is not wanted any more.
		c.pipelined.err, c.pipelined.bytes = err, nil
		if c.pipelined.onDisconnect != nil {
			c.pipelined.onDisconnect(errDisconnected)
		}
	}
	return false
}

// drainReadAhead ends the reading ahead and hands out what it brought; 0 and nil mean
// that the connection is to be read.
func (c *conn) drainReadAhead(p []byte) (int, error) {
	c.mu.Lock()
	done := c.pipelined.done
	c.pipelined.done = nil
	c.mu.Unlock()
	if done != nil {
		// Both fail only on a closed connection, which the next read reports.
		_ = c.Conn.SetReadDeadline(clock.Deadline(0))
		<-done
		c.mu.Lock()
		deadline := c.pipelined.deadline
		c.mu.Unlock()
		_ = c.Conn.SetReadDeadline(deadline)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.pipelined.bytes)
	if c.pipelined.bytes = c.pipelined.bytes[n:]; len(c.pipelined.bytes) == 0 {
		c.pipelined.bytes = nil
	}
	if n == 0 {
		return 0, c.pipelined.err
	}
	return n, nil
}
