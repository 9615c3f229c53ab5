// Package target is the client of model engines and plain services: it starts
// requests, resumes and cancels streams, and reads load and cache events.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/dial"
	"github.com/weldfall/weldfall/common/whole"
)

// Headers of the engines' protocol.
const (
	headerAttempt  = "X-Attempt"
	headerKey      = "X-Request-Key"
	headerPriority = "X-Priority"
	headerCacheKey = "X-Cache-Key"
)

// inquiryLimit bounds the time in which the target's machine, beside this process, must
// say whether the target still listens.
const inquiryLimit clock.Millis = 100

// Client talks to one engine or service instance.
type Client struct {
	addr   string
	base   string
	dialer *net.Dialer
	http   *http.Client
	// fresh uses a new connection for each request: the transport never sends
	// again on those, and none is a stale one that the target has closed.
	fresh *http.Client
}

// New returns a client of the target at host:port.
func New(addr string) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	once := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return &Client{addr: addr, base: "http://" + addr, dialer: dial.New(inquiryLimit), http: &http.Client{Transport: t}, fresh: &http.Client{Transport: once}}
}

// Request is a request to a target.
type Request struct {
	Attempt  string
	Key      string
	Priority int
	// CacheKey names the chat in the engine's cache, "" for none.
	CacheKey string
	Method   string
	Path     string
	Header   map[string]string
	Body     []byte
	// AtMostOnce is true for a request that must not be sent a second time.
	AtMostOnce bool
}

// ErrNotSent means that nothing of a request reached the target, so that it
// has not run.
var ErrNotSent = errors.New("target not reached")

// Do starts a request. An error that wraps ErrNotSent is certain; after any
// other the request may have run.
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
	// The transport must not send a request twice on its own.
	req.GetBody = nil
	client := c.http
	if r.AtMostOnce {
		client = c.fresh
	}
	res, err := client.Do(req)
	// A request without a body may have been sent before on a connection that
	// broke, and be sent again by the transport; then a refusal proves nothing.
	again := !r.AtMostOnce && len(r.Body) == 0
	if errors.Is(err, syscall.ECONNREFUSED) && !again {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return res, err
}

// ErrExited means that the target's process has ended: its machine answers and refuses
// connections. What it had is lost.
var ErrExited = errors.New("target has ended")

// closeLag is how long an ended process may take to close its listener after its first
// connections: the kernel closes one after the other, and may let others run in between.
const closeLag = 20 * time.Millisecond

// Exited reports whether the target's process has ended.
func (c *Client) Exited(ctx context.Context) bool {
	return exited(func() (net.Conn, error) { return c.dialer.DialContext(ctx, "tcp", c.addr) })
}

// exited reports whether a process has ended to which a new connection is refused. This
// process stands beside the target, and asks so soon that one which is ending may still
// listen: such a connection is reset at once, and the next one refused.
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
	again, err := connect()
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = again.Close()
	return false
}

// ErrUnknownAttempt means that the target does not know the attempt.
var ErrUnknownAttempt = errors.New("target does not know the attempt")

// Resume asks for a stream again from event number from on; for a plain
// answer it asks for the whole.
func (c *Client) Resume(ctx context.Context, attempt string, from int, plain bool) (*http.Response, error) {
	u := c.base + "/v1/streams/" + attempt + "?from=" + strconv.Itoa(from)
	if plain {
		u += "&plain=1"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, fmt.Errorf("resume %s: %w", attempt, err)
	}
	res, err := c.http.Do(req)
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

// Cancel gives an attempt up and reports whether it had started.
func (c *Client) Cancel(ctx context.Context, attempt string) (started bool, err error) {
	var out struct {
		Started bool `json:"started"`
	}
	if err := c.call(ctx, http.MethodDelete, "/v1/streams/"+attempt, nil, &out); err != nil {
		return true, err
	}
	return out.Started, nil
}

// LoadReport is what an engine reports of itself, with a lag.
type LoadReport struct {
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	Slots         int `json:"slots"`
	CacheCapacity int `json:"cache_capacity"`
	CacheTokens   int `json:"cache_tokens"`
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	var out LoadReport
	return out, c.call(ctx, http.MethodGet, "/load", nil, &out)
}

// Kinds of events of the engine's cache.
const (
	EventStored  = "stored"
	EventEvicted = "evicted"
)

// CacheEvent is a change of the engine's cache.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"`
	Key    string `json:"key"`
	Tokens int    `json:"tokens"`
	// Age is how long ago it happened, in milliseconds.
	Age clock.Millis `json:"age_ms"`
}

// CacheEvents reads the cache events after a sequence number. They come late, and
// numbers may be missing.
func (c *Client) CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error) {
	var out []CacheEvent
	return out, c.call(ctx, http.MethodGet, "/cache/events?after="+strconv.FormatInt(after, 10), nil, &out)
}

// ExportPrefix reads the cached prefix of a chat.
func (c *Client) ExportPrefix(ctx context.Context, key string) ([]byte, error) {
	var out json.RawMessage
	return out, c.call(ctx, http.MethodGet, "/cache/export/"+key, nil, &out)
}

// ImportPrefix stores a prefix that another engine exported.
func (c *Client) ImportPrefix(ctx context.Context, key string, blob []byte) error {
	return c.call(ctx, http.MethodPost, "/cache/import/"+key, blob, nil)
}

// maxControlAnswer bounds answers other than those to callers, in bytes.
const maxControlAnswer = 64 << 20

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
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
	text, err := whole.Read(res.Body, res.ContentLength, maxControlAnswer)
	if err == nil {
		err = json.Unmarshal(text, out)
	}
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	return nil
}

// MaxEvent bounds one event of a stream in bytes.
const MaxEvent = 4 << 20
