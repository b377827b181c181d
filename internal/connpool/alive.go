package connpool

import (
	"net"
	"syscall"
)

// IsIdle reports whether a TCP connection is open and has nothing to read. It
// looks at the socket without waiting, also while another task reads from it.
// Other connections count as quiet.
func IsIdle(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var buf [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, recvErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = recvErr == syscall.EAGAIN
	})
	return err == nil && quiet
}
