package peers_test

import (
	"context"
	"log/slog"
	"net"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/peers"
)

// The seeds are the same list at all entries, so it names this one too. An entry that
// starts must not lose a round, and with it the origins of its streams, by calling itself.
func TestEntryIsNoSeedOfItself(t *testing.T) {
	t.Parallel()
	// Each seed is as likely to be called in a round.
	const others = 10_000
	var lns [2]net.Listener
	for i := range lns {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		lns[i] = ln
	}
	own := lns[0].Addr().String()
	seeds := []string{lns[1].Addr().String()}
	for range others {
		seeds = append(seeds, own)
	}
	var nodes []*peers.Peers
	for i, ln := range lns {
		cfg := peers.Config{Addr: ln.Addr().String(), Host: &originHost{}, Clock: clock.System(), Log: slog.New(slog.DiscardHandler)}
		if i == 0 {
			cfg.Seeds = seeds
		}
		p := peers.New(cfg)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.Run(ctx, ln)
		}()
		t.Cleanup(func() { cancel(); <-done })
		nodes = append(nodes, p)
	}
	wait(t, "the other entry", func() bool { return nodes[0].Count() == 2 })
}
