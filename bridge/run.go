package bridge

import (
	"context"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/supervise"
	"github.com/galenabridge/galenabridge/internal/watch"
)

// Run serves until ctx ends, then shuts down gracefully: the balancer's health check fails
// first, then requests in progress end, then the host deregisters. It returns nil after a
// graceful shutdown, and otherwise the error of the task that ended.
func (h *Host) Run(ctx context.Context) error {
	// The tasks outlive ctx, since a graceful shutdown needs them.
	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()

	var group run.Group
	group.Add(func() error {
		return h.supervisedTasks().Run(taskCtx)
	}, func(error) { stopTasks() })
	for _, task := range h.essentialTasks() {
		group.Add(func() error {
			return task.Run(taskCtx)
		}, func(error) { stopTasks() })
	}
	shutdownCtx, skipShutdown := context.WithCancel(ctx)
	group.Add(func() error {
		<-shutdownCtx.Done()
		if ctx.Err() == nil {
			return nil // another task has ended
		}
		return h.shutdown(taskCtx)
	}, func(error) { skipShutdown() })

	err := group.Run()
	if errors.Is(err, errShutdown) {
		return nil
	}
	return err
}

// errShutdown ends the task group after a graceful shutdown.
var errShutdown = errors.New("shut down")

// supervisedTasks returns the tree of tasks that are restarted when they fail.
func (h *Host) supervisedTasks() *supervise.Tree {
	tree := supervise.New(h.settings.Host, h.log)
	if h.control != nil {
		tree.Add("control", h.control)
		tree.Add("owner", h.owner)
	}
	tree.Add("subscriber", h.subscriber)
	if h.entry != nil {
		tree.Add("holder", h.holder)
		tree.Add("watcher", watch.NewWatcher(h.settings.Host, h.settings.Domain, h.view, h.subscriber.Observe))
	}
	return tree
}

// essentialTasks returns the tasks that own listeners. When one ends, so does the host, and
// the process must be restarted.
func (h *Host) essentialTasks() []supervise.Task {
	tasks := []supervise.Task{h.peers, h.admin}
	if h.entry != nil {
		h.accepting.Store(true)
		tasks = append(tasks, h.entry)
	}
	return tasks
}

// shutdown drains the entry role and deregisters the host.
func (h *Host) shutdown(ctx context.Context) error {
	h.log.Info("shutdown_begin")
	h.accepting.Store(false)
	h.drain(ctx)
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if err := h.subscriber.Leave(ctx); err != nil {
		h.log.Warn("deregister_failed", "err", err.Error())
	}
	h.log.Info("shutdown_end")
	return errShutdown
}

// transactionShare is the fraction of the drain timeout after which open transactions are rolled
// back: callers may take any time between their statements.
const transactionShare = 0.5

// lastAnswersTime is the time that the requests still in progress at the end of the drain timeout
// have to be answered without their outcome.
const lastAnswersTime = 500 * time.Millisecond

// drain lets requests in progress end, up to the drain timeout of the entry role, and transactions
// up to transactionShare of it. Requests that take longer are answered before the process ends.
func (h *Host) drain(ctx context.Context) {
	if h.entry == nil {
		return
	}
	timeout := time.Duration(h.settings.Entry.DrainTimeout)
	transactions := time.Duration(float64(timeout) * transactionShare)
	if h.drainFor(ctx, transactions) == nil {
		return
	}
	h.entry.AbortTransactions()
	if h.drainFor(ctx, timeout-transactions) == nil {
		return
	}
	h.entry.InterruptRequests()
	if err := h.drainFor(ctx, lastAnswersTime); err != nil {
		h.log.Warn("drain_incomplete", "err", err.Error())
	}
}

// drainFor waits until all callers have left, for at most the timeout.
func (h *Host) drainFor(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return h.entry.Drain(ctx)
}
