package link_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link"
)

// Guards against incomplete messages that take a process's memory, and against ones that keep
// complete messages out: the connection of the oldest one is closed.
func TestOldestIncompleteMessageGivesWay(t *testing.T) {
	// There is room for two messages of the largest size.
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(64 << 20))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var logs bytes.Buffer
	clk := clock.System()
	served := make(chan struct{})
	go func() {
		defer close(served)
		link.Serve(ctx, ln, clk, slog.New(slog.NewTextHandler(&logs, nil)), &peer{}, 0)
	}()
	part := append(binary.AppendUvarint([]byte("cj"), link.MaxMessage), bytes.Repeat([]byte(" "), link.MaxMessage-1)...)
	var conns []net.Conn
	for range 3 {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
		conns = append(conns, nc)
		if _, err := nc.Write(part); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	isOpen := func(nc net.Conn) bool {
		_ = nc.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, err := nc.Read(make([]byte, 1))
		return errors.Is(err, os.ErrDeadlineExceeded)
	}
	for n, want := range []bool{false, true, true} {
		if got := isOpen(conns[n]); got != want {
			t.Errorf("connection %d: got open %t, want %t", n, got, want)
		}
	}
	pool := link.NewPool(clk, &peer{})
	defer pool.Close()
	c, err := pool.Get(ln.Addr().String(), link.Control)
	if err != nil {
		t.Fatal(err)
	}
	callCtx, stop := context.WithTimeout(ctx, 20*time.Second)
	defer stop()
	text, out := strings.Repeat("x", 4<<20), ""
	if err := c.Call(callCtx, "echo", text, &out); err != nil || out != text {
		t.Errorf("got %d bytes and %v beside incomplete messages, want %d bytes", len(out), err, len(text))
	}
	if isOpen(conns[1]) || !isOpen(conns[2]) {
		t.Error("got the wrong connection closed for a complete message, want the older one")
	}
	cancel()
	<-served
	if got := logs.String(); strings.Count(got, "msg=messages_discarded") == 0 || !strings.Contains(got, "limit=25165824") {
		t.Errorf("got the log %q, want a line messages_discarded with the limit", got)
	}
}
