package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// kind is a kind of request.
type kind struct {
	name, path string
	limit      time.Duration
	stream     bool
}

// prompt is what a request says of its prompt, the zero value if nothing.
type prompt struct{ parts, tokens string }

// ask is one matter that a consumer asks for. A refused try is repeated once, as told.
type ask struct {
	kind       kind
	tenant     string
	key, body  string
	prompt     prompt
	at         time.Time
	served     bool
	tries      []string
	lastStatus string
}

// crowd sends the consumers' requests.
type crowd struct {
	f    *fleet
	host string
	next uint64

	mu   sync.Mutex
	asks []*ask
	wg   sync.WaitGroup
}

func (c *crowd) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), c.next)
}

// send asks for a matter in the background.
func (c *crowd) send(a ask) { c.wg.Go(func() { c.ask(a) }) }

// ask asks for a matter and returns once it was served or given up.
func (c *crowd) ask(a ask) {
	a.at = time.Now()
	c.mu.Lock()
	c.asks = append(c.asks, &a)
	c.mu.Unlock()
	c.run(&a)
}

func (c *crowd) run(a *ask) {
	tried := map[*gate]bool{}
	for range 2 {
		left := a.kind.limit - time.Since(a.at)
		g := c.pick(tried)
		if left <= 0 || g == nil {
			return
		}
		tried[g] = true
		status, served, back := c.try(a, g, left)
		a.tries = append(a.tries, status)
		a.lastStatus = status
		if served {
			a.served = true
			return
		}
		if back < 0 {
			// No promise: a request that may have run is not repeated.
			return
		}
		time.Sleep(min(back, (a.kind.limit-time.Since(a.at))/3))
	}
}

// pick returns a gate, another one than before if there is one.
func (c *crowd) pick(tried map[*gate]bool) *gate {
	in := c.f.in()
	if len(in) == 0 {
		in = c.f.gates
	}
	var untried []*gate
	for _, g := range in {
		if !tried[g] {
			untried = append(untried, g)
		}
	}
	if len(untried) > 0 {
		in = untried
	}
	return in[rand.IntN(len(in))]
}

// try sends a request on a new channel. back is the time after which the caller may return, or
// negative if the answer promises nothing.
func (c *crowd) try(a *ask, g *gate, left time.Duration) (status string, served bool, back time.Duration) {
	id := c.newID()
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.http+a.kind.path, bytes.NewReader([]byte(a.body)))
	if err != nil {
		return err.Error(), false, -1
	}
	req.GetBody = nil
	req.Host = c.host
	req.Header.Set("Weldfall-Request-Id", id)
	req.Header.Set("Weldfall-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+a.key)
	if a.prompt != (prompt{}) {
		req.Header.Set("Weldfall-Model", "m")
		req.Header.Set("Weldfall-Token-Usage", a.prompt.tokens)
		req.Header.Set("Weldfall-Prefix-Hash", a.prompt.parts)
	}
	c.f.record.add("sends %s %s of %s to %s", id, a.kind.name, a.tenant, g.name)
	status, served, back = c.exchange(a, id, req)
	c.f.record.add("gets %s %s of %s: %s", id, a.kind.name, a.tenant, status)
	return status, served, back
}

func (c *crowd) exchange(a *ask, id string, req *http.Request) (status string, served bool, back time.Duration) {
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer tr.CloseIdleConnections()
	res, err := tr.RoundTrip(req)
	if err != nil {
		return "no answer: " + err.Error(), false, -1
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	status = strconv.Itoa(res.StatusCode)
	if err != nil {
		return status + " cut", false, -1
	}
	switch res.StatusCode {
	case http.StatusOK:
		want := plainBody(id)
		if a.kind.stream {
			want = stream(id)
		}
		if string(body) != want || res.Header.Get("Weldfall-Engine-Signature") == "" {
			return status + " wrong", false, -1
		}
		return status, true, -1
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		if err != nil {
			s = 0
		}
		return fmt.Sprintf("%s back in %.2f s %s", status, s, bytes.TrimSpace(body)), false, time.Duration(s * float64(time.Second))
	}
	return status, false, -1
}

// stream is the whole stream for a request.
func stream(id string) string {
	var b bytes.Buffer
	for n := 1; n <= events; n++ {
		b.WriteString(event(id, n))
	}
	return b.String()
}

// share is how many of some asks were served.
type share struct{ asked, served int }

func (s share) part() float64 {
	if s.asked == 0 {
		return 0
	}
	return float64(s.served) / float64(s.asked)
}

func (s share) String() string { return fmt.Sprintf("%d of %d (%.3f)", s.served, s.asked, s.part()) }

// shares counts the asks that match.
func (c *crowd) shares(match func(*ask) bool) share {
	c.mu.Lock()
	defer c.mu.Unlock()
	var s share
	for _, a := range c.asks {
		if !match(a) {
			continue
		}
		s.asked++
		if a.served {
			s.served++
		}
	}
	return s
}
