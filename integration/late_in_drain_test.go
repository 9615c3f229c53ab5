package integration_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/weldfall/weldfall/internal/fleettest"
)

// Guards against requests that come late in the drain of an entry, are passed on and cut with no
// answer at its end.
func TestRequestsLateInTheDrainAreAnswered(t *testing.T) {
	for name, perSecond := range map[string]time.Duration{"same pace": 0, "slower": 200 * time.Millisecond, "much slower": 800 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			ran := map[string]bool{}
			var stopAt time.Time
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPost {
					http.NotFound(w, r)
					return
				}
				mu.Lock()
				ran[r.URL.Path] = true
				took := 100 * time.Millisecond
				if !stopAt.IsZero() {
					took += time.Duration(time.Since(stopAt).Seconds() * float64(perSecond))
				}
				mu.Unlock()
				time.Sleep(took)
				_, _ = w.Write([]byte("done"))
			}))
			defer srv.Close()
			f := fleettest.Start(t, fleettest.Spec{Entries: 2, Direct: true, Fleet: "[leave]\ndrain_ms = 4000\n"})
			f.ServiceDaemons = append(f.ServiceDaemons, f.StartDaemon(&fleettest.Process{Name: "slow", Addr: srv.Listener.Addr().String()}, "desk", 0))
			f.WaitReady()
			e := f.Entries[0]
			for n := range 40 {
				service(f, fmt.Sprintf("/learn-%d", n)).sendRaw(t, "HTTP/1.1")
			}
			mu.Lock()
			stopAt = time.Now()
			mu.Unlock()
			e.Terminate()
			rng := rand.New(rand.NewPCG(1, 1))
			counts := map[string]int{}
			var wg sync.WaitGroup
			for n := 0; !e.Exited(); n++ {
				wg.Go(func() {
					path := fmt.Sprintf("/late-%d", n)
					sentAt := time.Now()
					outcome := ""
					if nc, err := net.Dial("tcp", e.CallerAddr); err != nil {
						outcome = "not accepted"
					} else {
						got, err := service(f, path).sendOn(nc, "HTTP/1.1")
						if outcome = fmt.Sprint(got.status); got.err != nil || err != nil {
							outcome = "no answer"
						}
					}
					mu.Lock()
					defer mu.Unlock()
					if counts[outcome]++; outcome == "no answer" && ran[path] {
						t.Errorf("%s, sent %v after the stop: it ran and the connection ended without an answer", path, sentAt.Sub(stopAt))
					}
				})
				time.Sleep(time.Duration(5+rng.IntN(20)) * time.Millisecond)
			}
			wg.Wait()
			t.Logf("%d requests ran; answers: %v", len(ran), counts)
		})
	}
}
