package daemon_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/daemon"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/verdict"
)

// runLarge runs a request on an engine whose response has length bytes.
func runLarge(t *testing.T, s *sink, status, length int) wire.Result {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(length))
		w.WriteHeader(status)
		chunk := []byte(strings.Repeat(" ", 1<<20))
		var err error
		for n := 0; n < length && err == nil; n += len(chunk) {
			_, err = w.Write(chunk[:min(len(chunk), length-n)])
		}
	}))
	t.Cleanup(srv.Close)
	r := run(1, 1)
	r.Stream = false
	return call[wire.Result](t, startWithEngineAt(t, s, srv.Listener.Addr().String()), wire.MethodRun, r)
}

// Guards against a response that is truncated at the size limit and an attempt that ends
// with an empty result.
func TestTooLargeResponse(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusBadRequest} {
		s := &sink{}
		got := runLarge(t, s, status, daemon.MaxPlainResponse+1)
		if want := strconv.Itoa(daemon.MaxPlainResponse); got.Verdict != verdict.MayHaveRun || got.Reason != verdict.EngineFailed || !strings.Contains(got.Message, want) {
			t.Errorf("status %d: got %+v, want a failure that names the limit of %s bytes", status, got, want)
		}
		if s.frames != 0 {
			t.Errorf("status %d: got %d frames, want none", status, s.frames)
		}
	}
}

// Guards against an empty result for a response that is longer than a link message.
func TestResponseLongerThanMessage(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusBadRequest} {
		s := &sink{}
		if got := runLarge(t, s, status, link.MaxMessage+1); got.Verdict != verdict.Ran || got.Frames == 0 || s.frames != got.Frames || s.bytes != link.MaxMessage+1 {
			t.Errorf("status %d: got %+v, %d frames and %d bytes, want all %d bytes", status, got, s.frames, s.bytes, link.MaxMessage+1)
		}
	}
}

// A response that is too long to be held is passed on as it arrives, with the usage at its end.
func TestLongChatResponseHasItsUsage(t *testing.T) {
	for _, size := range []int{1, 127 << 10, 128 << 10, 300 << 10} {
		for _, space := range []string{"", " "} {
			body := `{"choices":[{"message":{"content":"` + strings.Repeat("x", size) + `"}}],"usage":` + space + `{"prompt_tokens":7,"completion_tokens":9}}`
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPost {
					http.NotFound(w, r)
					return
				}
				_, _ = w.Write([]byte(body))
			}))
			s := &sink{}
			r := run(1, 1)
			r.Stream = false
			got := call[wire.Result](t, startWithEngineAt(t, s, srv.Listener.Addr().String()), wire.MethodRun, r)
			srv.Close()
			if got.Verdict != verdict.Ran || s.bytes != len(body) || got.Usage.Prompt != 7 || got.Usage.Completion != 9 {
				t.Errorf("%d bytes of content: got %+v and %d bytes, want all %d and the usage", size, got, s.bytes, len(body))
			}
		}
	}
}
