//go:build fleet

package integration

import (
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// TestNetworkCutHoldsTrafficUntilHealed guards against a partition that lets data through, loses it
// or closes the connection. The tests that inject partitions would then check nothing.
func TestNetworkCutHoldsTrafficUntilHealed(t *testing.T) {
	backend, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer backend.Close()
	go func() {
		for {
			conn, err := backend.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }() // fails when the connection is closed
		}
	}()
	n := newNetwork(t)
	n.register("caller", os.Getpid())
	conn, err := net.Dial("tcp", n.forward("server", backend.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	echo := func() string {
		buf := make([]byte, 1)
		if _, err := io.ReadFull(conn, buf); err != nil {
			t.Fatal(err)
		}
		return string(buf)
	}
	send := func(text string) {
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	send("a")
	if got := echo(); got != "a" {
		t.Fatalf("echo before the cut: %q, want a", got)
	}
	n.cut("caller", "server", true)
	send("b")
	if err := conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 1)); n != 0 || !os.IsTimeout(err) {
		t.Fatalf("read over a cut link: %d bytes, %v; want a timeout", n, err)
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	n.heal()
	if got := echo(); got != "b" {
		t.Fatalf("echo after the heal: %q, want b", got)
	}
}
