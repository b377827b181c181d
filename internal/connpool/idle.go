package connpool

import (
	"net"
	"syscall"
)

// IsIdle reports whether a TCP connection is open and has no unread data. It peeks at
// the socket without blocking, and may be called while another goroutine reads from
// the connection. It returns true for connections other than TCP.
func IsIdle(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var buf [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, recvErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = recvErr == syscall.EAGAIN
	})
	return err == nil && idle
}
