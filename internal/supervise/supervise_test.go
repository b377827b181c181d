package supervise

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

func TestTreeRestartsOnlyFailedTask(t *testing.T) {
	defer goleak.VerifyNone(t)
	tree := New("root", log.New(io.Discard))
	tree.backoff = func(context.Context, time.Duration) {}

	siblingStarts := 0
	started := make(chan struct{}, 8)
	tree.Add("sibling", Func(func(ctx context.Context) error {
		siblingStarts++
		started <- struct{}{}
		<-ctx.Done()
		return nil
	}))
	failures := 0
	recovered := make(chan struct{})
	tree.Add("failing", Func(func(ctx context.Context) error {
		failures++
		switch failures {
		case 1:
			return errors.New("first failure")
		case 2:
			panic("second failure")
		}
		close(recovered)
		<-ctx.Done()
		return nil
	}))

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- tree.Run(ctx) }()
	<-recovered
	<-started // otherwise the tree may be stopped before the sibling starts
	cancel()
	<-done
	if siblingStarts != 1 {
		t.Errorf("sibling started %d times, want once", siblingStarts)
	}
	if failures != 3 {
		t.Errorf("failing task ran %d times, want 3", failures)
	}
}

func TestTreeNestedStopsWithParent(t *testing.T) {
	defer goleak.VerifyNone(t)
	inner := New("inner", log.New(io.Discard))
	started := make(chan struct{})
	stopped := make(chan struct{})
	inner.Add("leaf", Func(func(ctx context.Context) error {
		close(started)
		<-ctx.Done()
		close(stopped)
		return ctx.Err()
	}))
	outer := New("outer", log.New(io.Discard))
	outer.Add("inner", inner)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- outer.Run(ctx) }()
	<-started
	cancel()
	<-done
	<-stopped
}
