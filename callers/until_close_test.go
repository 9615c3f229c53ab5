package callers_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/weldfall/weldfall/callers"
)

// Guards against a complete response that ends with its connection and yet ends with a reset, as
// if it were aborted. This happens if the caller has sent more than the server reads ahead.
func TestUntilCloseResponseEndsWithFINDespiteUnreadData(t *testing.T) {
	for name, proto := range map[string]string{"HTTP/1.1": "1.1", "HTTP/1.0": "1.0"} {
		t.Run(name, func(t *testing.T) {
			proceed := make(chan struct{})
			s := serve(t, 60_000, 60_000, func(w http.ResponseWriter, r *http.Request) {
				callers.SetUntilClose(w, r)
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				<-proceed
				_, _ = io.WriteString(w, "rest")
			})
			nc, r := s.dial()
			send(t, nc, strings.Replace(request, "1.1", proto, 1))
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				_, _ = io.WriteString(nc, "POST /next HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n"+strings.Repeat("x", 300_000))
			}()
			time.Sleep(300 * time.Millisecond)
			close(proceed)
			body, err := io.ReadAll(res.Body)
			if err != nil || string(body) != "partrest" {
				t.Errorf("got %q and %v, want the complete response and EOF", body, err)
			}
		})
	}
}

// Guards against a valid request of HTTP/1.0 that is rejected because the body of an earlier
// request on the connection has a line that begins with "Transfer-Encoding".
func TestARequestOfHTTP10IsNotRefusedForABodyBeforeIt(t *testing.T) {
	s := serve(t, 60_000, 60_000, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "ok")
	})
	nc, r := s.dial()
	body := "how does\nTransfer-Encoding work?"
	send(t, nc, "POST / HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 32\r\n\r\n"+body)
	for i := range 2 {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		if res.StatusCode != http.StatusOK {
			t.Errorf("request %d: got status %d, want 200", i, res.StatusCode)
		}
		if i == 0 && res.Close {
			t.Skip("connection not kept open")
		}
		if i == 0 {
			send(t, nc, "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
		}
	}
}

// Guards against a response that ends with its connection and looks complete although Close
// interrupted it.
func TestCloseAbortsUntilCloseResponse(t *testing.T) {
	for name, proto := range map[string]string{"HTTP/1.1": "1.1", "HTTP/1.0": "1.0"} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			s := serve(t, 60_000, 60_000, func(w http.ResponseWriter, r *http.Request) {
				callers.SetUntilClose(w, r)
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				<-release
			})
			nc, r := s.dial()
			send(t, nc, strings.Replace(request, "1.1", proto, 1))
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			s.srv.Close()
			body, err := io.ReadAll(res.Body)
			if err == nil {
				t.Errorf("got %q and EOF, want an error", body)
			}
		})
	}
}
