package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/engines/upstream"
)

const (
	// closeHead begins a response to the request w that ends with its connection.
	closeHead = "HTTP/1.1 200 OK\r\nWeldfall-Request-Id: w\r\n\r\n"
	// lengthResponse is a response to the request w that has a length.
	lengthResponse = "HTTP/1.1 200 OK\r\nWeldfall-Request-Id: w\r\nContent-Length: 2\r\n\r\nok"
	healthy        = "HTTP/1.1 200 OK\r\nWeldfall-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n"
	otherHealthy   = "HTTP/1.1 200 OK\r\nWeldfall-Instance-Id: i-2\r\nContent-Length: 0\r\n\r\n"
)

// socketEngine accepts connections, each of which is served by serve.
type socketEngine struct {
	ln net.Listener
	// accepted counts the connections, and open those that nobody has closed.
	accepted, open atomic.Int64

	mu sync.Mutex
	// idle are the connections on which no response is being sent.
	idle map[net.Conn]bool
}

// newSocketEngine starts an engine. n is the number of a connection, from 1 on.
func newSocketEngine(t *testing.T, serve func(e *socketEngine, nc net.Conn, n int64)) *socketEngine {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &socketEngine{ln: ln, idle: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = ln.Close(); e.closeIdle() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			n := e.accepted.Add(1)
			e.open.Add(1)
			go func() {
				defer e.open.Add(-1)
				defer func() { _ = nc.Close() }()
				serve(e, nc, n)
			}()
		}
	}()
	return e
}

func (e *socketEngine) addr() string { return e.ln.Addr().String() }

// closeIdle closes the idle connections.
func (e *socketEngine) closeIdle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for nc := range e.idle {
		_ = nc.Close()
	}
}

// requests calls respond for each request on a connection until it returns false. It answers health
// checks itself.
func (e *socketEngine) requests(nc net.Conn, respond func(*http.Request) bool) {
	br := bufio.NewReader(nc)
	for {
		e.mu.Lock()
		e.idle[nc] = true
		e.mu.Unlock()
		r, err := http.ReadRequest(br)
		e.mu.Lock()
		delete(e.idle, nc)
		e.mu.Unlock()
		if err != nil {
			return
		}
		if r.Header.Get("Weldfall-Request-Id") == "" {
			_, _ = io.WriteString(nc, healthy)
			continue
		}
		if !respond(r) {
			return
		}
	}
}

// sendParts sends a response that ends with its connection.
func sendParts(nc net.Conn, parts int, pause time.Duration) {
	_, _ = io.WriteString(nc, closeHead)
	for range parts {
		_, _ = io.WriteString(nc, "part\n")
		time.Sleep(pause)
	}
}

func newWitnessPool() *upstream.Pool {
	return upstream.NewPool(clock.System(), upstream.HeaderNames{RequestID: dialect.RequestID, NotRun: dialect.NotRun, Instance: dialect.Instance}, nil, slog.New(slog.DiscardHandler))
}

// witnessRequest returns a request to an engine that is listed as listed.
func witnessRequest(uri string, listed framing.Sender) *upstream.Request {
	return &upstream.Request{
		ID: "w", Method: http.MethodGet, URI: uri, Host: "h", Header: http.Header{"Weldfall-Request-Id": {"w"}},
		Engine: "i-1", Listed: func() framing.Sender { return listed },
		Health: &upstream.Request{Engine: "i-1", Method: http.MethodGet, URI: "/healthz", Host: "h", Header: http.Header{}},
	}
}

// errNotBegun means that a request got no response.
var errNotBegun = errors.New("no response")

// fetch returns the body of a response and the error that ended it, nil for a whole one. It wraps
// errNotBegun if there was no response.
func fetch(p *upstream.Pool, addr string, r *upstream.Request) (string, error) {
	a, err := p.Do(context.Background(), addr, r, 3000)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errNotBegun, err)
	}
	defer a.Close()
	b, err := io.ReadAll(a)
	return string(b), err
}

// Guards against connections that the pool loses where it replaces a witness: nobody closes them, and
// they count as open for ever, so that an engine with a connection limit gets no more requests.
func TestReplacedWitnessLeavesNoConnectionBehind(t *testing.T) {
	t.Parallel()
	e := newSocketEngine(t, func(e *socketEngine, nc net.Conn, _ int64) {
		e.requests(nc, func(r *http.Request) bool {
			if r.URL.Path != "/close" {
				_, _ = io.WriteString(nc, lengthResponse)
				return true
			}
			_, _ = io.WriteString(nc, closeHead)
			for range 10 {
				_, _ = io.WriteString(nc, "part\n")
				time.Sleep(20 * time.Millisecond)
				e.closeIdle()
				time.Sleep(20 * time.Millisecond)
			}
			return false
		})
	})
	pool := newWitnessPool()
	const limit = 8
	pool.SetMaxConns(e.addr(), limit)
	for range 3 {
		_, _ = fetch(pool, e.addr(), witnessRequest("/close", ""))
	}
	time.Sleep(50 * time.Millisecond)
	pool.CloseIdle()
	time.Sleep(50 * time.Millisecond)
	if got := e.open.Load(); got != 0 {
		t.Errorf("got %d open connections after all were closed, want 0", got)
	}
	if _, err := fetch(pool, e.addr(), witnessRequest("/length", "")); err != nil {
		t.Errorf("got %v below a limit of %d connections, want a response", err, limit)
	}
}

// Guards against a burst of connections to an engine that takes no more of them: a witness that is
// closed at once is replaced at once.
func TestWitnessOfAFullEngineIsNotReplacedAtOnce(t *testing.T) {
	t.Parallel()
	e := newSocketEngine(t, func(e *socketEngine, nc net.Conn, n int64) {
		if n > 1 {
			_ = nc.(*net.TCPConn).SetLinger(0)
			return
		}
		e.requests(nc, func(*http.Request) bool { sendParts(nc, 10, 50*time.Millisecond); return false })
	})
	if _, err := fetch(newWitnessPool(), e.addr(), witnessRequest("/close", "")); err != nil {
		t.Errorf("got %v from an engine that stands and takes no second connection, want the whole response", err)
	}
	if got := e.accepted.Load(); got > 60 {
		t.Errorf("got %d connections in 0.5 s, want at most 60", got)
	}
}

// An engine that stands keeps its whole responses. Guards against those that are told as broken off
// since the engine closed the witness at an unlucky moment, or takes no other connection.
func TestWholeResponseOfAnEngineThatStands(t *testing.T) {
	for name, tc := range map[string]struct {
		listed framing.Sender
		serve  func(e *socketEngine, nc net.Conn, n int64)
		// hurries is set for an engine that may close a connection before its first request arrives,
		// which then is sent again.
		hurries bool
	}{
		"its idle connections end 100 ms before the end and after the last data": {serve: func(e *socketEngine, nc net.Conn, _ int64) {
			e.requests(nc, func(*http.Request) bool {
				sendParts(nc, 3, 20*time.Millisecond)
				e.closeIdle()
				time.Sleep(100 * time.Millisecond)
				return false
			})
		}},
		"its idle connections end 20 ms before the end and after the last data": {serve: func(e *socketEngine, nc net.Conn, _ int64) {
			e.requests(nc, func(*http.Request) bool {
				sendParts(nc, 3, 20*time.Millisecond)
				e.closeIdle()
				time.Sleep(20 * time.Millisecond)
				return false
			})
		}},
		"its idle connections end with the response": {serve: func(e *socketEngine, nc net.Conn, _ int64) {
			e.requests(nc, func(*http.Request) bool {
				sendParts(nc, 3, 20*time.Millisecond)
				e.closeIdle()
				return false
			})
		}},
		"its idle connections end 20 ms after the response": {serve: func(e *socketEngine, nc net.Conn, _ int64) {
			e.requests(nc, func(*http.Request) bool {
				sendParts(nc, 3, 20*time.Millisecond)
				time.AfterFunc(20*time.Millisecond, e.closeIdle)
				return false
			})
		}},
		"it answers idle connections by 408": {hurries: true, serve: func(e *socketEngine, nc net.Conn, _ int64) {
			_ = nc.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
			br := bufio.NewReader(nc)
			r, err := http.ReadRequest(br)
			switch {
			case err != nil:
				_, _ = io.WriteString(nc, "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			case r.Header.Get("Weldfall-Request-Id") == "":
				_, _ = io.WriteString(nc, healthy)
			default:
				sendParts(nc, 10, 20*time.Millisecond)
			}
		}},
		"it answers one request a connection": {serve: func(e *socketEngine, nc net.Conn, _ int64) {
			e.requests(nc, func(*http.Request) bool { sendParts(nc, 1, 0); return false })
		}},
		"it leaves, short": {listed: framing.SenderLeaves, serve: func(e *socketEngine, nc net.Conn, _ int64) {
			e.requests(nc, func(*http.Request) bool { sendParts(nc, 1, 0); return false })
		}},
		"it leaves, long": {listed: framing.SenderLeaves, serve: func(e *socketEngine, nc net.Conn, _ int64) {
			e.requests(nc, func(*http.Request) bool { sendParts(nc, 4, 20*time.Millisecond); return false })
		}},
		"HTTP/1.0, keep-alive": {serve: func(e *socketEngine, nc net.Conn, _ int64) {
			e.requests(nc, func(*http.Request) bool {
				_, _ = io.WriteString(nc, "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nWeldfall-Request-Id: w\r\n\r\nx")
				time.Sleep(20 * time.Millisecond)
				return false
			})
		}},
		"it has no health check to answer": {serve: func(e *socketEngine, nc net.Conn, _ int64) {
			br := bufio.NewReader(nc)
			if r, err := http.ReadRequest(br); err != nil || r.Header.Get("Weldfall-Request-Id") == "" {
				time.Sleep(time.Second)
				return
			}
			sendParts(nc, 1, 0)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newSocketEngine(t, tc.serve)
			pool := newWitnessPool()
			broken := 0
			var last error
			const requests = 10
			for range requests {
				_, err := fetch(pool, e.addr(), witnessRequest("/close", tc.listed))
				for n := 0; tc.hurries && errors.Is(err, errNotBegun) && n < 10; n++ {
					_, err = fetch(pool, e.addr(), witnessRequest("/close", tc.listed))
				}
				if err != nil {
					broken, last = broken+1, err
				}
			}
			if broken > 0 {
				t.Errorf("got %d of %d whole responses told as broken off, the last by %v", broken, requests, last)
			}
		})
	}
}

// An engine that handles one connection after the other keeps its whole responses, and other
// processes reach it.
func TestWitnessDoesNotBlockAnEngineOfOneConnectionAtATime(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(nc)); err == nil && r.Header.Get("Weldfall-Request-Id") == "" {
				_, _ = io.WriteString(nc, healthy)
			} else if err == nil {
				sendParts(nc, 1, 0)
			}
			_ = nc.Close()
		}
	}()
	pools := []*upstream.Pool{newWitnessPool(), newWitnessPool()}
	for n := range 6 {
		start := time.Now()
		if _, err := fetch(pools[n%2], ln.Addr().String(), witnessRequest("/close", "")); err != nil {
			t.Errorf("request %d: got %v after %v, want the whole response", n, err, time.Since(start))
		}
	}
}

// Guards against a response that is told as complete though its engine's process ended in the middle:
// another process had the address when a slow caller read the rest.
func TestResponseReadLateIsNotProvenByAnotherProcess(t *testing.T) {
	for name, tc := range map[string]struct {
		listed framing.Sender
		// short ends the process with the first part of the response.
		short bool
	}{
		"ready":          {},
		"leaving":        {listed: framing.SenderLeaves},
		"ready, short":   {short: true},
		"leaving, short": {listed: framing.SenderLeaves, short: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			told := 0
			const runs = 10
			for range runs {
				if err := readLate(t, tc.listed, tc.short); err == nil {
					told++
				}
			}
			if told > 0 {
				t.Errorf("got %d of %d responses told as complete after their process ended, want 0", told, runs)
			}
		})
	}
}

// readLate returns the error that ends a response whose process ends while it is not read. Another
// process that is healthy has the address then.
func readLate(t *testing.T, listed framing.Sender, short bool) error {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	var mu sync.Mutex
	conns := map[net.Conn]bool{}
	next := make(chan net.Listener, 1)
	end := func() {
		_ = ln.Close()
		mu.Lock()
		defer mu.Unlock()
		for nc := range conns {
			_ = nc.Close()
		}
		other, err := net.Listen("tcp", addr)
		if err != nil {
			next <- nil
			return
		}
		next <- other
		for {
			nc, err := other.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				br := bufio.NewReader(nc)
				for {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					_, _ = io.WriteString(nc, otherHealthy)
				}
			}()
		}
	}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns[nc] = true
			mu.Unlock()
			go func() {
				r, err := http.ReadRequest(bufio.NewReader(nc))
				if err != nil || r.Header.Get("Weldfall-Request-Id") == "" {
					return
				}
				_, _ = io.WriteString(nc, closeHead+"part\n")
				if !short {
					time.Sleep(50 * time.Millisecond)
					_, _ = io.WriteString(nc, "part\n")
				}
				end()
			}()
		}
	}()
	pool := newWitnessPool()
	a, err := pool.Do(context.Background(), addr, witnessRequest("/close", listed), 3000)
	if err != nil {
		return err
	}
	defer a.Close()
	if !short {
		time.Sleep(300 * time.Millisecond)
	}
	_, err = io.ReadAll(a)
	if other := <-next; other != nil {
		_ = other.Close()
	}
	return err
}

// Guards against a request on a connection that its engine is about to close: the connection was a
// witness and lost the time that the engine had announced.
func TestWitnessKeepsTheAnnouncedIdleTime(t *testing.T) {
	t.Parallel()
	var late atomic.Int64
	e := newSocketEngine(t, func(e *socketEngine, nc net.Conn, _ int64) {
		var idleSince time.Time
		e.requests(nc, func(r *http.Request) bool {
			if !idleSince.IsZero() && time.Since(idleSince) > 600*time.Millisecond {
				late.Add(1)
			}
			if r.URL.Path == "/close" {
				sendParts(nc, 8, 100*time.Millisecond)
				return false
			}
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nWeldfall-Request-Id: "+r.Header.Get("Weldfall-Request-Id")+"\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok")
			time.Sleep(20 * time.Millisecond)
			idleSince = time.Now()
			return true
		})
	})
	pool := newWitnessPool()
	// Two connections are used and become idle.
	var wg sync.WaitGroup
	for _, id := range []string{"a", "b"} {
		wg.Go(func() {
			if _, err := fetch(pool, e.addr(), witnessRequestWithID("/length", id)); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if _, err := fetch(pool, e.addr(), witnessRequestWithID("/close", "w")); err != nil {
		t.Error(err)
	}
	time.Sleep(30 * time.Millisecond)
	if _, err := fetch(pool, e.addr(), witnessRequestWithID("/length", "x")); err != nil {
		t.Error(err)
	}
	// Of the time of 1 s that the engine announces, 400 ms are used.
	if got := late.Load(); got > 0 {
		t.Errorf("got %d requests on connections that were idle for more than 600 ms, want 0", got)
	}
}

func witnessRequestWithID(uri, id string) *upstream.Request {
	r := witnessRequest(uri, "")
	r.ID = id
	r.Header.Set("Weldfall-Request-Id", id)
	return r
}

// A witness takes no connection away from the requests that the limit allows.
func TestWitnessLeavesTheConnectionLimitToRequests(t *testing.T) {
	t.Parallel()
	e := newSocketEngine(t, func(e *socketEngine, nc net.Conn, _ int64) {
		e.requests(nc, func(*http.Request) bool { sendParts(nc, 10, 30*time.Millisecond); return false })
	})
	pool := newWitnessPool()
	const limit = 4
	pool.SetMaxConns(e.addr(), limit)
	var wg sync.WaitGroup
	for n := range limit {
		wg.Go(func() {
			if _, err := fetch(pool, e.addr(), witnessRequest("/close", "")); err != nil {
				t.Errorf("request %d of %d at a limit of %d connections: got %v, want a response", n+1, limit, limit, err)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
}

// An engine that stands at the address of an earlier one has a witness of its own, though a response of
// the earlier one is still being read.
func TestWitnessIsThatOfTheEngineAtTheAddress(t *testing.T) {
	t.Parallel()
	var current atomic.Value
	current.Store("i-1")
	var mu sync.Mutex
	var first []net.Conn
	e := newSocketEngine(t, func(e *socketEngine, nc net.Conn, _ int64) {
		of := current.Load()
		if of == "i-1" {
			mu.Lock()
			first = append(first, nc)
			mu.Unlock()
		}
		br := bufio.NewReader(nc)
		for {
			r, err := http.ReadRequest(br)
			switch {
			case err != nil:
				return
			case r.Header.Get("Weldfall-Request-Id") != "":
				sendParts(nc, 4, 30*time.Millisecond)
				return
			case r.Header.Get("Weldfall-Expect-Instance") != of:
				_, _ = io.WriteString(nc, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
			default:
				_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nWeldfall-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", of)
			}
		}
	})
	request := func(engine string, listed framing.Sender) *upstream.Request {
		r := witnessRequest("/close", listed)
		r.Engine = engine
		r.Health.Header = http.Header{"Weldfall-Expect-Instance": {engine}}
		return r
	}
	pool := newWitnessPool()
	// This response is not read until the end.
	a, err := pool.Do(t.Context(), e.addr(), request("i-1", ""), 3000)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	time.Sleep(50 * time.Millisecond)
	current.Store("i-2")
	mu.Lock()
	for _, nc := range first {
		_ = nc.Close()
	}
	mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	broken := 0
	const requests = 5
	for range requests {
		if _, err := fetch(pool, e.addr(), request("i-2", framing.SenderLeaves)); err != nil {
			broken++
		}
	}
	if broken > 0 {
		t.Errorf("got %d of %d whole responses of the engine that has the address told as broken off, want 0", broken, requests)
	}
}

// The witness ends with the responses that it is for, however these end.
func TestWitnessEndsWithItsResponses(t *testing.T) {
	e := newSocketEngine(t, func(e *socketEngine, nc net.Conn, _ int64) {
		e.requests(nc, func(r *http.Request) bool {
			switch r.URL.Path {
			case "/204":
				_, _ = io.WriteString(nc, "HTTP/1.1 204 No Content\r\nWeldfall-Request-Id: w\r\n\r\n")
				return true
			case "/304":
				_, _ = io.WriteString(nc, "HTTP/1.1 304 Not Modified\r\nWeldfall-Request-Id: w\r\n\r\n")
				return true
			case "/head":
				_, _ = io.WriteString(nc, closeHead)
				return true
			case "/empty":
				_, _ = io.WriteString(nc, closeHead)
				return false
			}
			sendParts(nc, 8, 20*time.Millisecond)
			return false
		})
	})
	pool := newWitnessPool()
	var wg sync.WaitGroup
	for range 10 {
		for _, path := range []string{"/204", "/304", "/head", "/empty", "/cancelled", "/closed", "/panics"} {
			wg.Go(func() {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				defer func() { _ = recover() }()
				r := witnessRequest(path, "")
				if path == "/head" {
					r.Method = http.MethodHead
				}
				a, err := pool.Do(ctx, e.addr(), r, 3000)
				if err != nil {
					t.Errorf("%s: %v", path, err)
					return
				}
				defer a.Close()
				switch path {
				case "/cancelled":
					time.AfterFunc(50*time.Millisecond, cancel)
				case "/closed":
					return
				case "/panics":
					panic(path)
				}
				if _, err := io.ReadAll(a); (err == nil) == (path == "/cancelled") {
					t.Errorf("%s: got %v", path, err)
				}
			})
		}
	}
	wg.Wait()
	time.Sleep(100 * time.Millisecond)
	stacks := make([]byte, 1<<20)
	if n := strings.Count(string(stacks[:runtime.Stack(stacks, true)]), "keepWitness("); n > 0 {
		t.Errorf("got %d goroutines that keep a witness, want 0", n)
	}
	pool.CloseIdle()
	time.Sleep(100 * time.Millisecond)
	if got := e.open.Load(); got != 0 {
		t.Errorf("got %d open connections, want 0", got)
	}
}

// Responses of many engines at once, for the race detector.
func TestWitnessesOfManyEnginesAtOnce(t *testing.T) {
	t.Parallel()
	pool := newWitnessPool()
	var wg sync.WaitGroup
	for range 6 {
		e := newSocketEngine(t, func(e *socketEngine, nc net.Conn, n int64) {
			e.requests(nc, func(r *http.Request) bool {
				if r.URL.Path != "/close" {
					_, _ = io.WriteString(nc, lengthResponse)
					return true
				}
				sendParts(nc, 4, 5*time.Millisecond)
				return false
			})
		})
		for n := range 10 {
			wg.Go(func() {
				for range 10 {
					if _, err := fetch(pool, e.addr(), witnessRequest([]string{"/close", "/length"}[n%2], "")); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
						t.Error(err)
					}
				}
			})
		}
	}
	wg.Wait()
}

// A rejection of an engine that is full is known without a look at its process.
func TestRejectionToTheCloseIsReadAtOnce(t *testing.T) {
	t.Parallel()
	e := newSocketEngine(t, func(e *socketEngine, nc net.Conn, _ int64) {
		e.requests(nc, func(*http.Request) bool {
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 503 Full\r\nWeldfall-Request-Id: w\r\n%s: 1\r\n\r\nfull", dialect.NotRun)
			return false
		})
	})
	pool := newWitnessPool()
	start := time.Now()
	const rejections = 10
	for range rejections {
		a, err := pool.Do(t.Context(), e.addr(), witnessRequest("/close", ""), 1000)
		if err != nil {
			t.Fatal(err)
		}
		if !a.NotRun() {
			t.Error("got a response that was run, want a rejection")
		}
		_, _ = io.Copy(io.Discard, a)
		a.Close()
	}
	if got := time.Since(start) / rejections; got > 25*time.Millisecond {
		t.Errorf("got %v for a rejection, want less than 25 ms", got)
	}
}
