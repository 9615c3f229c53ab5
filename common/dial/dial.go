// Package dial opens TCP connections that notice when the other end has gone
// dark: a machine without power and a cut network say nothing.
package dial

import (
	"net"
	"syscall"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// UserTimeout is how long sent bytes may go unacknowledged before the
	// kernel gives the connection up.
	UserTimeout clock.Millis = 1500
	// keepAliveIdle and keepAliveEvery find a dark end while nothing is sent,
	// within about three seconds.
	keepAliveIdle  clock.Millis = 1000
	keepAliveEvery clock.Millis = 1000
	keepAliveCount              = 2
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, which
	// package syscall does not name.
	tcpUserTimeout = 0x12
)

// New returns a dialer that waits for limit at most.
func New(limit clock.Millis) *net.Dialer {
	return &net.Dialer{
		Timeout: limit.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle.Duration(), Interval: keepAliveEvery.Duration(), Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var opt error
	err := rc.Control(func(fd uintptr) {
		opt = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UserTimeout))
	})
	if err != nil {
		return err
	}
	return opt
}
