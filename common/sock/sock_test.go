package sock_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/sock"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	far, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

// waitNothingToRead waits until NothingToRead reports want.
func waitNothingToRead(t *testing.T, nc net.Conn, want bool) {
	t.Helper()
	for range 1000 {
		got, err := sock.NothingToRead(nc)
		if err != nil {
			t.Fatal(err)
		}
		if got == want {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("got nothing to read %t, want %t", !want, want)
}

func TestNothingToRead(t *testing.T) {
	near, far := pair(t)
	waitNothingToRead(t, near, true)
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	waitNothingToRead(t, near, false)
	if n, err := near.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("got %d, %v, want the byte to be still there", n, err)
	}
	waitNothingToRead(t, near, true)
	if err := far.Close(); err != nil {
		t.Fatal(err)
	}
	waitNothingToRead(t, near, false)
}

func TestNothingToReadDuringRead(t *testing.T) {
	near, _ := pair(t)
	go func() { _, _ = near.Read(make([]byte, 1)) }()
	waitNothingToRead(t, near, true)
}

func TestNothingToReadFailsWithoutDescriptor(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	if _, err := sock.NothingToRead(near); !errors.Is(err, sock.ErrNotSyscallConn) {
		t.Errorf("got %v, want %v", err, sock.ErrNotSyscallConn)
	}
}

// The state of a connection is known without taking its error from the reader.
func TestEstablished(t *testing.T) {
	for name, tc := range map[string]struct {
		end  func(far *net.TCPConn)
		want error
	}{
		"FIN":   {func(far *net.TCPConn) { _ = far.Close() }, io.EOF},
		"reset": {func(far *net.TCPConn) { _, _ = far.SetLinger(0), far.Close() }, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			if _, err := far.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			if got, err := sock.Established(near); !got || err != nil {
				t.Errorf("got %t, %v, want an open connection", got, err)
			}
			tc.end(far.(*net.TCPConn))
			for n := 0; ; n++ {
				got, err := sock.Established(near)
				if err != nil {
					t.Fatal(err)
				}
				if !got {
					break
				}
				if n == 1000 {
					t.Fatal("got an open connection after its end")
				}
				time.Sleep(time.Millisecond)
			}
			var err error
			for err == nil {
				_, err = near.Read(make([]byte, 2))
			}
			if !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
		})
	}
}
