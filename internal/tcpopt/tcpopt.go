// Package tcpopt sets options of TCP connections that package net does not offer.
package tcpopt

import (
	"net"
	"syscall"
	"time"
)

// DialControl returns a function for net.Dialer.Control that limits how long sent bytes of
// a connection may stay unacknowledged before the kernel ends it. The far end is then cut
// off or without power. Otherwise the kernel retransmits at growing intervals, and finds out
// only seconds after the far end is back that the connection is lost.
func DialControl(unackedTimeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, unackedTimeout) }
}

// Listener is a TCP listener whose connections have the limit of DialControl.
type Listener struct {
	*net.TCPListener
	UnackedTimeout time.Duration
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	// An error means that the connection is closed already, which its first use reports.
	if raw, err := conn.SyscallConn(); err == nil {
		_ = setUserTimeout(raw, l.UnackedTimeout)
	}
	return conn, nil
}
