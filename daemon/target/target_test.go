package target_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/common/whole"
	"github.com/weldfall/weldfall/daemon/target"
	"github.com/weldfall/weldfall/internal/largetest"
)

// Guards against a missed crash of an engine. A request that crashes engines is detected by
// their exits. The daemon, on the same machine, saw the broken connection while the exiting
// process still listened and considered it alive. The request was sent to the next engine
// as if it had crashed none.
func TestExited(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	for name, tc := range map[string]struct {
		// accepted is the number of connections that are accepted before one is refused.
		// closed is true if they are closed at once.
		accepted int
		closed   bool
		want     bool
	}{
		"refuses":                        {want: true},
		"listens at first, then refuses": {accepted: 1, closed: true, want: true},
		"runs":                           {accepted: 9},
		"runs and closes connections":    {accepted: 9, closed: true},
		"runs, a second connection would be refused": {accepted: 1},
	} {
		t.Run(name, func(t *testing.T) {
			n := 0
			got := target.Exited(func() (net.Conn, error) {
				if n++; n > tc.accepted {
					return nil, refused
				}
				near, far := net.Pipe()
				t.Cleanup(func() { _ = far.Close() })
				if tc.closed {
					_ = far.Close()
				}
				return near, nil
			})
			if got != tc.want {
				t.Errorf("got exited %v, want %v", got, tc.want)
			}
		})
	}
}

func TestTooLargeLoadReport(t *testing.T) {
	srv := httptest.NewServer(largetest.OverLimit(target.MaxControlResponse))
	defer srv.Close()
	_, err := target.New(srv.Listener.Addr().String(), nil).Load(t.Context())
	if want := strconv.Itoa(target.MaxControlResponse); !errors.Is(err, whole.ErrTooLarge) || !strings.Contains(err.Error(), want) {
		t.Errorf("got %v, want an error that names the limit of %s bytes", err, want)
	}
}

// A prefix or load report whose connection breaks must not be read as a shorter one.
func TestTruncatedExport(t *testing.T) {
	const prefix = `{"hashes":[1,2,3],"tokens":30}`
	for n := range len(prefix) {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			callers.SetUntilClose(w, r)
			_, _ = w.Write([]byte(prefix[:n]))
		}))
		if got, err := target.New(srv.Listener.Addr().String(), nil).ExportPrefix(t.Context(), "1"); err == nil {
			t.Errorf("got %q, want an error", got)
		}
		srv.Close()
	}
}

// Guards against a daemon that follows a redirect of its target and passes on what it finds there,
// which may be another process, as the target's response.
func TestRedirectIsNotFollowed(t *testing.T) {
	followed := false
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { followed = true }))
	defer other.Close()
	srv := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusSeeOther))
	defer srv.Close()
	for _, once := range []bool{false, true} {
		res, err := target.New(srv.Listener.Addr().String(), nil).Do(t.Context(), target.Request{Method: http.MethodPost, Path: "/x", Body: []byte("b"), AtMostOnce: once})
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusSeeOther || res.Header.Get("Location") != other.URL || followed {
			t.Errorf("at most once %t: got status %d, Location %q, followed %t, want the target's redirect", once, res.StatusCode, res.Header.Get("Location"), followed)
		}
	}
}
