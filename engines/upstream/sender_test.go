package upstream_test

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/engines/upstream"
)

// What shows that the process which closed a connection stands or has ended.
func TestCheckSender(t *testing.T) {
	respond := func(response string) func(net.Conn) {
		return func(nc net.Conn) {
			defer func() { _ = nc.Close() }()
			br := bufio.NewReader(nc)
			for {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				if _, err := io.WriteString(nc, response); err != nil {
					return
				}
			}
		}
	}
	reset := func(nc net.Conn) {
		_ = nc.(*net.TCPConn).SetLinger(0)
		_ = nc.Close()
	}
	for name, tc := range map[string]struct {
		// serve handles a connection. If it is nil, nobody listens; unless closeAfter is zero, the
		// listener closes after so long.
		serve      func(net.Conn)
		closeAfter time.Duration
		// noHealth is set for a service without health checks.
		noHealth bool
		want     framing.Sender
	}{
		"healthy":                          {serve: respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), want: framing.SenderStands},
		"unhealthy":                        {serve: respond("HTTP/1.1 503 Draining\r\nContent-Length: 0\r\n\r\n"), want: framing.SenderStands},
		"no HTTP":                          {serve: respond("hello\r\n\r\n"), want: framing.SenderStands},
		"another engine":                   {serve: respond("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"), want: framing.SenderEnded},
		"busy":                             {serve: func(nc net.Conn) { _, _ = io.Copy(io.Discard, nc) }, want: framing.SenderUnknown},
		"too many connections":             {serve: reset, want: framing.SenderStands},
		"refuses":                          {want: framing.SenderEnded},
		"refuses, without health":          {noHealth: true, want: framing.SenderEnded},
		"accepts, without health":          {serve: func(nc net.Conn) { _, _ = io.Copy(io.Discard, nc) }, noHealth: true, want: framing.SenderStands},
		"ends within a moment":             {serve: func(nc net.Conn) { time.Sleep(30 * time.Millisecond); reset(nc) }, closeAfter: 20 * time.Millisecond, want: framing.SenderEnded},
		"ends at once, without health":     {serve: func(nc net.Conn) { time.Sleep(5 * time.Millisecond); reset(nc) }, closeAfter: 3 * time.Millisecond, noHealth: true, want: framing.SenderEnded},
		"ends while it reads the question": {serve: func(nc net.Conn) { _, _ = nc.Read(make([]byte, 10)); time.Sleep(10 * time.Millisecond); reset(nc) }, closeAfter: 5 * time.Millisecond, want: framing.SenderEnded},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			if tc.serve == nil {
				_ = ln.Close()
			} else {
				go func() {
					for {
						nc, err := ln.Accept()
						if err != nil {
							return
						}
						go tc.serve(nc)
					}
				}()
			}
			pool := upstream.NewPool(clock.System(), upstream.HeaderNames{RequestID: dialect.RequestID, NotRun: dialect.NotRun}, nil, slog.New(slog.DiscardHandler))
			check := &upstream.Request{Method: http.MethodGet, URI: "/healthz", Host: "h", Header: http.Header{}}
			if tc.noHealth {
				check = nil
			}
			if tc.closeAfter > 0 {
				time.AfterFunc(tc.closeAfter, func() { _ = ln.Close() })
			}
			start := time.Now()
			if got := pool.CheckSender(t.Context(), ln.Addr().String(), check); got != tc.want {
				t.Errorf("got %s, want %s", got, tc.want)
			}
			if took := time.Since(start); took > 300*time.Millisecond {
				t.Errorf("took %v, want about 100 ms at most", took)
			}
		})
	}
}

// The end of a response of an engine that stands is delayed little.
func TestCheckSenderIsQuickWhereTheEngineStands(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = srv.Serve(ln) }()
	defer func() { _ = srv.Close() }()
	pool := upstream.NewPool(clock.System(), upstream.HeaderNames{RequestID: dialect.RequestID, NotRun: dialect.NotRun}, nil, slog.New(slog.DiscardHandler))
	var took []time.Duration
	for range 500 {
		start := time.Now()
		if got := pool.CheckSender(t.Context(), ln.Addr().String(), &upstream.Request{Method: http.MethodGet, URI: "/healthz", Host: "h", Header: http.Header{}}); got != framing.SenderStands {
			t.Fatalf("got %s, want it to stand", got)
		}
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	t.Logf("median %v, 99th percentile %v, longest %v", took[250], took[495], took[499])
	if took[495] > 20*time.Millisecond {
		t.Errorf("got a 99th percentile of %v, want at most 20 ms", took[495])
	}
}
