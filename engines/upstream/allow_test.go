package upstream_test

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/upstream"
)

// Guards against a request that reaches an engine which said, while the request waited for a
// connection, that it wants none.
func TestRequestThatIsNoLongerAllowedIsNotSent(t *testing.T) {
	t.Parallel()
	arrived, dials := 0, 0
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived++
		w.Header().Set(dialect.RequestID, r.Header.Get(dialect.RequestID))
	}))
	srv.Config.ConnState = countNew(&dials)
	srv.Start()
	defer srv.Close()
	pool := upstream.NewPool(clock.System(), upstream.HeaderNames{RequestID: dialect.RequestID, NotRun: dialect.NotRun}, nil, slog.New(slog.DiscardHandler))
	closed := errors.New("closed")
	send := func(allow func() error) error {
		req := &upstream.Request{ID: "a", Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{dialect.RequestID: {"a"}}, Allow: allow}
		a, err := pool.Do(t.Context(), srv.Listener.Addr().String(), req, late)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, a)
		a.Close()
		return nil
	}
	deny := func() error { return closed }
	for _, conn := range []string{"new", "idle"} {
		if err := send(deny); !errors.Is(err, closed) || !errors.Is(err, upstream.ErrNotSent) {
			t.Errorf("%s connection: got %v, want the reason and that nothing was sent", conn, err)
		}
	}
	if err := send(func() error { return nil }); err != nil {
		t.Errorf("got %v, want a response", err)
	}
	if arrived != 1 || dials != 1 {
		t.Errorf("got %d requests on %d connections, want 1 on 1: the connection is kept", arrived, dials)
	}
}

// countNew returns a hook that counts new connections.
func countNew(n *int) func(net.Conn, http.ConnState) {
	return func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			*n++
		}
	}
}
