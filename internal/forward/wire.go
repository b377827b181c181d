package forward

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/core"
	"github.com/galenabridge/galenabridge/internal/result"
)

// Texts of callers and endpoints are byte strings on the wire, since they need not be UTF-8.

// statementRequest is the wire format of core.RemoteRequest.
type statementRequest struct {
	Session       uint64                              `cbor:"1,keyasint"`
	Revision      uint64                              `cbor:"2,keyasint"`
	Database      cbor.ByteString                     `cbor:"3,keyasint"`
	Key           string                              `cbor:"4,keyasint,omitempty"`
	ID            cbor.ByteString                     `cbor:"5,keyasint,omitempty"`
	Kind          int                                 `cbor:"6,keyasint"`
	Name          cbor.ByteString                     `cbor:"7,keyasint,omitempty"`
	Text          cbor.ByteString                     `cbor:"8,keyasint,omitempty"`
	Writes        bool                                `cbor:"9,keyasint,omitempty"`
	Values        map[cbor.ByteString]cbor.ByteString `cbor:"10,keyasint,omitempty"`
	Prepared      *preparedStatement                  `cbor:"11,keyasint,omitempty"`
	RemainingMS   uint32                              `cbor:"12,keyasint"`
	InTransaction bool                                `cbor:"13,keyasint,omitempty"`
	MayDecline    bool                                `cbor:"14,keyasint,omitempty"`
	// The commit in the service of the route. Earlier builds know only LastCommit and LastCommitTerm.
	LastCommit       position        `cbor:"15,keyasint,omitzero"`
	LastCommitTerm   uint64          `cbor:"16,keyasint,omitempty"`
	Document         uint64          `cbor:"17,keyasint,omitempty"`
	CommitService    cbor.ByteString `cbor:"18,keyasint,omitempty"`
	LastCommitLife   uint64          `cbor:"19,keyasint,omitempty"`
	LastCommitAgeMS  uint32          `cbor:"20,keyasint,omitempty"`
	OtherCommits     []sessionCommit `cbor:"21,keyasint,omitempty"`
	CommitsForgotten bool            `cbor:"22,keyasint,omitempty"`
}

// sessionCommit is the wire format of core.SessionCommit.
type sessionCommit struct {
	Service  cbor.ByteString `cbor:"1,keyasint"`
	Life     uint64          `cbor:"2,keyasint,omitempty"`
	Term     uint64          `cbor:"3,keyasint,omitempty"`
	Position position        `cbor:"4,keyasint,omitzero"`
	AgeMS    uint32          `cbor:"5,keyasint,omitempty"`
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
	// CommitService is empty in responses of earlier builds, and if there is no commit.
	CommitService   cbor.ByteString `cbor:"18,keyasint,omitempty"`
	LastCommitLife  uint64          `cbor:"19,keyasint,omitempty"`
	LastCommitAgeMS uint32          `cbor:"20,keyasint,omitempty"`
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
		Document: r.Document, CommitsForgotten: r.CommitsForgotten,
	}
	if r.Commit != nil {
		c := encodeCommit(*r.Commit)
		out.CommitService, out.LastCommit, out.LastCommitTerm, out.LastCommitLife, out.LastCommitAgeMS = c.Service, c.Position, c.Term, c.Life, c.AgeMS
	}
	for _, commit := range r.OtherCommits {
		out.OtherCommits = append(out.OtherCommits, encodeCommit(commit))
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
		Document: r.Document, CommitsForgotten: r.CommitsForgotten,
	}
	if r.LastCommitTerm != 0 {
		c := decodeCommit(sessionCommit{Service: r.CommitService, Life: r.LastCommitLife, Term: r.LastCommitTerm, Position: r.LastCommit, AgeMS: r.LastCommitAgeMS})
		out.Commit = &c
	}
	for _, c := range r.OtherCommits {
		out.OtherCommits = append(out.OtherCommits, decodeCommit(c))
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
		Document: r.Document,
		RateMS:   milliseconds(r.Timings.Rate), SlotMS: milliseconds(r.Timings.Slot),
		ConnectionMS: milliseconds(r.Timings.Connection), EndpointMS: milliseconds(r.Timings.Endpoint),
		Attempts: r.Timings.Attempts, Endpoint: cbor.ByteString(r.Timings.EndpointID),
	}
	if r.Commit != nil {
		c := encodeCommit(*r.Commit)
		out.CommitService, out.LastCommit, out.LastCommitTerm, out.LastCommitLife, out.LastCommitAgeMS = c.Service, c.Position, c.Term, c.Life, c.AgeMS
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
		Document: r.Document,
		Timings: core.RemoteTimings{
			Rate: duration(r.RateMS), Slot: duration(r.SlotMS), Connection: duration(r.ConnectionMS), Endpoint: duration(r.EndpointMS),
			Attempts: r.Attempts, EndpointID: string(r.Endpoint),
		},
	}
	if r.LastCommitTerm != 0 {
		c := decodeCommit(sessionCommit{Service: r.CommitService, Life: r.LastCommitLife, Term: r.LastCommitTerm, Position: r.LastCommit, AgeMS: r.LastCommitAgeMS})
		out.Commit = &c
	}
	for _, row := range r.Rows {
		out.Rows = append(out.Rows, string(row))
	}
	if r.Code != 0 {
		out.Err = &result.Error{Code: r.Code, Detail: string(r.Detail), RetryAfter: duration(r.RetryAfterMS)}
	}
	return out
}

// encodeCommit tells the age of the acknowledgement, since the clocks of hosts differ.
func encodeCommit(c core.SessionCommit) sessionCommit {
	return sessionCommit{
		Service: cbor.ByteString(c.Log.Service), Life: c.Log.Life, Term: c.Log.Term,
		Position: position(c.Position), AgeMS: milliseconds(clock.Since(c.AckedAt)),
	}
}

// decodeCommit returns a commit whose acknowledgement is as late as the age allows.
func decodeCommit(c sessionCommit) core.SessionCommit {
	return core.SessionCommit{
		Log:      core.Log{Service: string(c.Service), Life: c.Life, Term: c.Term},
		Position: core.Position(c.Position), AckedAt: clock.Now().Add(-duration(c.AgeMS)),
	}
}

func milliseconds(d time.Duration) uint32 { return uint32(max(d, 0).Milliseconds()) }

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
