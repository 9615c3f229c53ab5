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
	// aheadMost bounds what is read ahead, in bytes: some dozens of requests
	// without their bodies.
	aheadMost = 64 << 10
	// aheadPiece is the size of a read, in bytes.
	aheadPiece = 4 << 10
)

// aheadOf is what was read beyond the request that is served. The connection's
// mu guards it.
type aheadOf struct {
	bytes []byte
	// end is why there is no more, nil while there may be.
	end error
	// done is closed when the goroutine that reads ahead has ended, nil if there
	// is none.
	done chan struct{}
	// deadline is the one that was last set for reading; it holds for the
	// library's reads, while one that is over interrupts the goroutine.
	deadline time.Time
	// left is told when the caller leaves, nil while no request is served.
	left func(cause error)
}

// errCallerLeft is why the request of a caller who has left ends.
var errCallerLeft = errors.New("the caller left")

// follow has left called once if the caller leaves, or has left.
func (c *conn) follow(left func(cause error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.left = left
	if left != nil && c.ahead.end != nil {
		left(errCallerLeft)
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.ahead.deadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// readAhead reads on until it is interrupted, the caller leaves or the bound is
// reached.
func (c *conn) readAhead(done chan struct{}) {
	defer close(done)
	buf := make([]byte, aheadPiece)
	for {
		n, err := c.Conn.Read(buf)
		c.server.cfg.Link.Came(n)
		if !c.keepAhead(buf[:n], err) {
			return
		}
	}
}

// keepAhead takes what was read ahead and reports whether to read on.
func (c *conn) keepAhead(p []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.bytes = append(c.ahead.bytes, p...)
	if err == nil {
		return len(c.ahead.bytes) < aheadMost
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		// What a caller asked for before it left is not wanted any more.
		c.ahead.end, c.ahead.bytes = err, nil
		if c.ahead.left != nil {
			c.ahead.left(errCallerLeft)
		}
	}
	return false
}

// takeAhead ends the reading ahead and hands out what it brought; 0 and nil mean
// that the connection is to be read.
func (c *conn) takeAhead(p []byte) (int, error) {
	c.mu.Lock()
	done := c.ahead.done
	c.ahead.done = nil
	c.mu.Unlock()
	if done != nil {
		// Both fail only on a closed connection, which the next read reports.
		_ = c.Conn.SetReadDeadline(clock.Deadline(0))
		<-done
		c.mu.Lock()
		deadline := c.ahead.deadline
		c.mu.Unlock()
		_ = c.Conn.SetReadDeadline(deadline)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.ahead.bytes)
	if c.ahead.bytes = c.ahead.bytes[n:]; len(c.ahead.bytes) == 0 {
		c.ahead.bytes = nil
	}
	if n == 0 {
		return 0, c.ahead.end
	}
	return n, nil
}
