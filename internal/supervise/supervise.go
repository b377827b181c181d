// Package supervise runs trees of tasks. A task that fails is restarted with
// exponential backoff; its siblings keep running. A tree is itself a task, so
// trees can be nested.
package supervise

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"
)

// Restart backoff of a failing task.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
	// stableRunTime is the run time after which the backoff of a task is reset.
	stableRunTime = 30 * time.Second
)

// Task is a long-running activity. Run blocks until ctx ends and releases all resources of
// the task before it returns. A return before ctx ends is a failure, also with a nil error.
type Task interface {
	Run(ctx context.Context) error
}

// Func adapts a function to a Task.
type Func func(ctx context.Context) error

// Run implements Task.
func (f Func) Run(ctx context.Context) error { return f(ctx) }

// Tree is a named group of tasks.
type Tree struct {
	name     string
	log      *log.Logger
	children []child
	// backoff waits for d or until ctx ends; tests replace it.
	backoff func(ctx context.Context, d time.Duration)
}

type child struct {
	name string
	task Task
}

// New returns an empty tree.
func New(name string, logger *log.Logger) *Tree {
	return &Tree{name: name, log: logger, backoff: sleep}
}

// Add appends a task. Tasks are started in the order of Add, run concurrently and are all
// stopped when the tree's context ends. Add must not be called after Run.
func (t *Tree) Add(name string, task Task) {
	t.children = append(t.children, child{name: t.name + "/" + name, task: task})
}

// Run implements Task. It runs the tasks until ctx ends and returns once all of them have
// returned.
func (t *Tree) Run(ctx context.Context) error {
	var group run.Group
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, c := range t.children {
		group.Add(func() error {
			t.keepRunning(ctx, c)
			return nil
		}, func(error) {
			cancel()
		})
	}
	group.Add(func() error {
		<-ctx.Done()
		return ctx.Err()
	}, func(error) {
		cancel()
	})
	return group.Run()
}

// keepRunning runs c, and again after each failure, until ctx ends. The wait between runs
// doubles from minBackoff to maxBackoff and is reset after a run of stableRunTime.
func (t *Tree) keepRunning(ctx context.Context, c child) {
	wait := minBackoff
	for ctx.Err() == nil {
		start := time.Now()
		err := runProtected(ctx, c.task)
		if ctx.Err() != nil {
			return
		}
		if time.Since(start) >= stableRunTime {
			wait = minBackoff
		}
		t.log.Error("task_failed", "task", c.name, "err", err.Error(), "restart_in", wait)
		t.backoff(ctx, wait)
		wait = min(2*wait, maxBackoff)
	}
}

// runProtected runs the task and converts a panic or a nil error into an error.
func runProtected(ctx context.Context, task Task) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = errors.Errorf("panic: %v", v)
		}
	}()
	err = task.Run(ctx)
	if err == nil {
		err = errors.New("task returned before it was stopped")
	}
	return err
}

// Recover ends a panic of the calling goroutine and logs it. It must be deferred. It is for
// goroutines that serve one message, statement or connection: what they served is lost, and the
// process goes on.
func Recover(logger *log.Logger, task string) {
	if v := recover(); v != nil {
		logger.Error("task_panicked", "task", task, "cause", v, "stack", string(debug.Stack()))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
