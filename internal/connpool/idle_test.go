package connpool

import (
	"net"
	"testing"
	"time"
)

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
	}()
	near, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far = <-accepted
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

// TestIsIdleWithConcurrentReader guards against a check that blocks until a pending read
// ends. A shutdown checks every idle session while its reader waits for the next request.
func TestIsIdleWithConcurrentReader(t *testing.T) {
	near, far := tcpPair(t)
	go func() { _, _ = near.Read(make([]byte, 1)) }()
	reported := make(chan bool, 1)
	go func() {
		time.Sleep(50 * time.Millisecond) // lets the reader start; either order must work
		reported <- IsIdle(near)
	}()
	select {
	case idle := <-reported:
		if !idle {
			t.Error("IsIdle reports false for an idle connection")
		}
	case <-time.After(time.Minute):
		t.Fatal("IsIdle did not return while a read is pending")
	}
	_ = far
}

func TestIsIdleClosedConnection(t *testing.T) {
	near, far := tcpPair(t)
	_ = far.Close()
	for IsIdle(near) { // until the end of the stream arrives
		time.Sleep(time.Millisecond)
	}
}
