// Package sock looks at connections without reading from them.
package sock

import (
	"errors"
	"net"
	"syscall"
)

// ErrNotSyscallConn means that a connection cannot be looked at.
var ErrNotSyscallConn = errors.New("not a connection of the operating system")

// NothingToRead reports whether an open connection has nothing to read: neither bytes
// nor its end. It may be called while another goroutine reads.
func NothingToRead(nc net.Conn) (bool, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false, ErrNotSyscallConn
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false, err
	}
	quiet := false
	err = rc.Control(func(fd uintptr) {
		var one [1]byte
		_, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
	})
	return quiet, err
}
