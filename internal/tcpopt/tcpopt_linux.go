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
