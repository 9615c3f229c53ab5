// Package upstream is the HTTP/1.1 client of engines that an entry talks to
// without a daemon between. One goroutine writes a request and reads its
// answer, so a relayed event costs no hand-over between goroutines, and
// nothing is ever sent twice on its own account.
//
// A connection is kept only when its answer was whole, was the answer to our
// request by the id that the engine echoes, and nothing followed it.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
)

// Bounds towards engines.
const (
	// inlineBody is the largest body in bytes that is written before the
	// answer is read. A larger one is written in a goroutine of its own, since
	// an engine may answer before it has read everything.
	inlineBody = 16 << 10
	// strayAnswers is how many answers to other requests are skipped on a
	// connection before it is given up.
	strayAnswers = 2
	// strayBytes bounds the body of an answer that is skipped.
	strayBytes = 64 << 10
)

// Errors that say what an exchange came to. Any error that wraps neither
// ErrNotSent may have left the request running at the engine.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("not sent")
	// ErrFull means that the engine's share of connections is in use. It
	// wraps ErrNotSent.
	ErrFull = fmt.Errorf("%w: no connection to spare", ErrNotSent)
	// ErrSilent means that the engine sent nothing within the time allowed.
	ErrSilent = errors.New("engine is silent")
	// ErrBadResponse means that what came is no answer to the request.
	ErrBadResponse = errors.New("not an answer to the request")
)

// HeaderNames are the headers that the client itself must know.
type HeaderNames struct {
	// RequestID is echoed by engines.
	RequestID string
	// NotRun marks an answer of an engine that did not run the request.
	NotRun string
}

// Request is one request to an engine, ready to be sent.
type Request struct {
	ID     string
	Method string
	// URI is the path and query as they are to stand in the request line.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is true when a length is to be sent even for an empty body.
	HasBody bool
	// SilenceTimeout is how long the engine may give no sign before the connections on
	// which it has not been heard since are no longer used, 0 for ever.
	SilenceTimeout clock.Millis
}

// Response is the head of an engine's answer, with its body still to be read.
// Close must be called.
type Response struct {
	*http.Response
	conn *conn
	pool *Pool
	// stop detaches the context of the exchange; false means that it has
	// already closed the connection.
	stop func() bool
	// sent is done when the whole request is written, nil if it was written
	// before the answer was read.
	sent chan error
	// ended is true once the body was read to its end.
	ended bool
	keep  bool
	once  sync.Once
}

// NotRun reports whether the engine said that it did not run the request.
func (a *Response) NotRun() bool {
	return a.StatusCode == http.StatusMisdirectedRequest || a.Header.Get(a.pool.names.NotRun) != ""
}

// Read reads the body. io.EOF means that it has ended, by its framing or with its connection.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if errors.Is(err, io.EOF) {
		a.ended = true
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = fmt.Errorf("read answer of %s: %w", a.conn.addr, err)
	}
	return n, err
}

// ConnectedAt returns when the connection of the answer came up.
func (a *Response) ConnectedAt() clock.Millis { return a.conn.opened }

// Buffered returns how many bytes have arrived and are not yet read.
func (a *Response) Buffered() int { return a.conn.br.Buffered() }

// SetReadTimeout sets the time by which the next bytes must come.
func (a *Response) SetReadTimeout(d clock.Millis) { a.conn.limit(d) }

// Close keeps the connection if the exchange ended well, or ends it, which
// tells the engine to stop.
func (a *Response) Close() {
	a.once.Do(func() {
		attached := a.stop()
		ok := attached && a.ended && a.keep && framing.Of(a.Response) != framing.UntilClose && a.conn.br.Buffered() == 0 && a.bodySent()
		a.pool.end(a.conn)
		a.pool.release(a.conn, ok, a.Header)
	})
}

// bodySent reports whether the request was written to its end.
func (a *Response) bodySent() bool {
	if a.sent == nil {
		return true
	}
	select {
	case err := <-a.sent:
		return err == nil
	default:
		return false
	}
}

// Do sends r to the engine at addr and returns the head of its answer. The
// head must come within limit. When ctx is done the connection is closed;
// nothing is sent after that.
func (p *Pool) Do(ctx context.Context, addr string, r *Request, limit clock.Millis) (*Response, error) {
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, context.Cause(ctx))
	}
	c, err := p.acquire(ctx, addr)
	if err != nil {
		return nil, err
	}
	p.begin(c, r.SilenceTimeout)
	stop := context.AfterFunc(ctx, c.abort)
	a, err := p.exchange(c, r, limit)
	if err != nil {
		stop()
		p.end(c)
		p.release(c, false, nil)
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		return nil, err
	}
	a.stop = stop
	return a, nil
}

func (p *Pool) exchange(c *conn, r *Request, limit clock.Millis) (*Response, error) {
	c.limit(limit)
	a := &Response{conn: c, pool: p, keep: true}
	if err := p.write(c, r, a); err != nil {
		return nil, err
	}
	for range strayAnswers + 1 {
		res, err := readHead(c, r)
		if err != nil {
			return nil, err
		}
		if id := res.Header.Get(p.names.RequestID); id == r.ID || (id == "" && res.StatusCode >= http.StatusBadRequest) {
			a.Response = res
			a.keep = a.keep && !res.Close
			return a, nil
		}
		p.strays.Inc()
		if _, err := io.CopyN(io.Discard, res.Body, strayBytes); !errors.Is(err, io.EOF) || res.ContentLength < 0 {
			break
		}
		a.keep = false
	}
	return nil, fmt.Errorf("%s: %w: another request's id", c.addr, ErrBadResponse)
}

// readHead reads the head of the next final answer.
func readHead(c *conn, r *Request) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		switch {
		case isTimeout(err):
			return nil, fmt.Errorf("%s: %w", c.addr, ErrSilent)
		case err != nil && c.got == 0:
			return nil, fmt.Errorf("%s: no answer: %w", c.addr, err)
		case err != nil:
			return nil, fmt.Errorf("%s: %w: %w", c.addr, ErrBadResponse, err)
		case res.StatusCode >= http.StatusOK:
			return res, nil
		}
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func (p *Pool) write(c *conn, r *Request, a *Response) error {
	head := requestHead(r)
	if len(r.Body) <= inlineBody {
		if _, err := c.nc.Write(append(head, r.Body...)); err != nil {
			return fmt.Errorf("%s: send: %w", c.addr, err)
		}
		return nil
	}
	a.sent = make(chan error, 1)
	go func() {
		bufs := net.Buffers{head, r.Body}
		_, err := bufs.WriteTo(c.nc)
		a.sent <- err
	}()
	return nil
}

// requestHead returns the request line and the headers.
func requestHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(headSize)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// Writing to a bytes.Buffer does not fail.
	_ = r.Header.Write(&b)
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// headSize is the usual size of a request's head, in bytes.
const headSize = 1024
