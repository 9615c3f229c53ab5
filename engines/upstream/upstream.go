// Package upstream is the HTTP/1.1 client for engines that an entry sends requests to
// directly, without a daemon. One goroutine writes a request and reads the response, so
// relaying an event needs no switch between goroutines. The client never sends a request
// twice on its own.
//
// A connection is reused only if the response was complete, echoed the ID of the request,
// and no data followed it.
package upstream

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/common/head"
)

const (
	// maxInlineBody is the largest body in bytes that is written before the response is
	// read. A larger one is written by its own goroutine, because an engine may respond
	// before it has read all of it.
	maxInlineBody = 16 << 10
	// maxStrayResponses is how many responses to other requests are skipped on a
	// connection before it is closed.
	maxStrayResponses = 2
	// maxStrayBody is the largest body in bytes of a response that is skipped.
	maxStrayBody = 64 << 10
)

var errHeadTooLong = fmt.Errorf("head exceeds %d bytes", head.MaxBytes)

// Errors of an exchange. After an error that does not wrap ErrNotSent, the request may be
// running at the engine.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrFull means that all connections which this process may open to the engine are in
	// use. It wraps ErrNotSent.
	ErrFull = fmt.Errorf("%w: connection limit reached", ErrNotSent)
	// ErrSilent means that the engine sent nothing within the time allowed.
	ErrSilent = errors.New("engine sent nothing in time")
	// ErrBadResponse means that the data received is not a response to the request.
	ErrBadResponse = errors.New("not a response to the request")
)

// HeaderNames are the headers that the client itself interprets.
type HeaderNames struct {
	// RequestID is echoed by engines.
	RequestID string
	// NotRun marks a response from an engine that did not run the request.
	NotRun string
	// Instance has the engine's ID in a response to a health check.
	Instance string
}

// Request is a request to an engine.
type Request struct {
	ID     string
	Method string
	// URI is the path and query as they appear in the request line.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody makes the client send a Content-Length even if the body is empty.
	HasBody bool
	// Allow is called when there is a connection for the request. If it returns an error, the
	// request is not sent. It may be nil.
	Allow func() error
	// SilenceTimeout is how long the engine may send nothing before connections without
	// received data since then are no longer used. Zero means no timeout.
	SilenceTimeout clock.Millis
	// WriteTimeout is how long writing the request may take, zero for as long as the engine may
	// take to begin its response.
	WriteTimeout clock.Millis
	// OnSilence is called when a read timeout has passed, and returns how much longer to wait;
	// zero ends the exchange. arrived reports whether there is something to read by now. If
	// OnSilence is nil, the first timeout ends the exchange.
	OnSilence func(arrived func() bool) clock.Millis
	// Engine is the ID of the engine, "" if unknown.
	Engine string
	// Listed is called when the response ends with its connection. It returns SenderEnded or
	// SenderLeaves if the engine is listed so or said so, else "". If it is nil, such a response
	// counts as ended by its sender.
	Listed func() framing.Sender
	// Health is the health check of the engine, which other engines reject. It is nil if there is
	// none.
	Health *Request
	// Trace is filled in while the exchange goes on. It may be nil.
	Trace *Trace
}

// Trace is what an exchange used and how it ended, for logs.
type Trace struct {
	// Conn is the number of the connection, zero if there was none. Exchange is 1 for the
	// first exchange on it.
	Conn, Exchange int
	// Identity is "" if no response arrived.
	Identity Identity
	// End is "" while the exchange goes on.
	End ConnEnd
	// Sending is how far the request was written when the exchange ended, "" without a response.
	Sending framing.Sending
	// Sender is what is known of the engine's process after a response that ended with its
	// connection, "" after any other. Witnesses is the number of the engine's other connections that
	// are known to have outlasted it.
	Sender    framing.Sender
	Witnesses int
}

// Identity is whether a response names the request that it responds to.
type Identity string

const (
	// IdentityOwn means that the response has the ID of the request.
	IdentityOwn Identity = "own"
	// IdentityNone means that the response has no ID.
	IdentityNone Identity = "none"
	// IdentityOther means that the response has another ID.
	IdentityOther Identity = "other"
)

// identity returns whether a response with the given ID names r.
func (r *Request) identity(id string) Identity {
	switch id {
	case r.ID:
		return IdentityOwn
	case "":
		return IdentityNone
	}
	return IdentityOther
}

// ConnEnd is what became of the connection of an exchange.
type ConnEnd string

const (
	// ConnKept means that the connection is kept for another exchange.
	ConnKept ConnEnd = "kept"
	// ConnClosed means that the connection was closed after a complete exchange.
	ConnClosed ConnEnd = "closed"
	// ConnReset means that the connection was reset, since the exchange was not complete.
	ConnReset ConnEnd = "reset"
)

// Response is an engine's response, whose body is still to be read. The caller must call
// Close.
type Response struct {
	*http.Response
	conn *conn
	pool *Pool
	// stop detaches the context of the exchange. It returns false if the context has
	// already closed the connection.
	stop func() bool
	// upload is the writing of a large request, nil if the request was written before the
	// response was read.
	upload *upload
	// engine, listed and health are those of the request.
	engine string
	listed func() framing.Sender
	health *Request
	// witnessed is whether the pool keeps a witness for the response.
	witnessed bool
	proof     proof
	// ended is true once the body was read to its end.
	ended bool
	keep  bool
	once  sync.Once
}

// NotRun reports whether the engine said that it did not run the request.
func (a *Response) NotRun() bool {
	return a.StatusCode == http.StatusMisdirectedRequest || a.Header.Get(a.pool.names.NotRun) != ""
}

// Read reads the body. It returns io.EOF when the body ends by its framing, or with the
// connection if the whole request was written and the engine's process is not known to have ended.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if end := (framing.End{Framing: framing.OfResponse(a.Response), Err: err}); end.AtClose() {
		end.Sending = a.upload.wait()
		if end.Sending == framing.Sent && a.witnessed {
			end.Sender = a.checkSender()
			a.conn.trace.Sender = end.Sender
		}
		err = end.CheckedErr()
	}
	if errors.Is(err, io.EOF) {
		a.ended = true
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = fmt.Errorf("read response from %s: %w", a.conn.addr, err)
	}
	return n, err
}

// ConnectedAt returns when the connection of the response was established.
func (a *Response) ConnectedAt() clock.Millis { return a.conn.connectedAt }

// Buffered returns the number of bytes that were received and not yet read.
func (a *Response) Buffered() int { return a.conn.br.Buffered() }

// EndOnSilence makes the next read timeout end the exchange.
func (a *Response) EndOnSilence() { a.conn.onSilence = nil }

// SetReadTimeout sets the time within which the next bytes must arrive.
func (a *Response) SetReadTimeout(d clock.Millis) { a.conn.setReadTimeout(d) }

// Close keeps the connection or closes it if the exchange completed. Otherwise it resets the
// connection, which makes the engine stop.
func (a *Response) Close() {
	a.once.Do(func() {
		if a.witnessed {
			a.pool.dropWitness(a)
		}
		attached := a.stop()
		end := ConnReset
		sending := a.upload.state()
		a.conn.trace.Sending = sending
		if attached && a.ended && sending == framing.Sent {
			end = ConnClosed
			if a.keep && framing.OfResponse(a.Response) != framing.UntilClose && a.conn.br.Buffered() == 0 {
				end = ConnKept
			}
		}
		a.pool.endExchange(a.conn, end, a.Header)
	})
}

// upload is the writing of a large request, which may go on while the response is read.
type upload struct {
	// done is closed at the end of writing. err is then its error.
	done chan struct{}
	err  error
}

// state returns how far the request was written. A nil upload was written at once.
func (u *upload) state() framing.Sending {
	if u == nil {
		return framing.Sent
	}
	select {
	case <-u.done:
	default:
		return framing.SendPending
	}
	if u.err != nil {
		return framing.SendFailed
	}
	return framing.Sent
}

// wait waits until the request was written, writing failed or its time was over, and returns how
// far the request was written.
func (u *upload) wait() framing.Sending {
	if u != nil {
		<-u.done
	}
	return u.state()
}

// Do sends r to the engine at addr and returns its response once the head has arrived,
// which must be within timeout, unless r.OnSilence extends it. A response without a request ID
// is accepted only if it is a failure and the first response on its connection. When ctx is
// done, Do resets the connection and sends nothing more.
func (p *Pool) Do(ctx context.Context, addr string, r *Request, timeout clock.Millis) (*Response, error) {
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, context.Cause(ctx))
	}
	c, err := p.acquire(ctx, addr, r.ID)
	if err != nil {
		return nil, err
	}
	if r.Allow != nil {
		if err := r.Allow(); err != nil {
			p.keep(c)
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	p.beginExchange(c, r)
	stop := context.AfterFunc(ctx, c.abort)
	a, err := p.exchange(c, r, timeout)
	if err != nil {
		stop()
		p.endExchange(c, ConnReset, nil)
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		return nil, err
	}
	a.stop = stop
	if framing.OfResponse(a.Response) == framing.UntilClose && a.listed != nil && !a.NotRun() {
		a.witnessed = true
		p.addWitness(a)
	}
	return a, nil
}

// exchange writes the request and reads the head of its response.
func (p *Pool) exchange(c *conn, r *Request, timeout clock.Millis) (*Response, error) {
	c.setReadTimeout(timeout)
	c.setWriteTimeout(cmp.Or(r.WriteTimeout, timeout))
	a := &Response{conn: c, pool: p, keep: true, engine: r.Engine, listed: r.Listed, health: r.Health}
	if err := p.write(c, r, a); err != nil {
		return nil, err
	}
	for n := range maxStrayResponses + 1 {
		res, err := p.readHead(c, r)
		if err != nil {
			return nil, err
		}
		identity := r.identity(res.Header.Get(p.names.RequestID))
		c.trace.Identity = identity
		unnamedFailure := identity == IdentityNone && res.StatusCode >= http.StatusBadRequest
		switch {
		case identity == IdentityOwn, unnamedFailure && c.exchanges == 1 && n == 0:
			a.Response = res
			a.keep = a.keep && !res.Close
			p.setEngine(c, r.Engine, res.StatusCode)
			return a, nil
		case unnamedFailure:
			// It may be one response too many to an earlier request, and this one may be running.
			return nil, fmt.Errorf("%s: %w: status %d without a request ID on a used connection", c.addr, ErrBadResponse, res.StatusCode)
		}
		p.strays.Inc()
		if _, err := io.CopyN(io.Discard, res.Body, maxStrayBody); !errors.Is(err, io.EOF) || res.ContentLength < 0 {
			break
		}
		a.keep = false
	}
	return nil, fmt.Errorf("%s: %w: response has another request ID", c.addr, ErrBadResponse)
}

// readHead reads the head of the next final response, skipping informational ones.
func (p *Pool) readHead(c *conn, r *Request) (*http.Response, error) {
	c.maxReceived = c.received + head.MaxBytes
	invalid := c.beginHead()
	defer func() { c.maxReceived, c.checksHead = 0, false }()
	for invalid == nil {
		res, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		// A line that was cut off by an error may look valid.
		invalid = c.head.Err()
		switch {
		case invalid != nil:
		case isTimeout(err):
			return nil, fmt.Errorf("%s: %w", c.addr, ErrSilent)
		case err != nil && c.received == 0:
			return nil, fmt.Errorf("%s: no response: %w", c.addr, err)
		case err != nil:
			return nil, fmt.Errorf("%s: %w: %w", c.addr, ErrBadResponse, err)
		case res.StatusCode >= http.StatusOK:
			return res, nil
		}
	}
	p.recordBadHead(c.addr, r.ID, invalid)
	return nil, fmt.Errorf("%s: %w: %w", c.addr, ErrBadResponse, invalid)
}

// recordBadHead counts and logs the head of a response that is invalid.
func (p *Pool) recordBadHead(addr, requestID string, err error) {
	var e *head.Error
	if !errors.As(err, &e) {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("weldfall_bad_responses_total{from=\"engine\",reason=%q}", e.Reason())).Inc()
	p.log.Warn("bad_response", "from", "engine", "addr", addr, "request", requestID, "reason", e.Reason(), "line", e.Line(), "byte", e.Column(), "text", e.Excerpt())
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// write writes the request. A large body is written by its own goroutine.
func (p *Pool) write(c *conn, r *Request, a *Response) error {
	reqHead := requestHead(r)
	if len(r.Body) <= maxInlineBody {
		if _, err := c.nc.Write(append(reqHead, r.Body...)); err != nil {
			return fmt.Errorf("%s: write request: %w", c.addr, err)
		}
		return nil
	}
	u := &upload{done: make(chan struct{})}
	a.upload = u
	go func() {
		defer close(u.done)
		bufs := net.Buffers{reqHead, r.Body}
		_, u.err = bufs.WriteTo(c.nc)
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

// otherEngine stands for the engine of a connection that rejected a request to another engine.
const otherEngine = "another"

// headSize is the usual size of a request head in bytes.
const headSize = 1024
