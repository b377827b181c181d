package control

import "time"

// Intervals of registrations.
const (
	// registerRetryInterval is the time between a failed attempt to register and the next
	// one, a few round trips and less than an election takes.
	registerRetryInterval = 100 * time.Millisecond
	// registerTimeout bounds an attempt: after a power failure many hosts register at once.
	registerTimeout = time.Second
)

// registration decides when a host proposes its registration. It answers the load of a fleet
// that comes back at once: each attempt costs an entry of the log and a push to all hosts, so
// that there is one at a time, and a control host waits with it for a leader.
type registration struct {
	// control is the control host of the latest attempt.
	control string
	begun   time.Time
	// failedAt is when the attempt failed, zero while it is in progress or succeeded. The
	// registration shows in the agreed state soon after it succeeded.
	failedAt time.Time
}

// due reports whether a host that the state does not contain should propose its registration
// to its upstream now.
func (r *registration) due(now time.Time, upstream string) bool {
	switch {
	case r.begun.IsZero(), now.Sub(r.begun) > registerTimeout:
		return true
	case r.control != upstream:
		return now.Sub(r.begun) >= registerRetryInterval
	case r.failedAt.IsZero():
		return false
	}
	return now.Sub(r.failedAt) >= registerRetryInterval
}

// begin records an attempt.
func (r *registration) begin(now time.Time, upstream string) {
	*r = registration{control: upstream, begun: now}
}

// registrationFailedEvent reports that the attempt that began at a time has failed.
type registrationFailedEvent struct {
	begun time.Time
}

func (e registrationFailedEvent) handle(s *Subscriber, now time.Time) {
	if s.registration.begun.Equal(e.begun) {
		s.registration.failedAt = now
	}
}
