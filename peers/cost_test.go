package peers_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/peers"
	"github.com/weldfall/weldfall/peers/changes"
)

// loadedHost has as many loads as a message holds.
type loadedHost struct {
	noOrigins
	loads []peers.Load

	mu sync.Mutex
	// fleet, self and others are what Peers last reported of the other entries.
	fleet  peers.Fleet
	self   string
	others []string
	// maxEntries is the largest number of entries known so far. Like a gate, it keeps
	// counting them for its shares.
	maxEntries int
}

func newLoadedHost() *loadedHost {
	f := &loadedHost{}
	for i := range 30 {
		f.loads = append(f.loads, peers.Load{Incarnation: uint32(0x6bcf2168 + i*7919), Requests: 10 + i, Age: 100 + clock.Millis(90*i)})
	}
	return f
}

func (f *loadedHost) LocalStatus(n, _ int) peers.Status {
	return peers.Status{Table: 1234, TableAge: 321, ListSum: 3_912_345_678, ListAge: 1234, Epoch: 2, EpochAge: 345_678, Revision: 12_345_678, SuspectsComplete: true, Loads: f.loads[:n]}
}
func (*loadedHost) ReceiveStatus(string, peers.Status, clock.Millis) {}
func (*loadedHost) Stop() peers.Stop                                 { return peers.Stop{} }
func (*loadedHost) ReceiveLoads([]peers.Load, clock.Millis)          {}
func (*loadedHost) ReceiveUsage(string, string, clock.Millis)        {}
func (*loadedHost) WantedChanges(uint32) (changes.Position, bool)    { return changes.Position{}, false }
func (*loadedHost) ChangesSince(changes.Position) (changes.Delta, bool) {
	return changes.Delta{}, false
}
func (*loadedHost) ReceiveChanges(string, changes.Delta, clock.Millis) {}
func (*loadedHost) ReceiveSuspects(string, string)                     {}
func (*loadedHost) BroadcastSuspects()                                 {}
func (*loadedHost) SuspectsPending() <-chan struct{}                   { return nil }
func (*loadedHost) TakeSuspects() string                               { return "" }

func (f *loadedHost) SetFleet(fleet peers.Fleet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleet = fleet
}

func (f *loadedHost) SetOthers(self string, others []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self, f.others = self, others
	f.maxEntries = max(f.maxEntries, len(others)+1)
}

// share returns the entry's part of a whole and whether it takes itself to rank first.
func (f *loadedHost) share(whole int) (part int, first bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return peers.NewShares(f.self, f.others, f.maxEntries).Part(whole, "engine"), f.fleet.First
}

// countedListener counts the bytes of the connections that it accepts, in both
// directions.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// processorMicros returns the CPU time of this process so far, in microseconds.
func processorMicros(b *testing.B) float64 {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1000
}

// BenchmarkPeerExchange measures the cost of the exchanges between entries and what they
// know of each other. Run it with -benchtime 1x. Bytes are those of the connections'
// content, without packet headers. "firsts" is how many entries take themselves to rank
// first and "shares" the sum of all parts of a whole; both should be 1.
func BenchmarkPeerExchange(b *testing.B) {
	for _, n := range []int{5, 27, 103, 300, 1000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) { benchmarkExchange(b, n) })
	}
}

func benchmarkExchange(b *testing.B, n int) {
	const (
		settle = 10 * time.Second
		period = 20 * time.Second
	)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	clk, log := clock.System(), slog.New(slog.DiscardHandler)
	answered := make([]atomic.Int64, n)
	all, hosts := make([]*peers.Peers, n), make([]*loadedHost, n)
	name := func(i int) string { return fmt.Sprintf("edge-spanish-town-%d", i) }
	var seeds []string
	lns := make([]net.Listener, n)
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		lns[i] = countedListener{ln, &answered[i]}
		if i < 3 {
			seeds = append(seeds, ln.Addr().String())
		}
	}
	for i := range n {
		hosts[i] = newLoadedHost()
		all[i] = peers.New(peers.Config{ID: name(i), Addr: lns[i].Addr().String(), Seeds: seeds, Host: hosts[i], Clock: clk, Log: log})
		wg.Go(func() { all[i].Run(ctx, lns[i]) })
	}
	asked := metrics.GetOrCreateCounter("weldfall_peer_asks_total").Get
	for b.Loop() {
		time.Sleep(settle)
		before, asks, cpu := make([]int64, n), asked(), processorMicros(b)
		for i := range n {
			before[i] = answered[i].Load()
		}
		time.Sleep(period)
		cpu, asks = processorMicros(b)-cpu, asked()-asks
		sum, rates := 0.0, make([]float64, n)
		for i := range n {
			rates[i] = float64(answered[i].Load()-before[i]) / period.Seconds()
			sum += rates[i]
		}
		slices.Sort(rates)
		const whole = 100
		known, given, firsts := 0, 0, 0
		for i, p := range all {
			known += p.Count()
			part, first := hosts[i].share(whole)
			given += part
			if first {
				firsts++
			}
		}
		b.ReportMetric(sum*period.Seconds()/float64(asks), "bytes/exchange")
		b.ReportMetric(2*sum/float64(n), "mean_B/s")
		b.ReportMetric(rates[n-1]+sum/float64(n), "most_B/s")
		b.ReportMetric(cpu/float64(asks), "us/exchange")
		b.ReportMetric(float64(asks)/period.Seconds()/float64(n), "asks/s")
		b.ReportMetric(float64(known)/float64(n), "known")
		b.ReportMetric(float64(firsts), "firsts")
		b.ReportMetric(float64(given)/whole, "shares")
		b.ReportMetric(0, "ns/op")
	}
}
