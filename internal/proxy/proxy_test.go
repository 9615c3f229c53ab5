package proxy_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/weldfall/weldfall/internal/proxy"
)

// echo answers each connection with what came, until the test is over.
func echo(t *testing.T) string {
	t.Helper()
	return serve(t, func(c net.Conn) { _, _ = io.Copy(c, c); _ = c.Close() })
}

// serve has f serve each connection, until the test is over, and returns the address.
func serve(t *testing.T, f func(c net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go f(c)
		}
	}()
	return ln.Addr().String()
}

// checkSound fails the test unless a byte comes back.
func checkSound(t *testing.T, c net.Conn) {
	t.Helper()
	_, _ = c.Write([]byte("x"))
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Errorf("got %v on a sound connection, want a byte back", err)
	}
}

// echoed reports whether a byte comes back within a while, and whether the
// connection was seen to end.
func echoed(c net.Conn) (back, ended bool) {
	_, _ = c.Write([]byte("x"))
	_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	ne, ok := err.(net.Error)
	return err == nil, err != nil && (!ok || !ne.Timeout())
}

func TestSilentConnectionsStaySilentAndNewOnesWork(t *testing.T) {
	for _, way := range []proxy.Direction{proxy.Both, proxy.ToTarget, proxy.FromTarget} {
		t.Run(string(way), func(t *testing.T) {
			t.Parallel()
			l, err := proxy.New(echo(t))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(l.Close)
			dial := func() net.Conn {
				c, err := net.Dial("tcp", l.Addr())
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = c.Close() })
				checkSound(t, c)
				return c
			}
			silent := dial()
			l.Silence(way, 1)
			for range 2 {
				if back, ended := echoed(silent); back || ended {
					t.Errorf("got back %v, ended %v on a silent connection, want neither", back, ended)
				}
			}
			sound := dial()
			checkSound(t, sound)
			_ = sound.Close()
			_ = silent.Close()
			left := 0
			if way != proxy.FromTarget {
				// The end that was dialled does not hear of the close.
				left = 1
			}
			for end := time.Now().Add(2 * time.Second); l.OpenConns() != left; time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("got %d connections open at the link, want %d", l.OpenConns(), left)
				}
			}
		})
	}
}

// newLink returns a link to an echo, and a connection through it that works.
func newLink(t *testing.T) (*proxy.Link, net.Conn) {
	t.Helper()
	l, err := proxy.New(echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	checkSound(t, c)
	return l, c
}

// What a fault drops is lost, and the connection ends with the fault: a link that
// carried the rest would make another stream of it.
func TestAFaultEndsTheConnectionsThatLostBytes(t *testing.T) {
	for _, f := range []proxy.Fault{proxy.Cut, proxy.DropToTarget, proxy.DropFromTarget} {
		for _, next := range []proxy.Fault{proxy.NoFault, proxy.Delayed, proxy.Resets} {
			t.Run(string(f+" "+next), func(t *testing.T) {
				t.Parallel()
				l, c := newLink(t)
				l.SetFault(f)
				if back, ended := echoed(c); back || ended {
					t.Errorf("got back %v, ended %v, want neither", back, ended)
				}
				l.SetFault(next)
				_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
				if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("got %v after bytes were lost, want the end", err)
				}
			})
		}
	}
}

func TestAFaultThatDropsNothingKeepsConnections(t *testing.T) {
	l, c := newLink(t)
	l.SetFault(proxy.Cut)
	l.SetFault(proxy.NoFault)
	checkSound(t, c)
}

func TestAResetEndsOpenConnectionsAndNewOnes(t *testing.T) {
	l, c := newLink(t)
	l.SetFault(proxy.Resets)
	if _, ended := echoed(c); !ended {
		t.Error("got an open connection, want its end")
	}
	// The reset may overtake the dial's return.
	again, err := net.Dial("tcp", l.Addr())
	if err == nil {
		defer func() { _ = again.Close() }()
		_ = again.SetReadDeadline(time.Now().Add(20 * time.Second))
		_, err = again.Read(make([]byte, 1))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %v of a new connection, want a reset", err)
	}
}

// An end that closes its sending side still hears the rest.
func TestWhatComesBackAfterAnEndIsCarried(t *testing.T) {
	_, c := newLink(t)
	if _, err := c.Write(make([]byte, 100_000)); err != nil {
		t.Fatal(err)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	if n, err := io.Copy(io.Discard, c); n != 100_000 || err != nil {
		t.Errorf("got %d bytes back (%v), want 100000", n, err)
	}
}

// What waits for an answer that ends with its connection takes a reset for a failure and
// an orderly end for the end of the answer.
func TestAResetIsPassedOnAsOne(t *testing.T) {
	l, err := proxy.New(serve(t, func(c net.Conn) {
		way := make([]byte, 1)
		_, _ = io.ReadFull(c, way)
		_, _ = c.Write([]byte("part"))
		switch way[0] {
		case 'r':
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		case 'e':
			_ = c.Close()
		}
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	for name, tc := range map[string]struct {
		way string
		end func()
		// whole is true if what came is all.
		whole bool
	}{
		"closed by the far end": {way: "e", whole: true},
		"reset by the far end":  {way: "r"},
		"reset by the link":     {way: "w", end: func() { l.SetFault(proxy.Resets) }},
	} {
		t.Run(name, func(t *testing.T) {
			l.SetFault(proxy.NoFault)
			c, err := net.Dial("tcp", l.Addr())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.Close() })
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			_, _ = c.Write([]byte(tc.way))
			if tc.end != nil {
				_, _ = io.ReadFull(c, make([]byte, 4))
				tc.end()
			}
			if _, err := io.ReadAll(c); (err == nil) != tc.whole {
				t.Errorf("got the end %v, want an orderly one: %v", err, tc.whole)
			}
		})
	}
}

// A link that lost bytes told the end after them on, so that what came before looked whole.
func TestAnEndAfterLostBytesIsPassedOnAsAReset(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	l, err := proxy.New(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = near.Close() }()
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(far, "kept"); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 4)
	if _, err := io.ReadFull(near, got); err != nil {
		t.Fatal(err)
	}
	l.SetFault(proxy.DropFromTarget)
	if _, err := io.WriteString(far, "lost"); err != nil {
		t.Fatal(err)
	}
	_ = far.Close()
	if n, err := near.Read(got); n != 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %d bytes and %v, want a reset", n, err)
	}
}
