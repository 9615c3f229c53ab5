package callers_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
)

// Guards against a chunked request of HTTP/1.0 that reaches the handler as a complete request
// without a body, because net/http drops the chunks.
func TestChunkedHTTP10RequestIsRejected(t *testing.T) {
	const quoted = "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
	for name, tc := range map[string]struct {
		text   string
		status int
		// body is the body that the handler must receive if it is called.
		body string
	}{
		"chunks":                                {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", http.StatusBadRequest, ""},
		"part of a chunk":                       {"POST / HTTP/1.0\r\nHost: x\r\ntransfer-encoding:chunked\r\n\r\n3\r\na", http.StatusBadRequest, ""},
		"no body":                               {"GET / HTTP/1.0\r\n\r\n", http.StatusOK, ""},
		"length":                                {"POST / HTTP/1.0\r\nContent-Length: 3\r\n\r\nabc", http.StatusOK, "abc"},
		"length, body that looks like a header": {fmt.Sprintf("POST / HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s", len(quoted), quoted), http.StatusOK, quoted},
		"chunks in HTTP/1.1":                    {fmt.Sprintf(chunked, "", ""), http.StatusOK, "abc"},
	} {
		for _, piece := range []int{1, 7, 4096} {
			t.Run(fmt.Sprintf("%s, %d bytes per write", name, piece), func(t *testing.T) {
				t.Parallel()
				s := serve(t, 60_000, 60_000, func(w http.ResponseWriter, r *http.Request) {
					body, err := io.ReadAll(r.Body)
					if tc.status != http.StatusOK || string(body) != tc.body || err != nil {
						t.Errorf("got a request with body %q, %v, want %q", body, err, tc.body)
					}
				})
				nc, r := s.dial()
				for i := 0; i < len(tc.text); i += piece {
					// The server may have closed the connection before the rest.
					_, _ = io.WriteString(nc, tc.text[i:min(len(tc.text), i+piece)])
				}
				res, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatal(err)
				}
				if res.StatusCode != tc.status {
					t.Errorf("got status %d, want %d", res.StatusCode, tc.status)
				}
			})
		}
	}
}
