package witness_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/common/witness"
)

// peer accepts connections and ends them as a test wants.
type peer struct {
	t  *testing.T
	ln net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

func listen(t *testing.T, addr string) *peer {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{t: t, ln: ln}
	t.Cleanup(func() {
		_ = ln.Close()
		p.close(0)
	})
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, nc)
			p.mu.Unlock()
		}
	}()
	return p
}

// wait waits until n connections were accepted.
func (p *peer) wait(n int) {
	p.t.Helper()
	for range 2000 {
		p.mu.Lock()
		got := len(p.conns)
		p.mu.Unlock()
		if got >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	p.t.Fatalf("fewer than %d connections", n)
}

// close closes the connections from the given one on.
func (p *peer) close(from int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, nc := range p.conns[min(from, len(p.conns)):] {
		_ = nc.Close()
	}
}

// closeOne closes the connection with the given number.
func (p *peer) closeOne(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.conns[n].Close()
}

// end closes the listener and all connections, as the kernel does for a process that ends.
func (p *peer) end() {
	_ = p.ln.Close()
	p.close(0)
}

// Which connections show that the process which closed a connection stands or has ended. Connection 0
// is that of the response. Connection 1 is the witness, unless one was opened before.
func TestSender(t *testing.T) {
	for name, tc := range map[string]struct {
		// others is the number of connections that are opened before that of the response.
		others int
		// early is called before the response is watched, end after the witness was opened.
		early, end func(*peer)
		want       framing.Sender
	}{
		"ends the response":           {end: func(p *peer) { p.closeOne(0) }, want: framing.SenderStands},
		"refuses, ends the response":  {end: func(p *peer) { _ = p.ln.Close(); p.closeOne(0) }, want: framing.SenderStands},
		"ends":                        {end: (*peer).end, want: framing.SenderDisconnected},
		"ends, its listener later":    {end: func(p *peer) { p.close(0) }, want: framing.SenderDisconnected},
		"ends, its witness later":     {end: func(p *peer) { p.closeOne(0); time.Sleep(20 * time.Millisecond); p.end() }, want: framing.SenderDisconnected},
		"ends, its address is taken":  {end: func(p *peer) { p.end(); listen(p.t, p.ln.Addr().String()) }, want: framing.SenderDisconnected},
		"closes an idle connection":   {end: func(p *peer) { p.closeOne(1); p.wait(3); time.Sleep(20 * time.Millisecond); p.closeOne(0) }, want: framing.SenderStands},
		"closes one, then ends":       {end: func(p *peer) { p.closeOne(1); p.wait(3); time.Sleep(20 * time.Millisecond); p.end() }, want: framing.SenderDisconnected},
		"refuses, closes the witness": {end: func(p *peer) { _ = p.ln.Close(); p.closeOne(1); time.Sleep(20 * time.Millisecond); p.closeOne(0) }, want: framing.SenderDisconnected},
		"refuses, closes the witness, another process has its address": {end: func(p *peer) {
			_ = p.ln.Close()
			p.closeOne(1)
			time.Sleep(150 * time.Millisecond)
			listen(p.t, p.ln.Addr().String()).wait(1)
			time.Sleep(20 * time.Millisecond)
			p.closeOne(0)
		}, want: framing.SenderDisconnected},
		"ended before":                             {early: (*peer).end, want: framing.SenderEnded},
		"ended the response before":                {early: func(p *peer) { p.closeOne(0) }, want: framing.SenderStands},
		"refuses, closes the witness, not another": {others: 1, end: func(p *peer) { _ = p.ln.Close(); p.close(2); time.Sleep(20 * time.Millisecond); p.closeOne(1) }, want: framing.SenderStands},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := listen(t, "127.0.0.1:0")
			addr := p.ln.Addr().String()
			d := witness.New(addr, nil)
			var own net.Conn
			for range tc.others + 1 {
				nc, err := d.DialContext(t.Context(), "tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = nc.Close() })
				own = nc
			}
			p.wait(tc.others + 1)
			if tc.early != nil {
				tc.early(p)
				time.Sleep(5 * time.Millisecond)
			}
			w := d.Watch(own)
			defer w.Stop()
			if tc.end != nil {
				p.wait(tc.others + 2)
				time.Sleep(20 * time.Millisecond)
				tc.end(p)
			}
			for _, err := own.Read(make([]byte, 1)); err == nil; {
				_, err = own.Read(make([]byte, 1))
			}
			got := w.Sender(t.Context(), func(context.Context) bool {
				nc, err := net.Dial("tcp", addr)
				if err == nil {
					_ = nc.Close()
				}
				return errors.Is(err, syscall.ECONNREFUSED)
			})
			if got != tc.want {
				t.Errorf("got %s, want %s", got, tc.want)
			}
		})
	}
}

// The witness is closed with the last watch, and a peer that closes each connection at once is not
// asked for another one without a pause.
func TestWitnessIsBounded(t *testing.T) {
	p := listen(t, "127.0.0.1:0")
	addr := p.ln.Addr().String()
	d := witness.New(addr, nil)
	own, err := d.DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = own.Close() }()
	first, second := d.Watch(own), d.Watch(own)
	p.wait(2)
	first.Stop()
	for range 50 {
		p.close(1)
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	second.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	if got := len(p.conns) - 1; got < 2 || got > 12 {
		t.Errorf("got %d witnesses in 0.7 s, want one each 0.1 s", got)
	}
	last := p.conns[len(p.conns)-1]
	_ = last.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := last.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want the end of the witness", err)
	}
}
