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
	err  error
}

// output collects what a process prints. It is safe for concurrent use.
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

// startProcess starts the program.
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

// Output returns what the process has printed.
func (p *Process) Output() string {
	p.out.mu.Lock()
	defer p.out.mu.Unlock()
	return p.out.buf.String()
}

// Alive reports whether the process has not ended.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process without warning.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.done
}

// Terminate asks the process to shut down.
func (p *Process) Terminate() error {
	return errors.Wrapf(p.cmd.Process.Signal(syscall.SIGTERM), "stop %s", p.Name)
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns how the process ended; it is valid once Done is closed.
func (p *Process) Err() error { return p.err }
