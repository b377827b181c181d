//go:build fleet

package integration

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// waitTimeout bounds the wait for any condition and each step of a test.
const waitTimeout = 90 * time.Second

// program is the path of the built galenabridge program.
var program string

var (
	long = flag.Bool("long", false, "run more rounds in TestHealthyFleet")
	seed = flag.Uint64("seed", 1, "seed of the random faults")
	soak = flag.Duration("soak", 0, "duration of the run with random faults; zero skips it")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "galenabridge-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "galenabridge")
	build := exec.Command("go", "build", "-o", program, "../../cmd/galenabridge")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// tailBytes is the length of the process output that a failed test logs.
const tailBytes = 4000

// tail returns the last tailBytes of a text.
func tail(text string) string {
	if len(text) > tailBytes {
		return "..." + text[len(text)-tailBytes:]
	}
	return text
}

// eventually polls condition until it is true and fails the test after waitTimeout. what describes
// the condition in the failure message.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: condition not met within %s", what, waitTimeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
