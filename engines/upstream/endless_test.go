package upstream_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/upstream"
)

// endlessEngine accepts connections and writes first and then rest without end. The channel
// receives the number of bytes written once a connection has failed.
func endlessEngine(t *testing.T, first, rest string) (addr string, written <-chan int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	out := make(chan int, 16)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				_, _ = nc.Read(make([]byte, 4096))
				n, err := io.WriteString(nc, first)
				for err == nil {
					var m int
					m, err = io.WriteString(nc, rest)
					n += m
				}
				out <- n
			}()
		}
	}()
	return ln.Addr().String(), out
}

// A response head without end must end the exchange and its connection after a bounded number
// of bytes, however long the engine may take to respond.
func TestEndlessHeadEndsTheExchange(t *testing.T) {
	x := strings.Repeat("x", 1024)
	for name, tc := range map[string]struct{ first, rest string }{
		"a status line":           {"HTTP/1.1 200 ", x},
		"no line":                 {"", x},
		"a header line":           {"HTTP/1.1 200 OK\r\nX-Long: ", x},
		"header lines":            {"HTTP/1.1 200 OK\r\n", "X-More: " + x + "\r\n"},
		"short header lines":      {"HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 100)},
		"informational responses": {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 40)},
		"empty lines":             {"", strings.Repeat("\r\n", 500)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, written := endlessEngine(t, tc.first, tc.rest)
			pool := upstream.NewPool(clock.System(), upstream.HeaderNames{RequestID: dialect.RequestID, NotRun: dialect.NotRun}, nil, slog.New(slog.DiscardHandler))
			ctx, cancel := context.WithTimeout(t.Context(), late.Duration())
			defer cancel()
			r := (&rig{}).request("endless")
			r.OnSilence = func(func() bool) clock.Millis { return late }
			_, err := pool.Do(ctx, addr, r, late)
			if !errors.Is(err, upstream.ErrBadResponse) || ctx.Err() != nil || upstream.ClosedByPeer(err) {
				t.Errorf("got %v, want that it is no response", err)
			}
			select {
			case <-written:
			case <-time.After(late.Duration()):
				t.Error("got an open connection, want it closed")
			}
		})
	}
}

// What follows a complete response without end must neither reach the next request nor keep
// its connection open.
func TestEndlessBytesAfterAResponseCloseItsConnection(t *testing.T) {
	t.Parallel()
	addr, written := endlessEngine(t, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"+dialect.RequestID+": a\r\n\r\nx", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
	pool := upstream.NewPool(clock.System(), upstream.HeaderNames{RequestID: dialect.RequestID, NotRun: dialect.NotRun}, nil, slog.New(slog.DiscardHandler))
	for range 3 {
		a, err := pool.Do(t.Context(), addr, (&rig{}).request("a"), late)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(a); string(body) != "x" || err != nil {
			t.Errorf("got body %q, %v, want x", body, err)
		}
		a.Close()
	}
	pool.CloseIdle()
	for range 3 {
		select {
		case <-written:
		case <-time.After(late.Duration()):
			t.Fatal("got an open connection, want it closed")
		}
	}
}
