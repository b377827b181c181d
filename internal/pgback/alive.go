package pgback

import (
	"net"
	"syscall"
	"time"
)

// checkAfter is how long a connection rests before it is checked on reuse.
const checkAfter = 200 * time.Millisecond

// alive reports whether an idle connection is still open and silent. It looks
// at the socket without waiting.
func (c *Conn) alive(now time.Time) bool {
	if now.Sub(c.idle) < checkAfter {
		return true
	}
	tcp, ok := c.net.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, recvErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = recvErr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
