// Package source reads weldfall's own settings service: configuration values and the
// list of instances, both with revisions and watched by long poll. Nothing is
// ever written there.
package source

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/dial"
	"github.com/weldfall/weldfall/common/silence"
	"github.com/weldfall/weldfall/common/whole"
)

// Topic names a sequence of values of the platform.
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

// Batch is what the platform has after a revision, ascending. Everything up
// to Rev is in it; More says that there is more after that.
type Batch struct {
	Rev   int64  `json:"rev"`
	Items []Item `json:"items"`
	More  bool   `json:"more"`
	// Attempts is how many calls it took: more than one where a connection gave no sign.
	Attempts int `json:"-"`
}

// maxAnswer bounds an answer in bytes: a batch of values of up to a megabyte,
// escaped.
const maxAnswer = 8 << 20

// callLimit is how long the service may give no sign after the wait of a call, or in
// the middle of its answer, in time that this process had to listen. An answer may
// take as long as it comes: a megabyte on a slow link takes its time.
const callLimit clock.Millis = 5000

const (
	// hedgeAfter is how long after the wait of a call, without a sign, the same is asked
	// once more on a new connection: the service answers in milliseconds, and while it is
	// slow the first call is still waited for.
	hedgeAfter clock.Millis = 500
	// hedgePeriod is the time between further such calls.
	hedgePeriod clock.Millis = 1000
)

// Client reads one platform.
type Client struct {
	base string
	http *http.Client
	idle *dial.Idle
}

// New returns a client of the platform at base, for example
// http://10.0.0.1:9000.
func New(base string, clk *clock.Clock) *Client {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	return &Client{base: base, http: c, idle: dial.NewIdle(c, clk)}
}

// answer is what a call came to.
type answer struct {
	batch Batch
	err   error
}

// Changes returns what came after a revision of a topic. If there is nothing
// it waits for up to wait. Each call counts against the platform's limit.
func (c *Client) Changes(ctx context.Context, t Topic, after int64, wait clock.Millis) (Batch, error) {
	c.idle.CloseStale()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers, begun := make(chan answer), make(chan struct{})
	begin := sync.OnceFunc(func() { close(begun) })
	ask := func(wait clock.Millis) {
		b, err := c.call(ctx, t, after, wait, begin)
		select {
		case answers <- answer{b, err}:
		case <-ctx.Done():
		}
	}
	go ask(wait)
	hedge := time.NewTimer((wait + hedgeAfter).Duration())
	defer hedge.Stop()
	outstanding, asked := 1, 1
	for {
		select {
		case <-begun:
			hedge.Stop()
			begun = nil
		case <-hedge.C:
			metrics.GetOrCreateCounter("weldfall_platform_calls_hedged_total").Inc()
			// Where one connection is silent, those that rest may be.
			c.http.CloseIdleConnections()
			outstanding++
			asked++
			go ask(0)
			hedge.Reset(hedgePeriod.Duration())
		case a := <-answers:
			if outstanding--; a.err == nil || outstanding == 0 {
				a.batch.Attempts = asked
				return a.batch, a.err
			}
		case <-ctx.Done():
			return Batch{}, fmt.Errorf("platform %s: %w", t, ctx.Err())
		}
	}
}

// call makes one call. begun is called when the head of its answer is there.
func (c *Client) call(ctx context.Context, t Topic, after int64, wait clock.Millis, begun func()) (Batch, error) {
	guard := silence.New()
	ctx, cancel := guard.Context(ctx, wait, callLimit)
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
	guard.Begin()
	begun()
	body, err := whole.Read(guard.Reader(res.Body), res.ContentLength, maxAnswer)
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
