// Package dial opens TCP connections that detect an unreachable peer: a machine
// without power or behind a broken network sends neither FIN nor RST.
package dial

import (
	"net"
	"syscall"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// UserTimeout is how long sent bytes may be unacknowledged before the kernel
	// closes the connection.
	UserTimeout clock.Millis = 1500
	// The keep-alive probes detect an unreachable peer on an idle connection within
	// about three seconds.
	keepAliveIdle     clock.Millis = 1000
	keepAliveInterval clock.Millis = 1000
	keepAliveCount                 = 2
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, which
	// package syscall lacks.
	tcpUserTimeout = 0x12
)

// New returns a dialer that fails if a connection takes longer than timeout.
func New(timeout clock.Millis) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle.Duration(), Interval: keepAliveInterval.Duration(), Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var optErr error
	err := rc.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UserTimeout))
	})
	if err != nil {
		return err
	}
	return optErr
}
