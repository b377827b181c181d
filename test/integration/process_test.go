//go:build fleet

package integration

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
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

// output collects what a process prints. It is safe for concurrent use.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// process is a process of the fleet.
type process struct {
	name string
	cmd  *exec.Cmd
	out  *output
	done chan struct{}
	err  error
}

// startProcess starts the program as a node of the network.
func startProcess(t *testing.T, n *network, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(program, args...), out: &output{}, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	n.register(name, p.cmd.Process.Pid)
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("--- %s\n%s", name, tail(p.out.String()))
		}
	})
	return p
}

const tailBytes = 4000

func tail(text string) string {
	if len(text) > tailBytes {
		return "..." + text[len(text)-tailBytes:]
	}
	return text
}

// kill ends the process without warning.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.done
}

// alive reports whether the process has not ended.
func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// stop asks the process to shut down and waits for its end.
func (p *process) stop(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatalf("stop %s: %v", p.name, err)
	}
	select {
	case <-p.done:
		if p.err != nil {
			t.Errorf("%s: %v", p.name, p.err)
		}
	case <-time.After(patience):
		t.Fatalf("%s did not shut down within %s", p.name, patience)
	}
}

// Ports are taken below the range that the system gives to outgoing connections.
const (
	firstPort = 12000
	portCount = 18000
)

// freeAddr returns a loopback address that nothing listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		ln.Close()
		return addr
	}
	t.Fatal("no free port")
	return ""
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
