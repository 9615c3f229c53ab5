package link_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link"
)

// nestedFrame returns a frame with the data "x", and with a field of the given number of levels
// that no version of the frame has.
func nestedFrame(levels int) []byte {
	// A map of two fields, Data and Z.
	frame := []byte{0x82, 0xa4, 'D', 'a', 't', 'a', 0xc4, 1, 'x', 0xa1, 'Z'}
	return append(append(frame, bytes.Repeat([]byte{0x91}, levels)...), 0xc0)
}

// A frame that is nested deeply is refused, as the decoder would exceed the stack, which ends the
// process.
func TestDeeplyNestedFramesAreRefused(t *testing.T) {
	for _, tc := range []struct {
		levels int
		want   bool
	}{{0, true}, {1, true}, {9000, true}, {20_000, false}, {link.MaxMessage - 100, false}} {
		t.Run(fmt.Sprint("levels=", tc.levels), func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			p := &peer{}
			go link.Serve(ctx, ln, clock.System(), slog.New(slog.DiscardHandler), p, 0)
			nc, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
			if _, err := nc.Write(append([]byte{'d'}, message('f', nestedFrame(tc.levels))...)); err != nil {
				t.Fatal(err)
			}
			if err := nc.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			// The other side closes the connection once it has read everything.
			_, _ = io.Copy(io.Discard, nc)
			p.mu.Lock()
			defer p.mu.Unlock()
			if got := slices.Contains(p.got, "x"); got != tc.want {
				t.Errorf("got the frame accepted: %v, want %v", got, tc.want)
			}
		})
	}
}
