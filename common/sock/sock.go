// Package sock inspects connections without reading from them.
package sock

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrNotSyscallConn means that a connection has no file descriptor to inspect.
var ErrNotSyscallConn = errors.New("not a connection of the operating system")

// NothingToRead reports whether an open connection has neither data nor EOF to read. It may
// be called while another goroutine reads. It fails with ErrNotSyscallConn for connections
// that are not of the operating system, and with the error of the connection, which a later
// read does not return again.
func NothingToRead(nc net.Conn) (bool, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false, ErrNotSyscallConn
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false, err
	}
	var peekErr error
	err = rc.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return false, err
	case errors.Is(peekErr, syscall.EAGAIN), errors.Is(peekErr, syscall.EWOULDBLOCK):
		return true, nil
	}
	return false, peekErr
}

// UnreadBytes returns the number of bytes that an open connection has received and that were
// not read. It fails with ErrNotSyscallConn for connections that are not of the operating
// system.
func UnreadBytes(nc net.Conn) (int, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, ErrNotSyscallConn
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	n, ioctlErr := 0, error(nil)
	if err := rc.Control(func(fd uintptr) { n, ioctlErr = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }); err != nil {
		return 0, err
	}
	return n, ioctlErr
}
