package callers_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

const (
	chunked = "POST /%s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n%s\r\n3\r\nabc\r\n0\r\n\r\n"
	length  = "POST /sized HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
)

// Guards against smuggled requests: what follows a request with both lengths on its
// connection may be a part of it to whoever stands in front.
func TestARequestWithBothLengthsEndsItsConnection(t *testing.T) {
	t.Parallel()
	both := fmt.Sprintf(chunked, "both", "cONTENT-lENGTH: 3\r\n")
	first := "POST /both HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	for name, text := range map[string]string{
		"at once": both, "with the next request": both + request, "the length first": first,
		"after others": request + length + both, "after a chunked one": fmt.Sprintf(chunked, "one", "") + both + length,
	} {
		for _, piece := range []int{1, 7, 4096} {
			t.Run(fmt.Sprintf("%s, %d bytes a time", name, piece), func(t *testing.T) {
				t.Parallel()
				var after atomic.Bool
				s := serve(t, 60_000, 60_000, func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					if after.Load() {
						t.Errorf("got %s served after a request with both lengths", r.URL.Path)
					}
					if r.URL.Path == "/both" {
						after.Store(true)
						if got := w.Header().Get("Connection"); got != "close" {
							t.Errorf("got Connection %q, want close", got)
						}
					}
				})
				nc, r := s.dial()
				for i := 0; i < len(text); i += piece {
					// The server may have closed the connection before the rest.
					_, _ = io.WriteString(nc, text[i:min(len(text), i+piece)])
				}
				if err := nc.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
					t.Fatal(err)
				}
				// A close under what is still sent is a reset.
				if _, err := io.ReadAll(r); errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("got %v, want the end of the connection", err)
				}
				// A length that came with a chunked request may be its own.
				if !after.Load() && name != "after a chunked one" {
					t.Error("got no request with both lengths, want one")
				}
			})
		}
	}
}

// A request of either length keeps its connection.
func TestARequestWithOneLengthKeepsItsConnection(t *testing.T) {
	t.Parallel()
	s := serve(t, 60_000, 60_000, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	nc, r := s.dial()
	for i, text := range []string{fmt.Sprintf(chunked, "one", ""), fmt.Sprintf(chunked, "two", ""), request, length, length, request} {
		send(t, nc, text)
		if !answeredAndKept(r) {
			t.Fatalf("request %d: got the end of the connection, want it kept", i)
		}
	}
}

// answeredAndKept reads an answer and reports whether its connection is kept.
func answeredAndKept(r *bufio.Reader) bool {
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return !res.Close
}
