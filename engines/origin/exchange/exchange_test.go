package exchange_test

import (
	"fmt"
	"log/slog"
	"net"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/origin"
	"github.com/weldfall/weldfall/engines/origin/exchange"
	"github.com/weldfall/weldfall/link"
)

// Several entries may fail at the same time while one is left to be tried. The process
// must not end, and the wait for the record must.
func TestEntriesThatFailTogether(t *testing.T) {
	t.Parallel()
	const entries, records = 4, 3000
	var addrs []string
	for range entries {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, ln.Addr().String())
		if err := ln.Close(); err != nil {
			t.Fatal(err)
		}
	}
	clk := clock.System()
	x := exchange.New(exchange.Config{
		Links: link.NewPool(clk, nil), Clock: clk, Log: slog.New(slog.DiscardHandler),
		Holders: func(uint64, int) ([]string, int, int) { return addrs, entries, entries },
	})
	var stored []<-chan bool
	for i := range records {
		stored = append(stored, x.Store(origin.Record{Key: origin.NewKey("ws", fmt.Sprint(i)), Version: "v1", TTL: 1000}))
	}
	for _, done := range stored {
		<-done
	}
}
