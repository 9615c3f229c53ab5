package peers_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/origin"
	"github.com/weldfall/weldfall/peers"
)

// BenchmarkOrigins measures the bytes and the processor time of the record of a stream, all
// copies and their responses included. "records/s" is the rate of all entries. Run it with
// -benchtime 1x. Bytes are those of the connections' content, without packet headers.
func BenchmarkOrigins(b *testing.B) {
	for _, c := range []struct{ entries, rate int }{{30, 0}, {30, 30}, {30, 300}, {300, 0}, {300, 30}, {300, 300}} {
		b.Run(fmt.Sprintf("entries=%d/records=%d", c.entries, c.rate), func(b *testing.B) { benchmarkOrigins(b, c.entries, c.rate) })
	}
}

func benchmarkOrigins(b *testing.B, n, rate int) {
	const (
		settle = 10 * time.Second
		period = 5 * time.Second
	)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	bytes := make([]atomic.Int64, n)
	hosts := make([]*originHost, n)
	var seeds []string
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		if i < 3 {
			seeds = append(seeds, ln.Addr().String())
		}
		hosts[i] = &originHost{book: origin.NewBook()}
		p := peers.New(peers.Config{ID: fmt.Sprintf("edge-spanish-town-%d", i), Addr: ln.Addr().String(), Seeds: seeds, Host: hosts[i], Clock: clock.System(), Log: slog.New(slog.DiscardHandler)})
		wg.Go(func() { p.Run(ctx, countedListener{ln, &bytes[i]}) })
	}
	sum := func() (total int64) {
		for i := range bytes {
			total += bytes[i].Load()
		}
		return total
	}
	for b.Loop() {
		time.Sleep(settle)
		before, cpu := sum(), processorMicros(b)
		sent := 0
		if rate == 0 {
			time.Sleep(period)
		} else {
			tick := time.NewTicker(time.Second / time.Duration(rate))
			for ; sent < rate*int(period/time.Second); sent++ {
				<-tick.C
				hosts[sent%n].others.Store(originRecord(sent))
			}
			tick.Stop()
		}
		b.ReportMetric(float64(sum()-before)/period.Seconds()/float64(n), "bytes/s/entry")
		b.ReportMetric((processorMicros(b)-cpu)/period.Seconds()/1e4, "cpu_%")
		b.ReportMetric(float64(sent)/period.Seconds(), "records/s")
		b.ReportMetric(0, "ns/op")
	}
}
