package callers_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
)

// The library drops the chunks of a request of HTTP/1.0, and a handler had it as a whole one
// without a body.
func TestARequestOfHTTP10WithChunksIsRefused(t *testing.T) {
	const quoted = "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
	for name, tc := range map[string]struct {
		text   string
		status int
		// body is what the handler gets, if it is called.
		body string
	}{
		"chunks":                 {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", http.StatusBadRequest, ""},
		"part of a chunk":        {"POST / HTTP/1.0\r\nHost: x\r\ntransfer-encoding:chunked\r\n\r\n3\r\na", http.StatusBadRequest, ""},
		"no body":                {"GET / HTTP/1.0\r\n\r\n", http.StatusOK, ""},
		"a length":               {"POST / HTTP/1.0\r\nContent-Length: 3\r\n\r\nabc", http.StatusOK, "abc"},
		"a length, body like it": {fmt.Sprintf("POST / HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s", len(quoted), quoted), http.StatusOK, quoted},
		"chunks in HTTP/1.1":     {fmt.Sprintf(chunked, "", ""), http.StatusOK, "abc"},
	} {
		for _, piece := range []int{1, 7, 4096} {
			t.Run(fmt.Sprintf("%s, %d bytes a time", name, piece), func(t *testing.T) {
				t.Parallel()
				s := serve(t, 60_000, 60_000, func(w http.ResponseWriter, r *http.Request) {
					body, err := io.ReadAll(r.Body)
					if tc.status != http.StatusOK || string(body) != tc.body || err != nil {
						t.Errorf("got a request with the body %q, %v, want %q", body, err, tc.body)
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
