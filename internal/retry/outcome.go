// Package retry decides how to continue after a failed request: whether it may be
// retried, whether the result code may state that it was not run, and how many
// retries the load allows. The package performs no I/O, reads no clock and takes
// its randomness from the caller.
package retry

import "github.com/galenabridge/galenabridge/internal/result"

// Outcome is what is known about the execution of a request.
type Outcome int

// Outcomes. A request starts as NotSent.
const (
	// NotSent: no byte of it has reached an endpoint, so it has not run.
	NotSent Outcome = iota
	// Sent: it may be running.
	Sent
	// Answered: the endpoint has answered it.
	Answered
	// Unknown: it was sent, and its answer was lost or must be ignored.
	Unknown
	// NotRun: it was sent, and the endpoint's refusal proves that it had no effect.
	NotRun
)

// Event is an event in the life of a request.
type Event int

// Events.
const (
	// BytesSent: at least one byte may have reached the endpoint.
	BytesSent Event = iota
	// AnswerReceived: the answer has been received completely.
	AnswerReceived
	// RefusedReadOnly: the endpoint refused a write with SQLSTATE 25006.
	RefusedReadOnly
	// ConnectionLost: the connection failed, or the term ended before the answer arrived.
	ConnectionLost
)

// Request is the state machine of a request. The zero value is a write that has not
// been sent. Answered, Unknown and NotRun are final until Reset. A retry is allowed only if
// the request has certainly not run or only reads; LookUpMarker leaves the decision to the
// marker.
type Request struct {
	// ReadOnly: the caller declared that it only reads, or it runs on a replica.
	ReadOnly bool
	// InTransaction: earlier requests of the same transaction have run.
	InTransaction bool
	// Streamed: part of the answer has been forwarded to the caller.
	Streamed bool
	// HasID: it carries a request ID, so that a marker shows whether it ran.
	HasID          bool
	outcome        Outcome
	lostBeforeSend bool
}

// Outcome returns what is known about the execution of the request.
func (r *Request) Outcome() Outcome { return r.outcome }

// Apply applies an event. Late events have no effect: an answer that arrives after
// the outcome became Unknown is ignored.
func (r *Request) Apply(ev Event) {
	switch {
	case r.outcome == NotSent && ev == BytesSent:
		r.outcome = Sent
	case r.outcome == NotSent && ev == ConnectionLost:
		r.lostBeforeSend = true
	case r.outcome == Sent && ev == AnswerReceived:
		r.outcome = Answered
	case r.outcome == Sent && ev == RefusedReadOnly:
		r.outcome = NotRun
	case r.outcome == Sent && ev == ConnectionLost:
		r.outcome = Unknown
	}
}

// Action is the next step for a request.
type Action int

// Actions.
const (
	// Proceed: send the request, or keep waiting for its answer.
	Proceed Action = iota
	// ForwardAnswer: forward the answer to the caller.
	ForwardAnswer
	// RetryElsewhere: send it again, if possible to another endpoint.
	RetryElsewhere
	// RetryOnPrimary: send it again to the primary.
	RetryOnPrimary
	// LookUpMarker: look up the marker of the request ID before anything else.
	LookUpMarker
	// ReportCode: return the result code from Code to the caller.
	ReportCode
)

// Next returns the action to take after the events so far.
func (r *Request) Next() Action {
	switch r.outcome {
	case NotSent:
		return r.nextNotSent()
	case Answered:
		return ForwardAnswer
	case NotRun:
		if r.InTransaction || r.Streamed {
			return ReportCode
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
	case !r.lostBeforeSend:
		return Proceed
	case r.InTransaction:
		return ReportCode
	default:
		return RetryElsewhere
	}
}

func (r *Request) nextUnknown() Action {
	switch {
	case r.InTransaction || r.Streamed:
		return ReportCode
	case r.ReadOnly:
		return RetryElsewhere
	case r.HasID:
		return LookUpMarker
	default:
		return ReportCode
	}
}

// Reset prepares the request for another attempt.
func (r *Request) Reset() {
	r.outcome, r.lostBeforeSend = NotSent, false
}

// Code returns the result code to report when no further attempt is made. It is zero
// for an answered request. A code that states that the request was not run is
// returned only if that is certain.
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
