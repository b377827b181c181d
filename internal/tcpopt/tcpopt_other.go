//go:build !linux

package tcpopt

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing on systems without a TCP user timeout.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }

// SetBuffers leaves the buffers as they are.
func SetBuffers(syscall.RawConn, int) error { return nil }
