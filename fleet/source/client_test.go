package source_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/whole"
	"github.com/weldfall/weldfall/fleet/source"
	"github.com/weldfall/weldfall/internal/clocktest"
	"github.com/weldfall/weldfall/internal/largetest"
	"github.com/weldfall/weldfall/internal/linktest"
)

// A batch may take longer than the response timeout as long as data keeps arriving.
func TestABatchMayTakeLongerThanTheResponseTimeout(t *testing.T) {
	t.Parallel()
	const size = 600_000
	body, err := json.Marshal(source.Batch{Rev: 1, Items: []source.Item{{Key: "k", Rev: 1, Value: strings.Repeat("x", size)}}})
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	defer srv.Close()
	link := linktest.New(t, strings.TrimPrefix(srv.URL, "http://"))
	link.SetRate(size / 6)
	got, err := source.New("http://"+link.Addr(), clock.System(), nil).Changes(t.Context(), source.Config, 0, 0)
	if err != nil || len(got.Items) != 1 || len(got.Items[0].Value) != size {
		t.Errorf("got %d items, %v, want the whole batch", len(got.Items), err)
	}
}

// Guards against a call on a connection that died while this instance was suspended.
func TestConnectionsIdleDuringASuspensionAreNotReused(t *testing.T) {
	t.Parallel()
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		_, _ = w.Write([]byte(`{"rev":1}`))
	}))
	t.Cleanup(srv.Close)
	link := linktest.New(t, strings.TrimPrefix(srv.URL, "http://"))
	hands := clocktest.New()
	c := source.New("http://"+link.Addr(), clock.FromSource(hands), nil)
	if _, err := c.Changes(t.Context(), source.Config, 0, 0); err != nil {
		t.Fatal(err)
	}
	link.Silence(linktest.FromTarget)
	hands.Suspend(time.Minute)
	if _, err := c.Changes(t.Context(), source.Config, 0, 0); err != nil {
		t.Errorf("got %v after a suspension, want an answer", err)
	}
	if got := calls.Load(); got != 2 {
		t.Errorf("got %d calls, want 2, the second on a new connection", got)
	}
}

func TestAnErrorNamesTheLimitOfABatch(t *testing.T) {
	srv := httptest.NewServer(largetest.OverLimit(source.MaxResponse))
	defer srv.Close()
	_, err := source.New(srv.URL, clock.System(), nil).Changes(t.Context(), source.Config, 0, 0)
	if want := strconv.Itoa(source.MaxResponse); !errors.Is(err, whole.ErrTooLarge) || !strings.Contains(err.Error(), want) {
		t.Errorf("got %v, want an error that names the limit of %s bytes", err, want)
	}
}

// A batch that is truncated by the end of its connection must not be taken for a shorter
// one.
func TestATruncatedBatchIsAnError(t *testing.T) {
	const batch = `{"rev":2,"items":[{"key":"a","rev":1,"value":"1"},{"key":"b","rev":2,"value":"2"}]}`
	for n := range len(batch) {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			callers.SetUntilClose(w, r)
			_, _ = w.Write([]byte(batch[:n]))
		}))
		got, err := source.New(srv.URL, clock.System(), nil).Changes(t.Context(), source.Config, 0, 0)
		if err == nil {
			t.Errorf("got %+v of %q, want an error", got, batch[:n])
		}
		srv.Close()
	}
}
