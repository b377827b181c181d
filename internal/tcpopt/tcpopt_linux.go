package tcpopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets the TCP user timeout (RFC 5482) of a connection.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// SetBuffers sets the sizes of the receive and of the send buffer of a socket, in bytes. The kernel
// takes twice as much. Connections inherit them from their listener.
func SetBuffers(c syscall.RawConn, size int) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} {
			if setErr == nil {
				setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, size)
			}
		}
	})
	if err != nil {
		return err
	}
	return setErr
}
