package tcpopt

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestBothEndsLimitUnacknowledgedBytes checks the option at both ends of a connection: the
// end that notices a loss is the one that sends.
func TestBothEndsLimitUnacknowledgedBytes(t *testing.T) {
	const limit = 700 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialer := net.Dialer{Control: DialControl(limit)}
	dialed, err := dialer.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	accepted, err := Listener{TCPListener: listener.(*net.TCPListener), UnackedTimeout: limit}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	for name, conn := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		raw, err := conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		var got int
		if err := raw.Control(func(fd uintptr) {
			got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		}); err != nil || got != int(limit.Milliseconds()) {
			t.Errorf("%s connection: user timeout %d ms, error %v, want %d ms", name, got, err, limit.Milliseconds())
		}
	}
}
