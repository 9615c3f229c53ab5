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

// A request that ends its engine is told by the engine's end. The daemon beside it heard of
// the broken connection while the ending process still listened, took it to live, and the
// request was sent to the next engine as if nothing were known of it.
func TestAProcessThatIsEndingHasEnded(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	for name, tc := range map[string]struct {
		// taken is how many connections are taken before one is refused, closed whether
		// those that were taken are closed at once.
		taken  int
		closed bool
		want   bool
	}{
		"refuses":                           {want: true},
		"still listens, and refuses then":   {taken: 1, closed: true, want: true},
		"lives":                             {taken: 9},
		"lives, and closes connections":     {taken: 9, closed: true},
		"lives, the next one would be lost": {taken: 1},
	} {
		t.Run(name, func(t *testing.T) {
			n := 0
			got := target.Exited(func() (net.Conn, error) {
				if n++; n > tc.taken {
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
				t.Errorf("got ended %v, want %v", got, tc.want)
			}
		})
	}
}

func TestAReportThatIsTooLargeIsCalledThat(t *testing.T) {
	srv := httptest.NewServer(largetest.OverLimit(target.MaxControlAnswer))
	defer srv.Close()
	_, err := target.New(srv.Listener.Addr().String()).Load(t.Context())
	if want := strconv.Itoa(target.MaxControlAnswer); !errors.Is(err, whole.ErrTooLarge) || !strings.Contains(err.Error(), want) {
		t.Errorf("got %v, want an error that names the limit of %s bytes", err, want)
	}
}

// A prefix or a report that ends with its connection is not taken for a shorter one.
func TestAnExportThatIsCutIsNoExport(t *testing.T) {
	const prefix = `{"hashes":[1,2,3],"tokens":30}`
	for n := range len(prefix) {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			callers.SetUntilClose(w, r)
			_, _ = w.Write([]byte(prefix[:n]))
		}))
		if got, err := target.New(srv.Listener.Addr().String()).ExportPrefix(t.Context(), "1"); err == nil {
			t.Errorf("got %q, want an error", got)
		}
		srv.Close()
	}
}
