package callers

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/weldfall/weldfall/common/clock"
)

// While a handler runs, net/http detects a disconnect by a pending read of one byte. If the
// caller has sent more than the current request, such as the beginning of a pipelined one, that
// read returns a byte and net/http stops reading. The disconnect would then be noticed only when
// the response is written. Therefore conn continues to read, into a buffer, until net/http reads
// again.

const (
	// maxReadAhead limits the buffered data, in bytes. It holds some dozens of requests
	// without bodies.
	maxReadAhead = 64 << 10
	// readAheadSize is the size of one read, in bytes.
	readAheadSize = 4 << 10
)

// readAheadBuffer holds data that was read beyond the current request. It is guarded by
// conn.mu.
type readAheadBuffer struct {
	bytes []byte
	// begun is set once net/http has read the first byte beyond the current request, which
	// bytes does not include.
	begun bool
	// err is the error that ended the reading ahead, or nil if more data may follow.
	err error
	// done is closed when the goroutine that reads ahead returns. It is nil if there is no
	// such goroutine.
	done chan struct{}
	// deadline is the read deadline that net/http set last. It is restored after a deadline
	// in the past was set to interrupt the goroutine.
	deadline time.Time
	// onDisconnect is called when the caller disconnects. It is nil while no request is
	// served.
	onDisconnect func(cause error)
}

var errDisconnected = errors.New("the caller disconnected")

// setOnDisconnect sets the function to call when the caller disconnects. The function is called
// at once if the caller already has.
func (c *conn) setOnDisconnect(f func(cause error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pipelined.onDisconnect = f
	if f != nil && c.pipelined.err != nil {
		f(errDisconnected)
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pipelined.deadline = t
	if c.bodyOverdue {
		// The read stays interrupted.
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// readAhead reads until it is interrupted, the caller disconnects or the buffer is full.
func (c *conn) readAhead(done chan struct{}) {
	defer close(done)
	buf := make([]byte, readAheadSize)
	for {
		n, err := c.Conn.Read(buf)
		c.server.cfg.Link.RecordCallerBytes(n)
		if !c.bufferReadAhead(buf[:n], err) {
			return
		}
	}
}

// bufferReadAhead stores the result of a read and reports whether to continue reading.
func (c *conn) bufferReadAhead(p []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pipelined.bytes = append(c.pipelined.bytes, p...)
	if err == nil {
		return len(c.pipelined.bytes) < maxReadAhead
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.recordReadErrorLocked(err)
		c.pipelined.err = err
		if !errors.Is(err, io.EOF) {
			// The caller does not wait for the pipelined requests any more.
			c.pipelined.bytes = nil
		}
		if c.pipelined.onDisconnect != nil {
			c.pipelined.onDisconnect(errDisconnected)
		}
	}
	return false
}

// stopReadAhead stops the reading ahead and reports whether there was any. Whatever was read is
// then buffered. The read deadline is in the past afterwards.
func (c *conn) stopReadAhead() bool {
	c.mu.Lock()
	done := c.pipelined.done
	c.mu.Unlock()
	if done == nil {
		return false
	}
	// Fails only if the connection is closed, which ends the read.
	_ = c.Conn.SetReadDeadline(clock.Deadline(0))
	<-done
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pipelined.done == done {
		c.pipelined.done = nil
	}
	return true
}

// drainReadAhead stops the reading ahead and copies buffered data to p. If it returns 0 and nil,
// nothing is buffered and the connection must be read.
func (c *conn) drainReadAhead(p []byte) (int, error) {
	if c.stopReadAhead() {
		c.mu.Lock()
		deadline := c.pipelined.deadline
		c.mu.Unlock()
		// Fails only if the connection is closed, which the next read reports.
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
