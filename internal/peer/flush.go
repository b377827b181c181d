package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// flushPoll is the time between two looks at what is left to send.
const flushPoll = 2 * time.Millisecond

// Flush waits until the requests of callers that are being handled here have been replied to and
// all queued messages have been written or dropped. A process that ends before loses replies to
// requests that have run.
func (n *Node) Flush(ctx context.Context) error {
	for !n.flushed() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "messages to peers are still queued")
		case <-time.After(flushPoll):
		}
	}
	return nil
}

func (n *Node) flushed() bool {
	if len(n.callerSlots) > 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if !l.queue.idle() {
			return false
		}
	}
	return true
}
