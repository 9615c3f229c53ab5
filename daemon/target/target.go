// Package target is the client of model engines and plain services. It sends requests,
// resumes and cancels streams, and reads loads and cache events.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/dial"
	"github.com/weldfall/weldfall/common/httpconn"
	"github.com/weldfall/weldfall/common/whole"
	"github.com/weldfall/weldfall/common/witness"
)

// Headers of the engine protocol.
const (
	headerAttempt  = "X-Attempt"
	headerKey      = "X-Request-Key"
	headerPriority = "X-Priority"
	headerCacheKey = "X-Cache-Key"
)

// checkTimeout limits a connection attempt that checks whether the target still listens.
// The target runs on the same machine.
const checkTimeout clock.Millis = 100

// Client is the client of one engine or service instance.
type Client struct {
	addr   string
	base   string
	dialer *net.Dialer
	http   *http.Client
	// noReuse uses a new connection for each request. The transport never retries on a new
	// connection, and the target can't have closed it while it was idle.
	noReuse *http.Client
	// conns opens the connections of both.
	conns *witness.Dialer
}

// sender names the target in logs and counters of its responses.
const sender = "target"

// New returns a client of the target at addr, which is host:port.
func New(addr string, log *slog.Logger) *Client {
	conns := witness.New(addr, nil)
	t := httpconn.New(&http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true, DialContext: conns.DialContext}, sender, log)
	noReuse := httpconn.New(&http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: conns.DialContext}, sender, log)
	return &Client{
		addr: addr, base: "http://" + addr, dialer: dial.New(checkTimeout), conns: conns,
		http: &http.Client{Transport: t, CheckRedirect: keepRedirect}, noReuse: &http.Client{Transport: noReuse, CheckRedirect: keepRedirect},
	}
}

// keepRedirect returns a redirect as the response.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Request is a request to a target.
type Request struct {
	Attempt  string
	Key      string
	Priority int
	// CacheKey is the key of the chat in the engine's cache, or "".
	CacheKey string
	Method   string
	Path     string
	Header   map[string]string
	Body     []byte
	// AtMostOnce is true if the request must not be sent twice.
	AtMostOnce bool
}

// ErrNotSent means that nothing of a request reached the target and that it has not run.
var ErrNotSent = errors.New("target unreachable, request not sent")

// Do sends a request. If the error wraps ErrNotSent, the request has certainly not run.
// After any other error, it may have.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	for k, v := range r.Header {
		req.Header.Set(k, v)
	}
	req.Header.Set(headerAttempt, r.Attempt)
	req.Header.Set(headerKey, r.Key)
	if r.CacheKey != "" {
		req.Header.Set(headerCacheKey, r.CacheKey)
	}
	req.Header.Set(headerPriority, strconv.Itoa(r.Priority))
	// Without GetBody, the transport doesn't retry a request with a body.
	req.GetBody = nil
	client := c.http
	if r.AtMostOnce {
		client = c.noReuse
	}
	res, err := c.send(client, req)
	// The transport retries a request without a body if its connection broke. The first
	// try may have run then, even if the retry is refused.
	mayRetry := !r.AtMostOnce && len(r.Body) == 0
	if errors.Is(err, syscall.ECONNREFUSED) && !mayRetry {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return res, err
}

// ErrExited means that the target's process has exited: its machine refuses connections.
// The state of the process is lost.
var ErrExited = errors.New("target process has exited")

// closeLag is how long an exiting process may take to close its listener after its first
// connections. The kernel closes sockets one by one and may schedule others in between.
const closeLag = 20 * time.Millisecond

// Exited reports whether the target's process has exited.
func (c *Client) Exited(ctx context.Context) bool {
	return exited(func() (net.Conn, error) { return c.dialer.DialContext(ctx, "tcp", c.addr) })
}

// exited reports whether a process refuses connections. This process runs on the same
// machine and checks so soon that an exiting process may still listen. Then, the connection
// is reset at once and the next one refused.
func exited(connect func() (net.Conn, error)) bool {
	nc, err := connect()
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetReadDeadline(time.Now().Add(closeLag))
	if _, err := nc.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	second, err := connect()
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = second.Close()
	return false
}

// ErrUnknownAttempt means that the target does not know the attempt.
var ErrUnknownAttempt = errors.New("attempt is unknown to the target")

// Resume requests the rest of a stream from the given event number on, or, if plain is
// true, the whole of a plain response. It returns ErrExited or ErrUnknownAttempt if the
// response is lost.
func (c *Client) Resume(ctx context.Context, attempt string, from int, plain bool) (*http.Response, error) {
	u := c.base + "/v1/streams/" + attempt + "?from=" + strconv.Itoa(from)
	if plain {
		u += "&plain=1"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, fmt.Errorf("resume %s: %w", attempt, err)
	}
	res, err := c.send(c.http, req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, fmt.Errorf("resume %s: %w: %w", attempt, ErrExited, err)
	}
	if err != nil {
		return nil, fmt.Errorf("resume %s: %w", attempt, err)
	}
	if res.StatusCode == http.StatusNotFound {
		_ = res.Body.Close()
		return nil, fmt.Errorf("resume %s: %w", attempt, ErrUnknownAttempt)
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return nil, fmt.Errorf("resume %s: status %d", attempt, res.StatusCode)
	}
	return res, nil
}

// Cancel cancels an attempt and reports whether it had started. On an error, it may have.
func (c *Client) Cancel(ctx context.Context, attempt string) (started bool, err error) {
	var out struct {
		Started bool `json:"started"`
	}
	if err := c.call(ctx, http.MethodDelete, "/v1/streams/"+attempt, nil, &out); err != nil {
		return true, err
	}
	return out.Started, nil
}

// LoadReport is the load that an engine reports, with a lag.
type LoadReport struct {
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	Slots         int `json:"slots"`
	CacheCapacity int `json:"cache_capacity"`
	CacheTokens   int `json:"cache_tokens"`
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	var out LoadReport
	return out, c.call(ctx, http.MethodGet, "/load", nil, &out)
}

// Kinds of cache events.
const (
	EventStored  = "stored"
	EventEvicted = "evicted"
)

// CacheEvent reports a change of the engine's cache.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"`
	Key    string `json:"key"`
	Tokens int    `json:"tokens"`
	// Age is the time since the event, in milliseconds.
	Age clock.Millis `json:"age_ms"`
}

// CacheEvents returns the cache events after a sequence number. They arrive late, and
// numbers may be missing.
func (c *Client) CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error) {
	var out []CacheEvent
	return out, c.callLimited(ctx, http.MethodGet, "/cache/events?after="+strconv.FormatInt(after, 10), nil, maxCacheEvents, &out)
}

// ExportPrefix returns the cached prefix of a chat.
func (c *Client) ExportPrefix(ctx context.Context, key string) ([]byte, error) {
	var out json.RawMessage
	return out, c.callLimited(ctx, http.MethodGet, "/cache/export/"+key, nil, maxPrefix, &out)
}

// ImportPrefix stores a prefix that was exported by another engine.
func (c *Client) ImportPrefix(ctx context.Context, key string, blob []byte) error {
	return c.call(ctx, http.MethodPost, "/cache/import/"+key, blob, nil)
}

const (
	// maxControlResponse limits the responses that are not for callers, in bytes.
	maxControlResponse = 256 << 10
	// maxCacheEvents and maxPrefix limit the responses with cache events and with a prefix. A
	// message between daemons, which passes a prefix on, takes 12 MiB with its envelope.
	maxCacheEvents = 4 << 20
	maxPrefix      = 8 << 20
)

// call calls a method of the engine, whose response is decoded into out.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	return c.callLimited(ctx, method, path, body, maxControlResponse, out)
}

func (c *Client) callLimited(ctx context.Context, method, path string, body []byte, limit int64, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d", method, path, res.StatusCode)
	}
	if out == nil {
		return nil
	}
	data, err := whole.Read(res.Body, res.ContentLength, limit)
	if err == nil {
		err = json.Unmarshal(data, out)
	}
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	return nil
}

// MaxEvent limits one event of a stream, in bytes.
const MaxEvent = 256 << 10
