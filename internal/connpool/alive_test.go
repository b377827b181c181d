package connpool

import (
	"net"
	"testing"
	"time"
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (near, far net.Conn) {
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

// TestQuietDoesNotWaitForAReader asks while another task reads, which a shutdown
// does for every idle session.
func TestQuietDoesNotWaitForAReader(t *testing.T) {
	near, far := pair(t)
	go func() { _, _ = near.Read(make([]byte, 1)) }()
	answered := make(chan bool, 1)
	go func() {
		time.Sleep(50 * time.Millisecond) // lets the reader begin; either order must work
		answered <- IsIdle(near)
	}()
	select {
	case quiet := <-answered:
		if !quiet {
			t.Error("an idle connection is not quiet")
		}
	case <-time.After(time.Minute):
		t.Fatal("waits for the reader")
	}
	_ = far
}

func TestAClosedConnectionIsNotQuiet(t *testing.T) {
	near, far := pair(t)
	_ = far.Close()
	for IsIdle(near) { // until the end of the stream arrives
		time.Sleep(time.Millisecond)
	}
}
