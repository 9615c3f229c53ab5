package upstream_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/upstream"
)

// Guards against engines that work on for nobody: an exchange that is given up must end in a way
// that an engine can't take for the end of the request's data, and one that is complete must not
// be reset, which could take the engine's last bytes away.
func TestConnectionOfAGivenUpExchangeIsReset(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n%s: left\r\n"
	// The buffers of the connection hold less.
	large := bytes.Repeat([]byte("x"), 32<<20)
	cases := map[string]struct {
		// response is what the engine sends, body the body of the request. readsBody is false if
		// the engine responds before it has read the body.
		response  string
		body      []byte
		readsBody bool
		// use handles the response.
		use  func(*upstream.Response)
		want upstream.ConnEnd
	}{
		"no response":            {readsBody: true, want: upstream.ConnReset},
		"part of a head":         {response: head[:20], readsBody: true, want: upstream.ConnReset},
		"head alone":             {response: head + "Content-Length: 4\r\n\r\n", readsBody: true, want: upstream.ConnReset},
		"part of a body":         {response: head + "Content-Length: 4\r\n\r\nab", readsBody: true, use: readSome, want: upstream.ConnReset},
		"no bytes of the body":   {response: head + "Content-Length: 4\r\n\r\nabcd", readsBody: true, want: upstream.ConnReset},
		"body that is not taken": {body: large, want: upstream.ConnReset},
		"whole, body not taken":  {response: head + "Content-Length: 4\r\n\r\nabcd", body: large, use: readAll, want: upstream.ConnReset},
		"another ID":             {response: "HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 0\r\n\r\n", readsBody: true, want: upstream.ConnReset},
		"another ID, then none":  {response: "HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", readsBody: true, use: readAll, want: upstream.ConnReset},
		"whole":                  {response: head + "Content-Length: 4\r\n\r\nabcd", readsBody: true, use: readAll, want: upstream.ConnKept},
		"whole, then close":      {response: head + "Connection: close\r\nContent-Length: 4\r\n\r\nabcd", readsBody: true, use: readAll, want: upstream.ConnClosed},
		"whole, no keep-alive":   {response: head + "Keep-Alive: timeout=0\r\nContent-Length: 4\r\n\r\nabcd", readsBody: true, use: readAll, want: upstream.ConnClosed},
	}
	// An engine looks at its connection by reading or by writing.
	looks := map[string]func(nc net.Conn, br *bufio.Reader) error{
		"by reading": func(_ net.Conn, br *bufio.Reader) error {
			_, err := io.Copy(io.Discard, br)
			return err
		},
		"by writing": func(nc net.Conn, _ *bufio.Reader) error {
			_, err := nc.Write([]byte("more"))
			return err
		},
	}
	for name, tc := range cases {
		for how, look := range looks {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = ln.Close() }()
				end, left := make(chan error, 1), make(chan struct{})
				go func() {
					nc, err := ln.Accept()
					if err != nil {
						return
					}
					defer func() { _ = nc.Close() }()
					br := bufio.NewReader(nc)
					req, err := http.ReadRequest(br)
					if err != nil {
						end <- err
						return
					}
					if tc.readsBody {
						_, _ = io.Copy(io.Discard, req.Body)
					}
					if tc.response != "" {
						_, _ = fmt.Fprintf(nc, tc.response, dialect.RequestID)
					}
					<-left
					end <- look(nc, br)
				}()
				pool := upstream.NewPool(clock.System(), upstream.HeaderNames{RequestID: dialect.RequestID, NotRun: dialect.NotRun}, nil, slog.New(slog.DiscardHandler))
				var trace upstream.Trace
				req := &upstream.Request{ID: "left", Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}, Body: tc.body, HasBody: true, Trace: &trace}
				a, err := pool.Do(t.Context(), ln.Addr().String(), req, soon)
				if err == nil {
					if tc.use != nil {
						tc.use(a)
					}
					a.Close()
				}
				if trace.End != tc.want {
					t.Errorf("got the connection %q, want %q", trace.End, tc.want)
				}
				pool.CloseIdle()
				close(left)
				select {
				case err := <-end:
					if reset := errors.Is(err, syscall.ECONNRESET); reset != (tc.want == upstream.ConnReset) {
						t.Errorf("the engine got %v, want a reset if and only if the exchange was given up", err)
					}
				case <-time.After(late.Duration()):
					t.Error("the engine got no end of the connection")
				}
			})
		}
	}
}

func readAll(a *upstream.Response) { _, _ = io.Copy(io.Discard, a) }

func readSome(a *upstream.Response) { _, _ = io.ReadFull(a, make([]byte, 1)) }

// Guards against a request that runs twice: two engines are listed at one address, the first one
// of which rejects the request, and a second copy of that rejection arrives on the same connection
// where the response of the other is due. It has the request's ID.
func TestRequestUsesNoConnectionTwice(t *testing.T) {
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
			go func() {
				defer func() { _ = nc.Close() }()
				br := bufio.NewReader(nc)
				for exchange := 1; ; exchange++ {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					rejection := fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%s: again\r\nContent-Length: 0\r\n\r\n", dialect.RequestID)
					response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: again\r\nContent-Length: 0\r\n\r\n", dialect.RequestID)
					switch {
					case req.Header.Get("First") != "":
						response = rejection
					case exchange > 1:
						response = rejection + response
					}
					_, _ = io.WriteString(nc, response)
				}
			}()
		}
	}()
	pool := upstream.NewPool(clock.System(), upstream.HeaderNames{RequestID: dialect.RequestID, NotRun: dialect.NotRun}, nil, slog.New(slog.DiscardHandler))
	for _, tc := range []struct {
		header http.Header
		want   int
	}{
		{http.Header{"First": {"1"}}, http.StatusMisdirectedRequest},
		{http.Header{}, http.StatusOK},
	} {
		req := &upstream.Request{ID: "again", Method: http.MethodGet, URI: "/x", Host: "h", Header: tc.header}
		a, err := pool.Do(t.Context(), ln.Addr().String(), req, late)
		if err != nil {
			t.Fatal(err)
		}
		readAll(a)
		a.Close()
		if a.StatusCode != tc.want {
			t.Errorf("got status %d, want %d", a.StatusCode, tc.want)
		}
	}
}
