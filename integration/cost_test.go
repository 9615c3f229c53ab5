package integration_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/daemon/target"
	"github.com/weldfall/weldfall/engines/events"
	"github.com/weldfall/weldfall/internal/fleettest"
)

// streamStats holds the measurements of a number of streams.
type streamStats struct {
	first  []int64
	tokens int
}

func (f *streamStats) median() float64 {
	slices.Sort(f.first)
	return float64(f.first[len(f.first)/2]) / 1000
}

// stream sends the given number of rounds of n concurrent streams to url.
func stream(b *testing.B, url, key string, n, rounds, tokens int) *streamStats {
	b.Helper()
	clk := clock.System()
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
	defer h.CloseIdleConnections()
	out := &streamStats{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for s := range n {
		wg.Go(func() {
			for r := range rounds {
				body := chatBody(true, tokens, fmt.Sprintf("stream %d round %d", s, r))
				req, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
				req.Header.Set("Authorization", "Bearer "+key)
				req.Header.Set("X-Attempt", fmt.Sprintf("direct-%d-%d-%d", n, s, r))
				start := clk.Micros()
				res, err := h.Do(req)
				if err != nil {
					b.Error(err)
					return
				}
				first, got := int64(0), 0
				for in := events.NewReader(res.Body, target.MaxEvent); ; got++ {
					ev, err := in.Next()
					if err != nil || string(ev.Data) == "[DONE]" {
						break
					}
					if first == 0 {
						first = clk.Micros() - start
					}
				}
				_ = res.Body.Close()
				mu.Lock()
				out.first = append(out.first, first)
				out.tokens += got
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return out
}

// BenchmarkPath measures the same load directly at an engine and through entry and daemon,
// in one run. Run it with -benchtime 1x.
func BenchmarkPath(b *testing.B) {
	for _, gap := range []string{"5", "0"} {
		for _, n := range []int{1, 64, 512} {
			b.Run(fmt.Sprintf("gap_ms=%s/streams=%d", gap, n), func(b *testing.B) { benchmarkPath(b, gap, n) })
		}
	}
}

// BenchmarkRequest measures requests of one token. Run it with -benchtime 1x.
func BenchmarkRequest(b *testing.B) {
	f := fleettest.Start(b, fleettest.Spec{
		Engines: 1, Entries: 1, Direct: true, Fleet: "[limits]\nqueue_per_engine = 1000\n",
		EngineArgs: []string{"--gap-ms", "0", "--prefill", "0", "--slots", "1000"},
	})
	url, key := "http://"+f.Entries[0].CallerAddr, fleettest.Key("planning", "ws0")
	stream(b, url, key, 64, 2, 1)
	const rounds = 50
	for b.Loop() {
		daemon, entry := f.EngineDaemons[0].CPUMicros(), f.Entries[0].CPUMicros()
		stream(b, url, key, 64, rounds, 1)
		b.ReportMetric((f.EngineDaemons[0].CPUMicros()-daemon)/(64*rounds), "daemon_us/request")
		b.ReportMetric((f.Entries[0].CPUMicros()-entry)/(64*rounds), "entry_us/request")
	}
}

func benchmarkPath(b *testing.B, gap string, n int) {
	f := fleettest.Start(b, fleettest.Spec{
		Engines: 1, Entries: 1, Direct: true, Fleet: "[limits]\nqueue_per_engine = 1000\n",
		EngineArgs: []string{"--gap-ms", gap, "--prefill", "0", "--slots", "1000"},
	})
	rounds := max(2, 32/n)
	const tokens = 100
	engineURL, entryURL := "http://"+f.Engines[0].Addr, "http://"+f.Entries[0].CallerAddr
	key := fleettest.Key("planning", "ws0")
	stream(b, entryURL, key, n, 1, tokens)
	stream(b, engineURL, key, n, 1, tokens)
	for b.Loop() {
		direct := stream(b, engineURL, key, n, rounds, tokens)
		daemon, entry := f.EngineDaemons[0].CPUMicros(), f.Entries[0].CPUMicros()
		through := stream(b, entryURL, key, n, rounds, tokens)
		daemon, entry = f.EngineDaemons[0].CPUMicros()-daemon, f.Entries[0].CPUMicros()-entry
		b.ReportMetric(direct.median(), "direct_first_ms")
		b.ReportMetric(through.median(), "through_first_ms")
		b.ReportMetric(daemon/float64(through.tokens), "daemon_us/token")
		b.ReportMetric(entry/float64(through.tokens), "entry_us/token")
	}
}

// BenchmarkControl measures the idle cost of a process while a setting changes each second.
// Run it with -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	for _, engines := range []int{6, 27} {
		b.Run(fmt.Sprint("processes=", engines+3), func(b *testing.B) {
			f := fleettest.Start(b, fleettest.Spec{Engines: engines, Entries: 3, Direct: true})
			wait(5000)
			d, e := f.EngineDaemons[0], f.Entries[0]
			const seconds = 10
			for b.Loop() {
				cpu, bytes := d.CPUMicros(), d.MetricSum("weldfall_control_bytes_total")
				entryCPU, entryBytes := e.CPUMicros(), e.MetricSum("weldfall_control_bytes_total")
				calls := f.PlatformCalls()
				for i := range seconds {
					f.PutConfig("planning", fmt.Sprintf("[limits]\ndeadline_ms = %d\n", 10_000+i))
					wait(1000)
				}
				b.ReportMetric((d.CPUMicros()-cpu)/1e4/seconds, "daemon_core_%")
				b.ReportMetric((e.CPUMicros()-entryCPU)/1e4/seconds, "entry_core_%")
				b.ReportMetric((d.MetricSum("weldfall_control_bytes_total")-bytes)/seconds, "daemon_B/s")
				b.ReportMetric((e.MetricSum("weldfall_control_bytes_total")-entryBytes)/seconds, "entry_B/s")
				b.ReportMetric(d.MemoryBytes()/(1<<20), "daemon_MiB")
				b.ReportMetric(e.MemoryBytes()/(1<<20), "entry_MiB")
				b.ReportMetric(float64(f.PlatformCalls()-calls)/seconds, "platform_calls/s")
			}
		})
	}
}
