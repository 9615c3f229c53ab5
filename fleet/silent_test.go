package fleet_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/fleet"
	"github.com/weldfall/weldfall/fleet/member"
	"github.com/weldfall/weldfall/fleet/source"
	"github.com/weldfall/weldfall/internal/linktest"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/standin/platform"
)

// inForceWithin is how long a change of the settings may take to be in force everywhere.
const inForceWithin = 4 * time.Second

// service is a settings service that can become silent.
type service struct {
	http.Handler
	mu sync.Mutex
	// silent is true while new calls get no response for as long as they wait.
	silent bool
	// cut is closed to end the waiting calls and their connections.
	cut chan struct{}
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent, cut := s.silent, s.cut
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	done := make(chan struct{})
	rec := httptest.NewRecorder()
	go func() {
		defer close(done)
		s.Handler.ServeHTTP(rec, r)
	}()
	select {
	case <-done:
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	case <-cut:
		panic(http.ErrAbortHandler)
	}
}

func (s *service) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	if silent {
		close(s.cut)
		s.cut = make(chan struct{})
	}
}

// newNode starts a node that reads a settings service over a link, and waits until it has
// the given revision.
func newNode(t *testing.T, clk *clock.Clock, h http.Handler, revision int64) (*fleet.Node, *linktest.Link) {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	link := linktest.New(t, strings.TrimPrefix(srv.URL, "http://"))
	n := fleet.New(fleet.Config{
		ID: "entry-1", Role: member.Entry, Hall: "hall-a", Clock: clk, Log: slog.New(slog.DiscardHandler),
		Platform: source.New("http://"+link.Addr(), clk, nil),
	})
	go n.Run(t.Context())
	await(t, n, revision, 20*time.Second)
	return n, link
}

// await waits until a node has the settings up to a revision.
func await(t *testing.T, n *fleet.Node, revision int64, limit time.Duration) {
	t.Helper()
	from := time.Now()
	for n.Revisions()[wire.TopicCore] < revision {
		if time.Since(from) > limit {
			t.Fatalf("got revision %d after %v, want %d", n.Revisions()[wire.TopicCore], limit, revision)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a long poll that waits at a service which became silent, so that no
// change is noticed until the wait is over.
func TestAChangeTakesEffectInTimeAfterTheServiceWasSilent(t *testing.T) {
	t.Parallel()
	for _, silence := range []time.Duration{300, 700, 1250, 3000} {
		t.Run(fmt.Sprintf("for %d ms", silence), func(t *testing.T) {
			t.Parallel()
			clk := clock.System()
			p := platform.New(platform.Config{Clock: clk})
			s := &service{Handler: p, cut: make(chan struct{})}
			n, _ := newNode(t, clk, s, p.Put("config", "root", "{}"))
			s.setSilent(true)
			time.Sleep(silence * time.Millisecond)
			s.setSilent(false)
			await(t, n, p.Put("config", "root", "{ }"), inForceWithin)
		})
	}
	t.Run("on open connections permanently", func(t *testing.T) {
		t.Parallel()
		clk := clock.System()
		p := platform.New(platform.Config{Clock: clk})
		n, link := newNode(t, clk, p, p.Put("config", "root", "{}"))
		link.Silence(linktest.Both)
		await(t, n, p.Put("config", "root", "{ }"), inForceWithin)
	})
}
