package entry

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails the package when a test leaks a goroutine.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
