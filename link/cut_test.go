package link_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
)

// message encodes a message as it is sent on a connection.
func message(format byte, data []byte) []byte {
	return append(binary.AppendUvarint([]byte{format}, uint64(len(data))), data...)
}

// A message that is truncated by the end of its connection must not be taken for a
// shorter one.
func TestATruncatedMessageIsDropped(t *testing.T) {
	var frame bytes.Buffer
	enc := msgpack.NewEncoder(&frame)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(wire.Frame{Attempt: 1, Data: bytes.Repeat([]byte("x"), 200)}); err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	p := &peer{}
	go link.Serve(ctx, ln, clock.System(), slog.New(slog.DiscardHandler), p, 0)
	for name, msg := range map[string][]byte{
		"frame":   message('f', frame.Bytes()),
		"message": message('j', []byte(`{"jsonrpc":"2.0","method":"push","params":{}}`)),
	} {
		for n := range len(msg) + 1 {
			nc, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
			if _, err := nc.Write(append([]byte{'d'}, msg[:n]...)); err != nil {
				t.Fatal(err)
			}
			if err := nc.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			// The other side closes the connection once it has read everything.
			_, _ = io.Copy(io.Discard, nc)
			_ = nc.Close()
			p.mu.Lock()
			got := len(p.got)
			p.got = nil
			p.mu.Unlock()
			if want := n / len(msg); got != want {
				t.Errorf("%s: got %d messages of %d of %d bytes, want %d", name, got, n, len(msg), want)
			}
		}
	}
}
