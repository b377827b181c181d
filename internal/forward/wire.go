package forward

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenabridge/galenabridge/internal/core"
	"github.com/galenabridge/galenabridge/internal/result"
)

// Texts of callers and endpoints are byte strings on the wire, since they need not be UTF-8.

// statementRequest is the wire format of core.RemoteRequest.
type statementRequest struct {
	Session        uint64                              `cbor:"1,keyasint"`
	Revision       uint64                              `cbor:"2,keyasint"`
	Database       cbor.ByteString                     `cbor:"3,keyasint"`
	Key            string                              `cbor:"4,keyasint,omitempty"`
	ID             cbor.ByteString                     `cbor:"5,keyasint,omitempty"`
	Kind           int                                 `cbor:"6,keyasint"`
	Name           cbor.ByteString                     `cbor:"7,keyasint,omitempty"`
	Text           cbor.ByteString                     `cbor:"8,keyasint,omitempty"`
	Writes         bool                                `cbor:"9,keyasint,omitempty"`
	Values         map[cbor.ByteString]cbor.ByteString `cbor:"10,keyasint,omitempty"`
	Prepared       *preparedStatement                  `cbor:"11,keyasint,omitempty"`
	RemainingMS    uint32                              `cbor:"12,keyasint"`
	InTransaction  bool                                `cbor:"13,keyasint,omitempty"`
	MayDecline     bool                                `cbor:"14,keyasint,omitempty"`
	LastCommit     position                            `cbor:"15,keyasint,omitzero"`
	LastCommitTerm uint64                              `cbor:"16,keyasint,omitempty"`
	Document       uint64                              `cbor:"17,keyasint,omitempty"`
}

type preparedStatement struct {
	Text   cbor.ByteString `cbor:"1,keyasint"`
	Writes bool            `cbor:"2,keyasint,omitempty"`
}

type position struct {
	Term   uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// statementResponse is the wire format of core.RemoteResponse.
type statementResponse struct {
	Declined       bool              `cbor:"1,keyasint,omitempty"`
	Unavailable    bool              `cbor:"16,keyasint,omitempty"`
	Rows           []cbor.ByteString `cbor:"2,keyasint,omitempty"`
	Signature      cbor.ByteString   `cbor:"3,keyasint,omitempty"`
	Code           result.Code       `cbor:"4,keyasint,omitempty"`
	Detail         cbor.ByteString   `cbor:"5,keyasint,omitempty"`
	RetryAfterMS   uint32            `cbor:"6,keyasint,omitempty"`
	State          int               `cbor:"7,keyasint,omitempty"`
	LastCommit     position          `cbor:"8,keyasint,omitzero"`
	LastCommitTerm uint64            `cbor:"9,keyasint,omitempty"`
	// The times are in milliseconds.
	RateMS       uint32          `cbor:"10,keyasint,omitempty"`
	SlotMS       uint32          `cbor:"11,keyasint,omitempty"`
	ConnectionMS uint32          `cbor:"12,keyasint,omitempty"`
	EndpointMS   uint32          `cbor:"13,keyasint,omitempty"`
	Attempts     int             `cbor:"14,keyasint,omitempty"`
	Endpoint     cbor.ByteString `cbor:"15,keyasint,omitempty"`
	Document     uint64          `cbor:"17,keyasint,omitempty"`
}

// transactionEnd asks a host to roll back the transaction of a session.
type transactionEnd struct {
	Session uint64 `cbor:"1,keyasint"`
}

// probe asks a host whether it runs statements for other hosts.
type probe struct{}

type probeAnswer struct {
	Accepts bool `cbor:"1,keyasint,omitempty"`
}

func encodeRequest(r core.RemoteRequest) statementRequest {
	out := statementRequest{
		Session: r.Session, Revision: r.Revision, Database: cbor.ByteString(r.Database), Key: r.Key,
		ID: cbor.ByteString(r.Statement.ID), Kind: int(r.Statement.Kind), Name: cbor.ByteString(r.Statement.Name),
		Text: cbor.ByteString(r.Statement.Text), Writes: r.Statement.Writes, RemainingMS: milliseconds(r.Remaining),
		InTransaction: r.InTransaction, MayDecline: r.MayDecline,
		LastCommit: position(r.LastCommit), LastCommitTerm: r.LastCommitTerm, Document: r.Document,
	}
	if len(r.Values) > 0 {
		out.Values = make(map[cbor.ByteString]cbor.ByteString, len(r.Values))
		for name, value := range r.Values {
			out.Values[cbor.ByteString(name)] = cbor.ByteString(value)
		}
	}
	if p := r.Prepared; p != nil {
		out.Prepared = &preparedStatement{Text: cbor.ByteString(p.Text), Writes: p.Writes}
	}
	return out
}

func decodeRequest(r statementRequest) core.RemoteRequest {
	out := core.RemoteRequest{
		Session: r.Session, Revision: r.Revision, Database: string(r.Database), Key: r.Key,
		Statement: core.Statement{ID: string(r.ID), Kind: core.Kind(r.Kind), Name: string(r.Name), Text: string(r.Text), Writes: r.Writes},
		Remaining: duration(r.RemainingMS), InTransaction: r.InTransaction, MayDecline: r.MayDecline,
		LastCommit: core.Position(r.LastCommit), LastCommitTerm: r.LastCommitTerm, Document: r.Document,
	}
	if len(r.Values) > 0 {
		out.Values = make(map[string]string, len(r.Values))
		for name, value := range r.Values {
			out.Values[string(name)] = string(value)
		}
	}
	if p := r.Prepared; p != nil {
		out.Prepared = &core.PreparedStatement{Text: string(p.Text), Writes: p.Writes}
	}
	return out
}

func encodeResponse(r core.RemoteResponse) statementResponse {
	out := statementResponse{
		Declined: r.Declined, Unavailable: r.Unavailable, Signature: cbor.ByteString(r.Signature), State: int(r.State),
		LastCommit: position(r.LastCommit), LastCommitTerm: r.LastCommitTerm, Document: r.Document,
		RateMS: milliseconds(r.Timings.Rate), SlotMS: milliseconds(r.Timings.Slot),
		ConnectionMS: milliseconds(r.Timings.Connection), EndpointMS: milliseconds(r.Timings.Endpoint),
		Attempts: r.Timings.Attempts, Endpoint: cbor.ByteString(r.Timings.EndpointID),
	}
	for _, row := range r.Rows {
		out.Rows = append(out.Rows, cbor.ByteString(row))
	}
	if r.Err != nil {
		out.Code, out.Detail, out.RetryAfterMS = r.Err.Code, cbor.ByteString(r.Err.Detail), milliseconds(r.Err.RetryAfter)
	}
	return out
}

func decodeResponse(r statementResponse) core.RemoteResponse {
	out := core.RemoteResponse{
		Declined: r.Declined, Unavailable: r.Unavailable, Signature: string(r.Signature), State: core.State(r.State),
		LastCommit: core.Position(r.LastCommit), LastCommitTerm: r.LastCommitTerm, Document: r.Document,
		Timings: core.RemoteTimings{
			Rate: duration(r.RateMS), Slot: duration(r.SlotMS), Connection: duration(r.ConnectionMS), Endpoint: duration(r.EndpointMS),
			Attempts: r.Attempts, EndpointID: string(r.Endpoint),
		},
	}
	for _, row := range r.Rows {
		out.Rows = append(out.Rows, string(row))
	}
	if r.Code != 0 {
		out.Err = &result.Error{Code: r.Code, Detail: string(r.Detail), RetryAfter: duration(r.RetryAfterMS)}
	}
	return out
}

func milliseconds(d time.Duration) uint32 { return uint32(max(d, 0).Milliseconds()) }

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
