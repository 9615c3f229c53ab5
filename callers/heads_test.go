package callers_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const kept = "Connection: keep-alive\r\n"

// writePieces writes text in pieces of a size. The server may close the connection before the
// rest.
func writePieces(nc net.Conn, text string, size int) {
	for i := 0; i < len(text); i += size {
		_, _ = io.WriteString(nc, text[i:min(len(text), i+size)])
	}
}

// Guards against request smuggling: a request of HTTP/1.0 with Transfer-Encoding that is taken
// for one without a body because of what was sent before it.
func TestChunkedHTTP10RequestIsRejectedBehindOthers(t *testing.T) {
	t.Parallel()
	quoted := "a\r\n\r\nTransfer-Encoding: x\r\n\r\nGET / HTTP/1.0\r\n"
	post := func(body string) string {
		return fmt.Sprintf("POST / HTTP/1.0\r\n%sContent-Length: %d\r\n\r\n%s", kept, len(body), body)
	}
	get, options := "GET / HTTP/1.0\r\n"+kept+"\r\n", "OPTIONS * HTTP/1.0\r\n"+kept+"\r\n"
	long := strings.Repeat("x", 5000)
	before := map[string]string{
		"nothing": "", "GET": get, "body": post("abc"), "body like a header": post(quoted), "two bodies": post(quoted) + post("\n\n"),
		"empty line after a body": post("abc") + "\r\n", "empty body": post(""), "OPTIONS *": options, "OPTIONS * twice": options + options,
		"OPTIONS * behind a body": post(quoted) + options, "chunked HTTP/1.1": fmt.Sprintf(chunked, "one", ""), "long body": post(long + quoted + long),
		"long header": "GET /" + long[:2500] + " HTTP/1.0\r\nX: " + long[:2500] + "\r\n" + kept + "\r\n", "bare line feeds": "GET / HTTP/1.0\nConnection: keep-alive\n\n",
		"folded line": "GET / HTTP/1.0\r\nX: a\r\n \r\n b\r\n" + kept + "\r\n", "HTTP/1.1": request,
	}
	for name, field := range map[string]string{
		"plain": "Transfer-Encoding: chunked\r\n", "odd case": "tRANSFER-eNCODING:identity\r\n", "bare line feed": "Transfer-Encoding: chunked\n",
		"repeated": "Transfer-Encoding: x\r\nTransfer-Encoding: chunked\r\n", "behind a long field": "X: " + long + "\r\nTransfer-Encoding: chunked\r\n",
	} {
		for first, text := range before {
			for _, size := range []int{1, 7, 1 << 20} {
				t.Run(fmt.Sprintf("%s behind %s, %d bytes per write", name, first, size), func(t *testing.T) {
					t.Parallel()
					var served atomic.Bool
					s := serve(t, 60_000, 60_000, func(_ http.ResponseWriter, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body)
						if strings.HasPrefix(r.URL.Path, "/te") {
							served.Store(true)
						}
					})
					nc, r := s.dial()
					if err := nc.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
						t.Fatal(err)
					}
					go writePieces(nc, text+"POST /te HTTP/1.0\r\n"+kept+field+"\r\n0\r\n\r\n"+get, size)
					status := 0
					for {
						res, err := http.ReadResponse(r, nil)
						if err != nil {
							break
						}
						status = res.StatusCode
						_, _ = io.Copy(io.Discard, res.Body)
					}
					if served.Load() || status != http.StatusBadRequest {
						t.Errorf("got the request served: %v, last status %d, want it rejected with 400 and nothing after it", served.Load(), status)
					}
				})
			}
		}
	}
}

// Guards against valid requests of HTTP/1.0 that are rejected for what bodies before them say,
// however they are split, and against chunked ones that are not.
func TestDrawnHTTP10RequestsAreToldFromBodies(t *testing.T) {
	t.Parallel()
	s := serve(t, 60_000, 60_000, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	})
	parts := []string{"a", "\n", "\r\n", "\r\n\r\n", "Transfer-Encoding: chunked\r\n", "GET / HTTP/1.0\r\n", "Content-Length: 7\r\n", strings.Repeat("y", 3000)}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var text strings.Builder
		var want []int
		for range 1 + rng.IntN(8) {
			body := ""
			for range rng.IntN(6) {
				body += parts[rng.IntN(len(parts))]
			}
			if rng.IntN(8) == 0 {
				fmt.Fprintf(&text, "POST /te HTTP/1.0\r\n%sTransfer-Encoding: chunked\r\n\r\n%s", kept, body)
				want = append(want, -1)
				break
			}
			fmt.Fprintf(&text, "POST / HTTP/1.0\r\n%sContent-Length: %d\r\n\r\n%s", kept, len(body), body)
			text.WriteString(strings.Repeat("\r\n", rng.IntN(2)))
			want = append(want, len(body))
		}
		nc, r := s.dial()
		go writePieces(nc, text.String(), 1+rng.IntN(400))
		for i, n := range want {
			if got := bodyOf(r); got != n {
				t.Errorf("seed %d: got %d bytes in body %d of %d, want %d", seed, got, i, len(want), n)
				break
			}
		}
	}
}

// bodyOf reads the response to a request and returns the size of the body that the handler read,
// -1 if the request was rejected and -2 if there is no response.
func bodyOf(r *bufio.Reader) int {
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return -2
	}
	text, _ := io.ReadAll(res.Body)
	n := -1
	if res.StatusCode == http.StatusOK {
		_, _ = fmt.Sscan(string(text), &n)
	}
	return n
}
