package httpconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/common/head"
)

// errUnsolicited is returned for data that arrives while no response is due.
var errUnsolicited = errors.New("data arrived that is no response to a request")

// conn is a connection that checks the head of each response, and whose end counts as the end of a
// response only once the request was written. net/http does neither.
type conn struct {
	net.Conn
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// head checks the head of the response to the latest request. due is true from the
	// beginning of a request until the connection is idle again.
	head head.Scanner
	due  bool
	// upload is the writing of the latest request, nil before the first one.
	upload *upload
}

// upload is the writing of a request.
type upload struct {
	// done is closed at the end of writing. err is then its error.
	done chan struct{}
	err  error
	once sync.Once
}

func newUpload() *upload { return &upload{done: make(chan struct{})} }

func (u *upload) end(err error) {
	u.once.Do(func() {
		u.err = err
		close(u.done)
	})
}

// NetConn returns the connection that is checked.
func (c *conn) NetConn() net.Conn { return c.Conn }

// begin prepares the connection for the response to a request.
func (c *conn) begin(u *upload) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Reset()
	c.due, c.upload = true, u
}

// rest marks the connection as idle, unless a later request than that of u has begun on it.
func (c *conn) rest(u *upload) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.upload == u {
		c.due = false
	}
}

// headErr returns why the head of the latest response is invalid, nil if it is not.
func (c *conn) headErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Err()
}

// Read implements net.Conn. At the end of the connection, it waits for the request to be written.
func (c *conn) Read(p []byte) (int, error) {
	// A reader may ignore an error behind a part of a line, and read again.
	if err := c.headErr(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if checkErr := c.check(p[:n]); errors.Is(checkErr, errUnsolicited) {
		return 0, checkErr
	} else if checkErr != nil {
		// After an error of the first read net/http would send some requests again. The next
		// read returns the error.
		return 1, nil
	}
	if errors.Is(err, io.EOF) {
		err = framing.End{Framing: framing.UntilClose, Err: err, Sending: c.waitSent()}.CheckedErr()
	}
	return n, err
}

// check checks data that was read.
func (c *conn) check(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) > 0 && !c.due {
		return fmt.Errorf("%s: %w", c.RemoteAddr(), errUnsolicited)
	}
	return c.head.Scan(p)
}

// waitSent waits for the end of the latest upload and returns how far its request was written.
func (c *conn) waitSent() framing.Sending {
	c.mu.Lock()
	u := c.upload
	c.mu.Unlock()
	if u == nil {
		return framing.Sent
	}
	select {
	case <-u.done:
	case <-c.closed:
		return framing.SendPending
	}
	if u.err != nil {
		return framing.SendFailed
	}
	return framing.Sent
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
