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

// startLarge runs a daemon before an engine whose answer has so many bytes.
func startLarge(t *testing.T, s *sink, status, length int) wire.Result {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(length))
		w.WriteHeader(status)
		piece := []byte(strings.Repeat(" ", 1<<20))
		var err error
		for n := 0; n < length && err == nil; n += len(piece) {
			_, err = w.Write(piece[:min(len(piece), length-n)])
		}
	}))
	t.Cleanup(srv.Close)
	r := run(1, 1)
	r.Stream = false
	return call[wire.Result](t, startWith(t, s, srv.Listener.Addr().String()), wire.MethodRun, r)
}

// An answer was cut at the limit, and its attempt ended with a result that said nothing.
func TestAnAnswerThatIsTooLargeIsCalledThat(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusBadRequest} {
		s := &sink{}
		got := startLarge(t, s, status, daemon.MaxPlain+1)
		if want := strconv.Itoa(daemon.MaxPlain); got.Verdict != verdict.MayHaveRun || got.Reason != verdict.EngineFailed || !strings.Contains(got.Message, want) {
			t.Errorf("status %d: got %+v, want a failure that names the limit of %s bytes", status, got, want)
		}
		if s.frames != 0 {
			t.Errorf("status %d: got %d frames, want none", status, s.frames)
		}
	}
}

// An answer that is longer than a message of a link ended with a result that said nothing.
func TestALongAnswerIsPassedOnWhole(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusBadRequest} {
		s := &sink{}
		if got := startLarge(t, s, status, link.MaxMessage+1); got.Verdict != verdict.Ran || got.Frames == 0 || s.frames != got.Frames || s.bytes != link.MaxMessage+1 {
			t.Errorf("status %d: got %+v, %d frames and %d bytes, want all %d bytes", status, got, s.frames, s.bytes, link.MaxMessage+1)
		}
	}
}
