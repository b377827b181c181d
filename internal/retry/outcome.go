// Package retry decides what may follow a request that got no good answer:
// whether it may run again, whether a refusal may say that it was not run, and
// how many retries the load allows. The package performs no I/O, reads no clock
// and takes its randomness from the caller.
package retry

import "github.com/galenabridge/galenabridge/internal/result"

// Outcome is what is known of a request.
type Outcome int

// Outcomes. A request starts as NotSent.
const (
	// NotSent: no byte of it has reached an endpoint, so it has not run.
	NotSent Outcome = iota
	// Sent: it may be running.
	Sent
	// Answered: the endpoint has answered it.
	Answered
	// Unknown: it was sent, and its answer can no longer arrive or count.
	Unknown
	// NotRun: it was sent, and the endpoint has proved that it had no effect.
	NotRun
)

// Event is something that happened to a request.
type Event int

// Events.
const (
	// BytesSent: at least one byte may have reached the endpoint.
	BytesSent Event = iota
	// AnswerReceived: the answer is complete.
	AnswerReceived
	// RefusedReadOnly: the endpoint refused a write with SQLSTATE 25006.
	RefusedReadOnly
	// ConnectionLost: the connection failed, or the term ended before the answer came.
	ConnectionLost
)

// Request is a request on its way. The zero value is a write that is not sent.
type Request struct {
	// ReadOnly: the caller declared that it only reads, or it ran on a replica.
	ReadOnly bool
	// InTransaction: earlier requests of the same transaction have run.
	InTransaction bool
	// Streamed: part of the answer has been passed on to the caller.
	Streamed bool
	// HasID: it carries a request id, so that a marker tells whether it ran.
	HasID   bool
	outcome Outcome
	failed  bool
}

// Outcome returns what is known of the request.
func (r *Request) Outcome() Outcome { return r.outcome }

// Apply takes in an event. Events that come too late change nothing: an answer
// that arrives after the request was given up does not count.
func (r *Request) Apply(ev Event) {
	switch {
	case r.outcome == NotSent && ev == BytesSent:
		r.outcome = Sent
	case r.outcome == NotSent && ev == ConnectionLost:
		r.failed = true
	case r.outcome == Sent && ev == AnswerReceived:
		r.outcome = Answered
	case r.outcome == Sent && ev == RefusedReadOnly:
		r.outcome = NotRun
	case r.outcome == Sent && ev == ConnectionLost:
		r.outcome = Unknown
	}
}

// Action is what may follow.
type Action int

// Actions.
const (
	// Proceed: send the request, or go on waiting for its answer.
	Proceed Action = iota
	// ForwardAnswer: pass the answer on.
	ForwardAnswer
	// RetryElsewhere: send it again, if possible to another endpoint.
	RetryElsewhere
	// RetryOnPrimary: send it again to the primary.
	RetryOnPrimary
	// LookUpMarker: look the request id up before anything else.
	LookUpMarker
	// Report: tell the caller the code that Code returns.
	Report
)

// Next returns what may follow the events so far.
func (r *Request) Next() Action {
	switch r.outcome {
	case NotSent:
		return r.nextNotSent()
	case Answered:
		return ForwardAnswer
	case NotRun:
		if r.InTransaction || r.Streamed {
			return Report
		}
		return RetryOnPrimary
	case Unknown:
		return r.nextUnknown()
	default:
		return Proceed
	}
}

func (r *Request) nextNotSent() Action {
	switch {
	case !r.failed:
		return Proceed
	case r.InTransaction:
		return Report
	default:
		return RetryElsewhere
	}
}

func (r *Request) nextUnknown() Action {
	switch {
	case r.InTransaction || r.Streamed:
		return Report
	case r.ReadOnly:
		return RetryElsewhere
	case r.HasID:
		return LookUpMarker
	default:
		return Report
	}
}

// Reset makes the request ready for another attempt.
func (r *Request) Reset() {
	r.outcome, r.failed = NotSent, false
}

// Code returns the truthful result code when no further attempt is made. It is
// zero for an answered request.
func (r *Request) Code() result.Code {
	switch {
	case r.outcome == Answered:
		return 0
	case r.InTransaction && r.outcome != Unknown:
		return result.EndpointLost
	case r.outcome == NotSent || r.outcome == NotRun:
		return result.NoEndpoint
	case r.ReadOnly && !r.InTransaction:
		return result.EndpointLost
	default:
		return result.OutcomeUnknown
	}
}
