package target

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/weldfall/weldfall/common/framing"
)

// conn is a connection to a target whose end counts as the end of a response only once the
// request was written. net/http does not look at how the writing of a request went when a
// response without a length ends.
type conn struct {
	net.Conn
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// upload is the writing of the latest request with a body, nil if there was none.
	upload *upload
}

// upload is the writing of a request.
type upload struct {
	// done is closed at the end of writing. err is then its error.
	done chan struct{}
	err  error
	once sync.Once
}

func (u *upload) end(err error) {
	u.once.Do(func() {
		u.err = err
		close(u.done)
	})
}

func dialConn(ctx context.Context, network, addr string) (net.Conn, error) {
	nc, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, closed: make(chan struct{})}, nil
}

// traceUpload lets the connection of a request know how the request is written.
func traceUpload(ctx context.Context) context.Context {
	u := &upload{done: make(chan struct{})}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.setUpload(u)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { u.end(info.Err) },
	})
}

func (c *conn) setUpload(u *upload) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upload = u
}

func (c *conn) latestUpload() *upload {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upload
}

// Read implements net.Conn. At the end of the connection, it waits for the request to be written.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = framing.End{Framing: framing.UntilClose, Err: err, Sending: c.waitSent()}.CheckedErr()
	}
	return n, err
}

// waitSent waits for the end of the latest upload and returns how far its request was written.
func (c *conn) waitSent() framing.Sending {
	u := c.latestUpload()
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
