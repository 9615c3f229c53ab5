// Package source reads weldfall's own settings service: configuration values and the list
// of instances, both with revisions and watched by long poll. It never writes there.
package source

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/dial"
	"github.com/weldfall/weldfall/common/httpconn"
	"github.com/weldfall/weldfall/common/silence"
	"github.com/weldfall/weldfall/common/whole"
)

// Topic is a sequence of values of the platform.
type Topic string

const (
	Config    Topic = "config"
	Instances Topic = "instances"
)

// Item is the latest value of a key.
type Item struct {
	Key   string `json:"key"`
	Rev   int64  `json:"rev"`
	Value string `json:"value"`
	Gone  bool   `json:"gone"`
}

// Batch holds the changes after a revision, in ascending order, complete up to Rev. More
// reports that there are changes after Rev.
type Batch struct {
	Rev   int64  `json:"rev"`
	Items []Item `json:"items"`
	More  bool   `json:"more"`
	// Attempts is how many calls were made, more than one if a connection was silent.
	Attempts int `json:"-"`
}

// maxResponse limits a response in bytes: a batch of values of up to a megabyte, escaped.
const maxResponse = 8 << 20

// responseTimeout is how long the service may send nothing once the wait of a call is
// over, or in the middle of its response, not counting time in which this process did not
// run. A response as a whole has no time limit, since a megabyte takes long on a slow
// link.
const responseTimeout clock.Millis = 5000

const (
	// hedgeAfter is how long after the wait of a call without a response a second call is
	// made on a new connection. The service responds in milliseconds. The first call is
	// still waited for, in case the service is slow.
	hedgeAfter clock.Millis = 500
	// hedgePeriod is the time between further hedged calls.
	hedgePeriod clock.Millis = 1000
)

// Client reads one platform.
type Client struct {
	base string
	http *http.Client
	idle *dial.IdleConns
}

// New returns a client of the platform at base, for example http://10.0.0.1:9000.
func New(base string, clk *clock.Clock, log *slog.Logger) *Client {
	c := &http.Client{Transport: httpconn.New(&http.Transport{MaxIdleConnsPerHost: 4}, "platform", log)}
	return &Client{base: base, http: c, idle: dial.NewIdleConns(c, clk)}
}

// response is the outcome of a call.
type response struct {
	batch Batch
	err   error
}

// Changes returns the changes of a topic after a revision. If there are none it waits for
// up to wait. A call without a response is hedged; the first successful response is
// returned. Each call counts against the platform's rate limit.
func (c *Client) Changes(ctx context.Context, t Topic, after int64, wait clock.Millis) (Batch, error) {
	c.idle.CloseStale()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses, begun := make(chan response), make(chan struct{})
	begin := sync.OnceFunc(func() { close(begun) })
	call := func(wait clock.Millis) {
		b, err := c.call(ctx, t, after, wait, begin)
		select {
		case responses <- response{b, err}:
		case <-ctx.Done():
		}
	}
	go call(wait)
	hedge := time.NewTimer((wait + hedgeAfter).Duration())
	defer hedge.Stop()
	outstanding, attempts := 1, 1
	for {
		select {
		case <-begun:
			hedge.Stop()
			begun = nil
		case <-hedge.C:
			metrics.GetOrCreateCounter("weldfall_platform_calls_hedged_total").Inc()
			// Where one connection is silent, idle ones may be too.
			c.http.CloseIdleConnections()
			outstanding++
			attempts++
			go call(0)
			hedge.Reset(hedgePeriod.Duration())
		case res := <-responses:
			if outstanding--; res.err == nil || outstanding == 0 {
				res.batch.Attempts = attempts
				return res.batch, res.err
			}
		case <-ctx.Done():
			return Batch{}, fmt.Errorf("platform %s: %w", t, ctx.Err())
		}
	}
}

// call makes one call. It calls begun when the header of the response has arrived.
func (c *Client) call(ctx context.Context, t Topic, after int64, wait clock.Millis, begun func()) (Batch, error) {
	guard := silence.New()
	ctx, cancel := guard.Context(ctx, wait, responseTimeout)
	defer cancel()
	q := url.Values{"after": {strconv.FormatInt(after, 10)}, "wait_ms": {strconv.FormatInt(int64(wait), 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/"+string(t)+"?"+q.Encode(), nil)
	if err != nil {
		return Batch{}, fmt.Errorf("platform %s: %w", t, err)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_platform_calls_total{topic=%q}`, t)).Inc()
	res, err := c.http.Do(req)
	if err != nil {
		return Batch{}, fmt.Errorf("platform %s: %w", t, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return Batch{}, fmt.Errorf("platform %s: status %d", t, res.StatusCode)
	}
	guard.MarkStarted()
	begun()
	body, err := whole.Read(guard.Reader(res.Body), res.ContentLength, maxResponse)
	if err != nil {
		return Batch{}, fmt.Errorf("platform %s: %w", t, cmp.Or(context.Cause(ctx), err))
	}
	metrics.GetOrCreateCounter(`weldfall_control_bytes_total{direction="in",kind="platform"}`).Add(len(body))
	var b Batch
	if err := json.Unmarshal(body, &b); err != nil {
		return Batch{}, fmt.Errorf("platform %s: %w", t, err)
	}
	return b, nil
}
