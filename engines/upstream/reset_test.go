package upstream_test

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/upstream"
)

// Guards against a reset that looks like the end of a response without a length: whoever asked
// whether something had arrived received the error of the socket, and the next read an end of file.
func TestResetDuringASilenceIsNoEndOfTheResponse(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	silent := make(chan struct{})
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
			return
		}
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n"+dialect.RequestID+": req\r\n\r\npart")
		<-silent
		_ = nc.(*net.TCPConn).SetLinger(0)
		_ = nc.Close()
	}()
	pool := upstream.NewPool(clock.System(), upstream.HeaderNames{RequestID: dialect.RequestID, NotRun: dialect.NotRun}, nil, slog.New(slog.DiscardHandler))
	asked := false
	req := &upstream.Request{ID: "req", Method: http.MethodGet, URI: "/x", Host: "h", OnSilence: func(arrived func() bool) clock.Millis {
		if !asked {
			asked = true
			close(silent)
			for !arrived() {
				time.Sleep(time.Millisecond)
			}
		}
		return late
	}}
	a, err := pool.Do(t.Context(), ln.Addr().String(), req, soon)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	if !upstream.ClosedByPeer(err) || errors.Is(err, io.EOF) {
		t.Errorf("got %q and %v, want the connection reset", body, err)
	}
	if !asked {
		t.Error("got no silence, want one")
	}
}
