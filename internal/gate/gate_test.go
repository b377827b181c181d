package gate

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/admit"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// TestEarlyRefusalTellsRetryTime guards against an early refusal without a retry time, or with a
// code that does not say that the request was not run. 900 requests wait for one slot, which
// serves one in 10 ms, with a target of 3 s.
func TestEarlyRefusalTellsRetryTime(t *testing.T) {
	const requests, target = 900, 3 * time.Second
	g := New(admit.PolicyFair, func(string, string) int { return 1 }, nil)
	early := make(chan note.Class, requests)
	g.OnEarlyRefusal(func(class note.Class) { early <- class })
	ctx, cancel := context.WithTimeout(context.Background(), target)
	defer cancel()
	deadline, _ := ctx.Deadline()
	refusals := make(chan error, requests)
	for range requests {
		go func() {
			release, err := g.AcquireSlot(ctx, SlotRequest{Endpoint: "e", Workspace: "w", Class: note.ClassInteractive, Deadline: deadline, Target: target})
			if err == nil {
				time.Sleep(10 * time.Millisecond) // the statement runs
				release()
			}
			refusals <- err
		}()
	}
	told := 0
	for range requests {
		var refused *result.Error
		if !errors.As(<-refusals, &refused) {
			continue
		}
		if refused.Code != result.DeadlineInQueue || !result.Lookup(refused.Code).NotRun {
			t.Fatalf("refused with %v", refused)
		}
		if refused.RetryAfter > 0 {
			told++
		}
	}
	if len(early) == 0 || told < len(early) {
		t.Errorf("%d refused early, %d of the refusals tell when to retry; want some, and all of them", len(early), told)
	}
}
