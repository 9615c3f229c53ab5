package callers_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/common/framing"
)

// Checks that the caller can tell from the end of a response whether it was aborted.
func TestCallerDetectsAbortedResponse(t *testing.T) {
	unflushed := func(w http.ResponseWriter) { _, _ = io.WriteString(w, "part") }
	flushed := func(w http.ResponseWriter) {
		unflushed(w)
		_ = http.NewResponseController(w).Flush()
	}
	plain := func(http.ResponseWriter, *http.Request) {}
	nothing := func(http.ResponseWriter) {}
	length := func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "9") }
	cases := []struct {
		name, proto string
		frame       func(http.ResponseWriter, *http.Request)
		write       func(http.ResponseWriter)
		aborted     bool
		framed      framing.Framing
		// want is the error with which reading the body ends.
		want error
	}{
		{"until close", "1.1", callers.SetUntilClose, flushed, false, framing.UntilClose, nil},
		{"until close, unflushed", "1.1", callers.SetUntilClose, unflushed, false, framing.UntilClose, nil},
		{"until close, empty", "1.1", callers.SetUntilClose, nothing, false, framing.UntilClose, nil},
		{"until close", "1.0", callers.SetUntilClose, flushed, false, framing.UntilClose, nil},
		{"until close, unflushed", "1.0", callers.SetUntilClose, unflushed, false, framing.UntilClose, nil},
		{"until close, aborted", "1.1", callers.SetUntilClose, flushed, true, framing.UntilClose, syscall.ECONNRESET},
		{"until close, aborted", "1.0", callers.SetUntilClose, flushed, true, framing.UntilClose, syscall.ECONNRESET},
		{"chunked", "1.1", plain, flushed, false, framing.Chunked, nil},
		{"chunked, aborted", "1.1", plain, flushed, true, framing.Chunked, io.ErrUnexpectedEOF},
		{"no chunks in 1.0", "1.0", plain, flushed, false, framing.UntilClose, nil},
		{"no chunks in 1.0, aborted", "1.0", plain, flushed, true, framing.UntilClose, syscall.ECONNRESET},
		{"length, aborted", "1.1", length, flushed, true, framing.Length, io.ErrUnexpectedEOF},
		{"length, aborted", "1.0", length, flushed, true, framing.Length, io.ErrUnexpectedEOF},
	}
	for _, tc := range cases {
		t.Run(tc.name+" "+tc.proto, func(t *testing.T) {
			proceed := make(chan struct{})
			s := serve(t, 60_000, 60_000, func(w http.ResponseWriter, r *http.Request) {
				tc.frame(w, r)
				tc.write(w)
				if tc.aborted {
					// A reset can discard data that the caller has not yet read.
					<-proceed
					callers.Abort(w, r)
				}
			})
			nc, r := s.dial()
			send(t, nc, strings.Replace(request, "1.1", tc.proto, 1))
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			if got := framing.OfResponse(res); got != tc.framed {
				t.Errorf("got framing %s, want %s", got, tc.framed)
			}
			close(proceed)
			_, err = io.ReadAll(res.Body)
			if !errors.Is(err, tc.want) || tc.want == nil && err != nil {
				t.Errorf("got %v, want %v", err, tc.want)
			}
		})
	}
}
