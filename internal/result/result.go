// Package result defines the numbered result codes that galenabridge returns
// to callers, operators and peers, and maps each code to an SQLSTATE.
//
// The table in this package is the source of docs/RESULTS.md.
package result

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Code is a numbered result. Codes are part of the wire protocol and never reused.
type Code uint16

// Result codes. 1xxx: authentication and authorization; 2xxx: availability and
// limits; 3xxx: requests the caller must correct; 4xxx: release notes and
// control; 5xxx: messages between hosts.
const (
	BadKey            Code = 1001
	UnknownWorkspace  Code = 1002
	KeyWithdrawn      Code = 1003
	UnknownService    Code = 1004
	NotAllowed        Code = 1005
	TLSRequired       Code = 1006
	TooManyHandshakes Code = 1007

	NoConfigLease    Code = 2001
	NoPrimary        Code = 2002
	DeadlineInQueue  Code = 2003
	RateExceeded     Code = 2004
	QueueFull        Code = 2005
	OutcomeUnknown   Code = 2006
	EndpointLost     Code = 2007
	ShuttingDown     Code = 2008
	NoEndpoint       Code = 2009
	RetryBudgetSpent Code = 2010
	ServiceLeaving   Code = 2011

	EndpointBusy       Code = 2012
	ReplicaBehind      Code = 2013
	EndpointReadOnly   Code = 2014
	EndpointMismatch   Code = 2015
	TooManyConnections Code = 2016
	StatementFailed    Code = 2017
	StatementTimeout   Code = 2018
	TransactionAborted Code = 2019
	HostFull           Code = 2020
	TooManySessions    Code = 2021

	MalformedMessage    Code = 3001
	MessageTooLarge     Code = 3002
	UnknownClass        Code = 3003
	BadDeadline         Code = 3004
	BadStaleness        Code = 3005
	RequestIDReused     Code = 3006
	UnsupportedFeature  Code = 3007
	RequestAlreadyDone  Code = 3008
	SlowClient          Code = 3009
	UnknownSessionParam Code = 3010
	UnknownStatement    Code = 3011
	SessionTooLarge     Code = 3012
	AnswerTooLarge      Code = 3013

	NoteConflict   Code = 4001
	NoteInvalid    Code = 4002
	NoteOutOfOrder Code = 4003
	NoQuorum       Code = 4004
	DiskFull       Code = 4005
	NotLeader      Code = 4006
	TermConflict   Code = 4007
	GroupConflict  Code = 4008
	StoreCorrupt   Code = 4009
	StoreVersion   Code = 4010
	StoreInUse     Code = 4011
	OrderOvertaken Code = 4012

	PeerFleet       Code = 5001
	PeerVersion     Code = 5002
	PeerIncarnation Code = 5003
	PeerMalformed   Code = 5004
	PeerAuth        Code = 5005
)

// Info describes a result code for the documentation and for error messages.
type Info struct {
	Code     Code
	Name     string
	SQLState string
	// NotRun is true when a request that failed with this code had no effect, so that it
	// may be repeated.
	NotRun  bool
	Meaning string
	Action  string
}

// Error is a result code with a detail. It implements error.
type Error struct {
	Code   Code
	Detail string
	// RetryAfter is how long the caller should wait before a retry; zero when
	// not specified.
	RetryAfter time.Duration
}

// New returns an Error with a formatted detail.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	info := Lookup(e.Code)
	return fmt.Sprintf("GB%d %s: %s", e.Code, info.Name, e.Detail)
}

// CodeOf returns the code carried by err, or zero when it carries none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}
