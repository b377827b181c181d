//go:build !linux

package tcpopt

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing on systems without a TCP user timeout.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
