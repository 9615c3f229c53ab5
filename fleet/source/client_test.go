package source_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/fleet/source"
	"github.com/weldfall/weldfall/internal/linktest"
)

// A batch may take longer than a silent service is waited for, as long as it comes.
func TestABatchMayTakeLongerThanSilenceIsWaitedFor(t *testing.T) {
	t.Parallel()
	const size = 600_000
	body, err := json.Marshal(source.Batch{Rev: 1, Items: []source.Item{{Key: "k", Rev: 1, Value: strings.Repeat("x", size)}}})
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	defer srv.Close()
	link := linktest.New(t, strings.TrimPrefix(srv.URL, "http://"))
	link.Pace(size / 6)
	got, err := source.New("http://"+link.Addr()).Changes(t.Context(), source.Config, 0, 0)
	if err != nil || len(got.Items) != 1 || len(got.Items[0].Value) != size {
		t.Errorf("got %d items, %v, want the whole batch", len(got.Items), err)
	}
}
