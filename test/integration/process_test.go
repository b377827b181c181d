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

// patience bounds every wait for a condition.
const patience = 90 * time.Second

// program is the path of the built program.
var program string

var (
	long = flag.Bool("long", false, "run the long tests too")
	seed = flag.Uint64("seed", 1, "seed of the random faults")
	soak = flag.Duration("soak", 0, "length of the run with random faults; zero leaves it out")
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

const tailBytes = 4000

func tail(text string) string {
	if len(text) > tailBytes {
		return "..." + text[len(text)-tailBytes:]
	}
	return text
}

// eventually waits until condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, patience)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
