package httpconn_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/head"
	"github.com/weldfall/weldfall/common/httpconn"
)

// serve accepts connections and calls respond for each request.
func serve(t *testing.T, respond func(nc net.Conn)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				br := bufio.NewReader(nc)
				for {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					respond(nc)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a head that is taken for valid, or quoted to callers, because it arrives in
// several parts.
func TestInvalidHeadInPartsIsAnError(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX secret: y\r\n\r\n", "secret secret\r\n\r\n", "HTTP/1.1 200 secret\x01\r\n\r\n"} {
		for cut := range len(text) {
			addr := serve(t, func(nc net.Conn) {
				_, _ = io.WriteString(nc, text[:cut])
				time.Sleep(time.Millisecond)
				_, _ = io.WriteString(nc, text[cut:])
			})
			var logs bytes.Buffer
			c := &http.Client{Transport: httpconn.New(&http.Transport{}, "test", slog.New(slog.NewTextHandler(&logs, nil)))}
			res, err := c.Get("http://" + addr)
			if err == nil {
				_ = res.Body.Close()
				t.Errorf("%q cut after %d bytes: got status %d, want an error", text, cut, res.StatusCode)
				continue
			}
			if invalid := new(head.Error); !errors.As(err, &invalid) || strings.Contains(err.Error(), "secret") {
				t.Errorf("%q cut after %d bytes: got %v, want why the head is invalid", text, cut, err)
			}
			if !strings.Contains(logs.String(), "msg=bad_response from=test") {
				t.Errorf("%q cut after %d bytes: got log %q, want the line bad_response", text, cut, logs.String())
			}
		}
	}
}

// Connections are used again, and each head is checked.
func TestEachHeadOfAConnectionIsChecked(t *testing.T) {
	n := 0
	addr := serve(t, func(nc net.Conn) {
		if n++; n < 4 {
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nHTTP")
			return
		}
		_, _ = io.WriteString(nc, "HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n")
	})
	dials := 0
	c := &http.Client{Transport: httpconn.New(&http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials++
		return new(net.Dialer).DialContext(ctx, network, addr)
	}}, "test", nil)}
	for i := range 4 {
		res, err := c.Get("http://" + addr)
		if got, want := err == nil, i < 3; got != want {
			t.Errorf("request %d: got %v, want a response: %t", i, err, want)
		}
		if err == nil {
			if body, err := io.ReadAll(res.Body); string(body) != "HTTP" || err != nil {
				t.Errorf("request %d: got %q, %v", i, body, err)
			}
			_ = res.Body.Close()
		}
	}
	if dials != 1 {
		t.Errorf("got %d connections, want 1", dials)
	}
}

// Data that arrives while no response is due closes the connection, so that it is no response to
// a later request.
func TestUnsolicitedDataIsNoResponse(t *testing.T) {
	addr := serve(t, func(nc net.Conn) {
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
	})
	c := &http.Client{Transport: httpconn.New(&http.Transport{}, "test", nil)}
	for i := range 20 {
		res, err := c.Get("http://" + addr)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if body, err := io.ReadAll(res.Body); string(body) != "own" || err != nil {
			t.Errorf("request %d: got %q, %v, want the response to it", i, body, err)
		}
		_ = res.Body.Close()
		time.Sleep(20 * time.Millisecond)
	}
}
