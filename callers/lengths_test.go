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

// Guards against request smuggling: data that follows a request with both Content-Length and
// Transfer-Encoding may belong to that request in the view of an intermediary.
func TestRequestWithBothLengthsClosesConnection(t *testing.T) {
	t.Parallel()
	both := fmt.Sprintf(chunked, "both", "cONTENT-lENGTH: 3\r\n")
	lengthFirst := "POST /both HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	for name, text := range map[string]string{
		"alone": both, "with the next request": both + request, "length first": lengthFirst,
		"after other requests": request + length + both, "after a chunked request": fmt.Sprintf(chunked, "one", "") + both + length,
	} {
		for _, piece := range []int{1, 7, 4096} {
			t.Run(fmt.Sprintf("%s, %d bytes per write", name, piece), func(t *testing.T) {
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
				// Closing the connection while data is being sent causes a reset.
				if _, err := io.ReadAll(r); errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("got %v, want the connection closed", err)
				}
				// The request before is chunked, so a detected length may be attributed to it.
				if !after.Load() && name != "after a chunked request" {
					t.Error("got no request with both lengths, want one")
				}
			})
		}
	}
}

// Guards against request smuggling by a request of HTTP/1.0: net/http goes by its length, and an
// intermediary may go by its Transfer-Encoding.
func TestHTTP10RequestWithBothLengthsClosesConnection(t *testing.T) {
	t.Parallel()
	quoted := fmt.Sprintf("POST / HTTP/1.0\r\n%sContent-Length: 23\r\n\r\n\nTransfer-Encoding: none", kept)
	for name, before := range map[string]string{"alone": "", "after a body like a header": quoted, "after a chunked request": fmt.Sprintf(chunked, "one", "")} {
		for _, fields := range []string{"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "transfer-encoding: x\r\nContent-Length: 5\r\n"} {
			for _, piece := range []int{1, 7, 4096} {
				t.Run(fmt.Sprintf("%s, %q, %d bytes per write", name, fields, piece), func(t *testing.T) {
					t.Parallel()
					var after atomic.Bool
					s := serve(t, 60_000, 60_000, func(_ http.ResponseWriter, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body)
						if r.URL.Path == "/after" {
							after.Store(true)
						}
					})
					nc, r := s.dial()
					if err := nc.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
						t.Fatal(err)
					}
					go writePieces(nc, before+"POST /both HTTP/1.0\r\n"+kept+fields+"\r\n0\r\n\r\nGET /after HTTP/1.0\r\n"+kept+"\r\n", piece)
					if _, err := io.ReadAll(r); errors.Is(err, os.ErrDeadlineExceeded) {
						t.Errorf("got %v, want the connection closed", err)
					}
					if after.Load() {
						t.Error("got a request served after one with both lengths")
					}
				})
			}
		}
	}
}

// Guards against a connection of HTTP/1.0 that is closed for what a body says.
func TestHTTP10RequestWithOneLengthKeepsConnection(t *testing.T) {
	t.Parallel()
	s := serve(t, 60_000, 60_000, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	nc, r := s.dial()
	for i := range 3 {
		send(t, nc, fmt.Sprintf("POST / HTTP/1.0\r\n%sContent-Length: 23\r\n\r\n\nTransfer-Encoding: none", kept))
		if !keepsConn(r) {
			t.Fatalf("request %d: got the connection closed, want it kept open", i)
		}
	}
}

// Checks that a request with only one kind of length keeps its connection open.
func TestRequestWithOneLengthKeepsConnection(t *testing.T) {
	t.Parallel()
	s := serve(t, 60_000, 60_000, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	nc, r := s.dial()
	for i, text := range []string{fmt.Sprintf(chunked, "one", ""), fmt.Sprintf(chunked, "two", ""), request, length, length, request} {
		send(t, nc, text)
		if !keepsConn(r) {
			t.Fatalf("request %d: got the connection closed, want it kept open", i)
		}
	}
}

// keepsConn reads a response and reports whether the connection stays open after it.
func keepsConn(r *bufio.Reader) bool {
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return !res.Close
}

// Guards against request smuggling by a folded header line, which is joined to the line before while
// an intermediary may take it for a length.
func TestFoldedHeaderLineIsRejected(t *testing.T) {
	t.Parallel()
	s := serve(t, 60_000, 60_000, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path != "/sized" {
			t.Errorf("got %s served", r.URL.Path)
		}
	})
	for _, blank := range []string{" ", "\t"} {
		nc, r := s.dial()
		send(t, nc, length+"POST /folded HTTP/1.1\r\nHost: x\r\nX: y\r\n"+blank+"Content-Length: 3\r\n\r\nPOST /inside HTTP/1.1\r\nHost: x\r\n\r\n")
		if err := nc.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		for _, want := range []int{http.StatusOK, http.StatusBadRequest} {
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != want {
				t.Errorf("blank %q: got status %d, %v, want %d", blank, res.StatusCode, err, want)
			}
		}
		if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("blank %q: got %v, want the end of the connection", blank, err)
		}
	}
}
