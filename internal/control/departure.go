package control

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/result"
)

// controlHosts returns the number of registered control hosts. One that stops for good removes its
// registration, one that is down keeps it.
func controlHosts(s *agreed.State) int {
	count := 0
	for _, h := range s.Hosts {
		if h.Control {
			count++
		}
	}
	return count
}

// leaveGroupEvent announces to the leader that the process is about to stop.
type leaveGroupEvent struct {
	done chan struct{}
}

func (e leaveGroupEvent) handle(h *Host, _ time.Time) {
	h.node.Leave()
	h.departures = append(h.departures, e.done)
	h.finishDepartures()
}

// finishDepartures ends the calls of LeaveGroup once the group counts on this host no more.
func (h *Host) finishDepartures() {
	if len(h.departures) == 0 || !h.node.MayStop() {
		return
	}
	for _, done := range h.departures {
		close(done)
	}
	h.departures = nil
}

// LeaveGroup announces that the process is about to stop and returns once it may: the group has one
// voter less, or needs all that it has. It fails with the error of ctx if that takes longer, and the
// group then finds the host silent.
func (h *Host) LeaveGroup(ctx context.Context) error {
	if !h.opts.OpenMembership {
		return nil
	}
	done := make(chan struct{})
	if !h.post(leaveGroupEvent{done: done}) {
		return result.New(result.QueueFull, "%v", errQueueFull)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
