package localfleet

import (
	"bytes"
	"os/exec"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Process is a process of the fleet.
type Process struct {
	Name string
	cmd  *exec.Cmd
	out  output
	done chan struct{}
	err  error // valid once done is closed
}

// output collects the standard output and standard error of a process. It is safe
// for concurrent use.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

// startProcess starts the program and waits for its end in the background.
func startProcess(program, name string, args []string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = &p.out, &p.out
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Output returns the output of the process so far.
func (p *Process) Output() string {
	p.out.mu.Lock()
	defer p.out.mu.Unlock()
	return p.out.buf.String()
}

// Alive reports whether the process is still running.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL and waits for the end of the process.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // fails only if the process has ended
	<-p.done
}

// Terminate sends SIGTERM, which requests a graceful shutdown, and does not wait.
func (p *Process) Terminate() error {
	return errors.Wrapf(p.cmd.Process.Signal(syscall.SIGTERM), "send SIGTERM to %s", p.Name)
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns nil if the process exited with status 0, or else the reason of its
// end. It must only be called after Done is closed.
func (p *Process) Err() error { return p.err }
