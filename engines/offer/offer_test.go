package offer_test

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/attempt"
	"github.com/weldfall/weldfall/engines/offer"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/verdict"
)

// daemon responds to offers as its test requires. A nil run never responds.
type daemon struct {
	run, resume func(c *link.Conn, attempt uint64) wire.Result
	canceled    verdict.Verdict

	mu sync.Mutex
	// attempt is the number of the latest offer, cancels the number of cancel calls, acked the
	// latest acknowledgment.
	attempt uint64
	cancels int
	acked   wire.Ack
}

// Call implements link.Handler.
func (d *daemon) Call(ctx context.Context, c *link.Conn, method string, params json.RawMessage) (any, error) {
	switch method {
	case wire.MethodRun:
		r, err := wire.Decode[wire.Run](method, params)
		if err != nil {
			return nil, err
		}
		d.mu.Lock()
		d.attempt = r.Attempt
		d.mu.Unlock()
		if d.run == nil {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return d.run(c, r.Attempt), nil
	case wire.MethodResume:
		r, err := wire.Decode[wire.Resume](method, params)
		if err != nil {
			return nil, err
		}
		return d.resume(c, r.Attempt), nil
	case wire.MethodCancel:
		d.mu.Lock()
		defer d.mu.Unlock()
		d.cancels++
		return wire.Canceled{Verdict: d.canceled}, nil
	}
	return nil, errors.New("unknown method")
}

// Notify implements link.Handler.
func (d *daemon) Notify(_ *link.Conn, method string, params json.RawMessage) {
	if method != wire.MethodAck {
		return
	}
	m, err := wire.Decode[wire.Ack](method, params)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.acked = m
}

// Frame implements link.Handler.
func (*daemon) Frame(wire.Frame) {}

func (d *daemon) canceledTimes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cancels
}

// sender is the process that sends offers. Its Observer methods do nothing.
type sender struct{ client *offer.Client }

func (s *sender) Call(context.Context, *link.Conn, string, json.RawMessage) (any, error) {
	return nil, errors.New("a sender handles no calls")
}
func (s *sender) Notify(*link.Conn, string, json.RawMessage) {}
func (s *sender) Frame(f wire.Frame)                         { s.client.HandleFrame(f) }
func (s *sender) DaemonReached(string)                       {}
func (s *sender) DaemonUnreachable(string)                   {}
func (s *sender) SampleLoads([]wire.Load)                    {}

// caller records the response.
type caller struct {
	mu      sync.Mutex
	body    strings.Builder
	started bool
	// err is returned by WriteFrames.
	err error
	// onWrite is called after each write; it may be nil.
	onWrite func()
}

// WriteFrames implements offer.ResponseWriter.
func (c *caller) WriteFrames(frames []wire.Frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range frames {
		c.started = true
		c.body.Write(f.Data)
	}
	if len(frames) > 0 && c.onWrite != nil {
		c.onWrite()
	}
	if len(frames) > 0 {
		return c.err
	}
	return nil
}

// Started implements offer.ResponseWriter.
func (c *caller) Started() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}

// serve serves a daemon and returns a client that reaches it.
func serve(t *testing.T, d *daemon) (client *offer.Client, addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	clk := clock.System()
	done := make(chan struct{})
	go func() {
		defer close(done)
		link.Serve(ctx, ln, clk, slog.New(slog.DiscardHandler), d, 0)
	}()
	s := &sender{}
	links := link.NewPool(clk, s)
	s.client = offer.New(links, s)
	t.Cleanup(func() {
		links.Close()
		cancel()
		<-done
	})
	return s.client, ln.Addr().String()
}

// frame returns the frame with the given number.
func frame(attempt uint64, seq int, data string) wire.Frame {
	f := wire.Frame{Attempt: attempt, Seq: seq, Data: []byte(data)}
	if seq == 0 {
		f.Head = &wire.Head{Status: 200}
	}
	return f
}

// sendAll sends two frames from the given number on.
func sendAll(t *testing.T, c *link.Conn, attempt uint64, from int) {
	t.Helper()
	for seq, data := range []string{"a", "b"} {
		if seq < from {
			continue
		}
		if err := c.SendFrame(frame(attempt, seq, data)); err != nil {
			t.Errorf("send frame %d: %v", seq, err)
		}
	}
}

// kind returns the kind of an outcome and the verdict of its error.
func kind(o attempt.Outcome) (string, verdict.Verdict) {
	switch o := o.(type) {
	case attempt.Answered:
		return "answered", verdict.Ran
	case attempt.Unsent:
		return "unsent", verdict.From(o.Err).Verdict()
	case attempt.Refused:
		return "refused", verdict.From(o.Err).Verdict()
	case attempt.Broken:
		return "broken", verdict.From(o.Err).Verdict()
	case attempt.CallerGone:
		return "caller gone", verdict.From(o.Err).Verdict()
	}
	return "unknown", ""
}

// The verdict is not_run only if the daemon says so and nothing contradicts it, or if
// nothing was sent. Everything else may have run.
func TestOutcomes(t *testing.T) {
	whole := func(t *testing.T) func(*link.Conn, uint64) wire.Result {
		return func(c *link.Conn, attempt uint64) wire.Result {
			sendAll(t, c, attempt, 0)
			return wire.Result{Verdict: verdict.Ran, Frames: 2}
		}
	}
	says := func(res wire.Result) func(*testing.T) func(*link.Conn, uint64) wire.Result {
		return func(*testing.T) func(*link.Conn, uint64) wire.Result {
			return func(*link.Conn, uint64) wire.Result { return res }
		}
	}
	for name, tc := range map[string]struct {
		run, resume func(t *testing.T) func(*link.Conn, uint64) wire.Result
		canceled    verdict.Verdict
		// gone is true for a caller that fails to read. deadline is the timeout of the
		// request, 5 s if zero.
		gone     bool
		deadline time.Duration
		kind     string
		verdict  verdict.Verdict
		body     string
		cancels  int
	}{
		"a complete response": {run: whole, kind: "answered", verdict: verdict.Ran, body: "ab"},
		"the daemon refuses": {
			run:  says(wire.Result{Verdict: verdict.NotRun, Refused: true, Reason: verdict.OverBound, Message: "full"}),
			kind: "refused", verdict: verdict.NotRun,
		},
		"not run and not to be retried": {
			run:  says(wire.Result{Verdict: verdict.NotRun, Reason: verdict.Deadline, Message: "late"}),
			kind: "broken", verdict: verdict.NotRun,
		},
		"the engine failed": {
			run:  says(wire.Result{Verdict: verdict.MayHaveRun, Reason: verdict.EngineFailed, Message: "500"}),
			kind: "broken", verdict: verdict.MayHaveRun,
		},
		"a refusal that is not certain": {
			run:  says(wire.Result{Verdict: verdict.MayHaveRun, Refused: true, Reason: verdict.OverBound, Message: "full"}),
			kind: "broken", verdict: verdict.MayHaveRun,
		},
		"not run after the response started": {
			run: func(t *testing.T) func(*link.Conn, uint64) wire.Result {
				return func(c *link.Conn, attempt uint64) wire.Result {
					sendAll(t, c, attempt, 0)
					return wire.Result{Verdict: verdict.NotRun, Refused: true, Reason: verdict.OverBound}
				}
			},
			kind: "broken", verdict: verdict.MayHaveRun, body: "ab",
		},
		"frames are missing at the end": {
			run: func(t *testing.T) func(*link.Conn, uint64) wire.Result {
				return func(c *link.Conn, attempt uint64) wire.Result {
					sendAll(t, c, attempt, 1)
					return wire.Result{Verdict: verdict.Ran, Frames: 2}
				}
			},
			resume: whole, kind: "answered", verdict: verdict.Ran, body: "ab",
		},
		"a response without a status": {
			run: func(t *testing.T) func(*link.Conn, uint64) wire.Result {
				return func(c *link.Conn, attempt uint64) wire.Result {
					if err := c.SendFrame(wire.Frame{Attempt: attempt, Head: &wire.Head{}, Data: []byte("a")}); err != nil {
						t.Errorf("send: %v", err)
					}
					return wire.Result{Verdict: verdict.Ran, Frames: 1}
				}
			},
			canceled: verdict.MayHaveRun, kind: "broken", verdict: verdict.MayHaveRun, cancels: 1,
		},
		"the deadline passes before it runs": {
			canceled: verdict.NotRun, deadline: 50 * time.Millisecond,
			kind: "broken", verdict: verdict.NotRun, cancels: 1,
		},
		"the deadline passes while it runs": {
			canceled: verdict.MayHaveRun, deadline: 50 * time.Millisecond,
			kind: "broken", verdict: verdict.MayHaveRun, cancels: 1,
		},
		"the caller does not read the response": {
			run: whole, canceled: verdict.NotRun, gone: true,
			kind: "caller gone", verdict: verdict.MayHaveRun, body: "ab", cancels: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := &daemon{canceled: tc.canceled}
			if tc.run != nil {
				d.run = tc.run(t)
			}
			if tc.resume != nil {
				d.resume = tc.resume(t)
			}
			client, addr := serve(t, d)
			deadline := tc.deadline
			if deadline == 0 {
				deadline = 5 * time.Second
			}
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			w := &caller{}
			if tc.gone {
				w.err = errors.New("gone")
			}
			o, _ := client.Do(ctx, offer.Daemon{ID: "d", Addr: addr}, wire.Run{}, w)
			if k, v := kind(o); k != tc.kind || v != tc.verdict {
				t.Errorf("got %s, %s (%v), want %s, %s", k, v, o, tc.kind, tc.verdict)
			}
			// A caller that fails may have got both frames at once, or only the first.
			if got := w.body.String(); got != tc.body && (!tc.gone || got != "a") {
				t.Errorf("got %q, want %q", got, tc.body)
			}
			if got := d.canceledTimes(); got != tc.cancels {
				t.Errorf("got %d cancel calls at the daemon, want %d", got, tc.cancels)
			}
		})
	}
}

// If the caller leaves before the response starts, the verdict is that of the daemon.
func TestCallerLeavesBeforeResponse(t *testing.T) {
	for canceled, want := range map[verdict.Verdict]verdict.Verdict{
		verdict.NotRun: verdict.NotRun, verdict.MayHaveRun: verdict.MayHaveRun,
	} {
		d := &daemon{canceled: canceled}
		client, addr := serve(t, d)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)
		o, _ := client.Do(ctx, offer.Daemon{ID: "d", Addr: addr}, wire.Run{}, &caller{})
		if k, v := kind(o); k != "caller gone" || v != want {
			t.Errorf("got %s, %s, want caller gone, %s", k, v, want)
		}
	}
}

// A request that was never sent has not run.
func TestUnreachableDaemon(t *testing.T) {
	client, _ := serve(t, &daemon{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	o, _ := client.Do(t.Context(), offer.Daemon{ID: "d", Addr: addr}, wire.Run{}, &caller{})
	if k, v := kind(o); k != "unsent" || v != verdict.NotRun {
		t.Errorf("got %s, %s, want unsent, not_run", k, v)
	}
}

// After a lost connection the response continues from the next expected frame.
func TestResumeAfterLostConnection(t *testing.T) {
	var w caller
	d := &daemon{}
	d.run = func(c *link.Conn, attempt uint64) wire.Result {
		written := make(chan struct{})
		w.mu.Lock()
		w.onWrite = sync.OnceFunc(func() { close(written) })
		w.mu.Unlock()
		if err := c.SendFrame(frame(attempt, 0, "a")); err != nil {
			t.Errorf("send: %v", err)
		}
		<-written
		c.Close()
		return wire.Result{}
	}
	d.resume = func(c *link.Conn, attempt uint64) wire.Result {
		// All frames are sent again; the first must not be relayed twice.
		sendAll(t, c, attempt, 0)
		return wire.Result{Verdict: verdict.Ran, Frames: 2}
	}
	client, addr := serve(t, d)
	o, _ := client.Do(t.Context(), offer.Daemon{ID: "d", Addr: addr}, wire.Run{}, &w)
	if k, _ := kind(o); k != "answered" || w.body.String() != "ab" {
		t.Errorf("got %s, %q, want answered, ab", k, w.body.String())
	}
}

// A daemon retains what was not acknowledged, so that frames written to the caller must be.
func TestWrittenFramesAreAcknowledged(t *testing.T) {
	for name, size := range map[string]int{"large": 8 << 10, "small": 1} {
		t.Run(name, func(t *testing.T) {
			d := &daemon{}
			sent := 0
			d.run = func(c *link.Conn, attempt uint64) wire.Result {
				for unacked := 0; sent < 5000; sent++ {
					f := frame(attempt, sent, strings.Repeat("x", size))
					unacked += f.Size()
					for n := 0; unacked > wire.MaxUnacked; n++ {
						d.mu.Lock()
						unacked = (sent - d.acked.Next) * f.Size()
						d.mu.Unlock()
						if time.Sleep(time.Millisecond); n > 5000 {
							t.Error("got no acknowledgment in 5 s")
							return wire.Result{Verdict: verdict.MayHaveRun}
						}
					}
					if err := c.SendFrame(f); err != nil {
						t.Errorf("send: %v", err)
					}
				}
				return wire.Result{Verdict: verdict.Ran, Frames: sent}
			}
			client, addr := serve(t, d)
			w := &caller{}
			o, _ := client.Do(t.Context(), offer.Daemon{ID: "d", Addr: addr}, wire.Run{}, w)
			if k, _ := kind(o); k != "answered" || w.body.Len() != sent*size {
				t.Errorf("got %s, %d bytes, want answered, %d", k, w.body.Len(), sent*size)
			}
		})
	}
}
