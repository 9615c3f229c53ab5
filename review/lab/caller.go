package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Answer is what a caller received.
type Answer struct {
	ID        string
	SentAt    time.Time
	Status    int
	Signature string
	Body      string
	Err       error
}

// Caller sends requests to one gate and keeps its connections.
type Caller struct {
	l    *Lab
	g    *Gate
	http *http.Client
	n    int

	mu      sync.Mutex
	answers []Answer
	wg      sync.WaitGroup
}

// NewCaller returns a caller of a gate.
func (l *Lab) NewCaller(g *Gate) *Caller {
	return &Caller{l: l, g: g, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

// Request is a request of a caller.
type Request struct {
	Path, Key string
	Body      []byte
	Deadline  time.Duration
	Header    http.Header
	// Unique adds the ID of the request to the body, so that no two requests are alike.
	Unique bool
}

// Send sends a request and returns the answer. The ID begins with the name of the gate.
func (c *Caller) Send(r Request) Answer {
	c.mu.Lock()
	c.n++
	id := fmt.Sprintf("%s-%06d", c.g.Name, c.n)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline)
	defer cancel()
	a := Answer{ID: id, SentAt: time.Now()}
	if r.Unique {
		r.Body = append(bytes.Clone(r.Body), id...)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.g.Addr+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		a.Err = err
		return c.keep(a)
	}
	// Without it the client does not repeat a request on its own.
	req.GetBody = nil
	req.Host = Host
	req.Header.Set("Weldfall-Request-Id", id)
	req.Header.Set("Weldfall-Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+r.Key)
	for k, v := range r.Header {
		req.Header[k] = v
	}
	res, err := c.http.Do(req)
	if err != nil {
		a.Err = err
		return c.keep(a)
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	a.Status, a.Signature, a.Body, a.Err = res.StatusCode, res.Header.Get("Weldfall-Engine-Signature"), string(body), err
	return c.keep(a)
}

func (c *Caller) keep(a Answer) Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return a
}

// Repeat sends the same request in each period until ctx is done.
func (c *Caller) Repeat(ctx context.Context, period time.Duration, r Request) {
	c.wg.Go(func() {
		t := time.NewTicker(period)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				c.wg.Go(func() { c.Send(r) })
			}
		}
	})
}

// Wait waits until all requests of Repeat are answered and returns all answers.
func (c *Caller) Wait() []Answer {
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers
}

// RecordCounts records how many answers had each status.
func (l *Lab) RecordCounts(who string, answers []Answer) {
	counts := map[string]int{}
	for _, a := range answers {
		name := strconv.Itoa(a.Status)
		if a.Err != nil {
			name = "no answer"
		}
		counts[name]++
	}
	l.Recordf("%s: %d requests sent, answers %v", who, len(answers), counts)
}
