package gate

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/admit"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// TestEarlyRefusalTellsRetryTime guards against an early refusal that is not counted, has no retry
// time, or has a code that does not say that the request was not run.
func TestEarlyRefusalTellsRetryTime(t *testing.T) {
	var early note.Class
	e := &endpointQueue{onEarly: func(class note.Class) { early = class }}
	decision := &refusal{admit.Refuse{Code: result.DeadlineInQueue, Early: true, RetryAfter: time.Second}}
	_, err := e.finishWait(1, SlotRequest{Class: note.ClassBulk}, decision)
	var refused *result.Error
	if !errors.As(err, &refused) || refused.RetryAfter != time.Second || !result.Lookup(refused.Code).NotRun || early != note.ClassBulk {
		t.Errorf("refused with %v, class %q counted", err, early)
	}
}
