package callers_test

import (
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/common/clock"
)

// failing is a listener whose next accept fails.
type failing struct {
	net.Listener
	err *atomic.Pointer[syscall.Errno]
}

func (l failing) Accept() (net.Conn, error) {
	if err := l.err.Swap(nil); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: *err}
	}
	return l.Listener.Accept()
}

// Guards against a process that ends since the kernel had no memory for a new connection.
func TestServerGoesOnWithoutMemoryForAConnection(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS} {
		t.Run(strings.ReplaceAll(errno.Error(), " ", "_"), func(t *testing.T) {
			limits := callers.Limits{Idle: 60_000, Header: 60_000}
			var err atomic.Pointer[syscall.Errno]
			s := serveWithOptions(t, serverOptions{
				limits: func() callers.Limits { return limits }, clk: clock.System(),
				wrapListener: func(ln net.Listener) net.Listener { return failing{ln, &err} },
			}, ok)
			// One accept is under way.
			err.Store(&errno)
			nc, r := s.dial()
			exchange(t, nc, r)
			select {
			case <-s.done:
				t.Error("got a server that ended, want it to go on")
			case <-time.After(500 * time.Millisecond):
			}
			if nc, err := net.Dial("tcp", s.addr); errors.Is(err, syscall.ECONNREFUSED) {
				t.Errorf("next connection: got %v, want it accepted", err)
			} else if err == nil {
				_ = nc.Close()
			}
		})
	}
}
