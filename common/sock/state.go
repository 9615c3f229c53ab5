package sock

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Established reports whether neither side of a connection has closed it. Unlike NothingToRead it
// leaves the error of the connection to be read. It may be called while another goroutine reads. It
// fails with ErrNotSyscallConn for connections that are not of the operating system.
func Established(nc net.Conn) (bool, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false, ErrNotSyscallConn
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false, err
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := rc.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return false, err
	}
	if infoErr != nil {
		return false, infoErr
	}
	return info.State == unix.BPF_TCP_ESTABLISHED, nil
}
