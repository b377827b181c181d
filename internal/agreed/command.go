package agreed

import (
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/codec"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// Command is a change of the state, encoded in one entry of the consensus log.
// Exactly one field is set.
type Command struct {
	ApplyNote       *ApplyNote       `cbor:"1,keyasint,omitempty"`
	RegisterHost    *RegisterHost    `cbor:"2,keyasint,omitempty"`
	RemoveHost      *RemoveHost      `cbor:"3,keyasint,omitempty"`
	PutEndpoint     *PutEndpoint     `cbor:"4,keyasint,omitempty"`
	RemoveEndpoint  *RemoveEndpoint  `cbor:"5,keyasint,omitempty"`
	SealGroup       *SealGroup       `cbor:"6,keyasint,omitempty"`
	ChooseCandidate *ChooseCandidate `cbor:"7,keyasint,omitempty"`
	ActivateGroup   *ActivateGroup   `cbor:"8,keyasint,omitempty"`
	NameFleet       *NameFleet       `cbor:"9,keyasint,omitempty"`
	PutCatalog      *PutCatalog      `cbor:"10,keyasint,omitempty"`
	SetDomain       *SetDomain       `cbor:"11,keyasint,omitempty"`
	RetireEndpoint  *RetireEndpoint  `cbor:"12,keyasint,omitempty"`
	SetSilentOwners *SetSilentOwners `cbor:"13,keyasint,omitempty"`
	MarkAbsent      *MarkAbsent      `cbor:"14,keyasint,omitempty"`
	ClaimUsage      *ClaimUsage      `cbor:"15,keyasint,omitempty"`
	DecideUsage     *DecideUsage     `cbor:"16,keyasint,omitempty"`
}

// MarkAbsent sets Host.Absent of registered processes.
type MarkAbsent struct {
	// Processes are the incarnations by host. Any other incarnation is left alone.
	Processes map[string]uint64 `cbor:"1,keyasint,omitempty"`
}

// SetSilentOwners replaces State.SilentOwners.
type SetSilentOwners struct {
	Hosts []string `cbor:"1,keyasint,omitempty"`
}

// PutCatalog replaces the whole catalog except the failure domains if its number is
// higher than the one in force. Any other number changes nothing.
type PutCatalog struct {
	Document Document     `cbor:"1,keyasint"`
	Catalog  note.Catalog `cbor:"2,keyasint"`
}

// SetDomain takes a failure domain out of use or puts it back into use.
type SetDomain struct {
	Domain note.Domain `cbor:"1,keyasint"`
}

// RetireEndpoint removes an endpoint that has left. A group whose active
// primary leaves is sealed.
type RetireEndpoint struct {
	ID string `cbor:"1,keyasint"`
	// StartedMS is the start time of the process that left; zero means the current
	// one.
	StartedMS uint64 `cbor:"2,keyasint,omitempty"`
}

// ApplyNote puts a release note in force.
type ApplyNote struct {
	Note note.Note `cbor:"1,keyasint"`
	// Received is the wall-clock time at the control leader, for display only.
	Received time.Time `cbor:"2,keyasint"`
}

// RegisterHost adds a host or replaces an older incarnation of it.
type RegisterHost struct {
	// Host is the host to register; its Registered field is ignored.
	Host Host `cbor:"1,keyasint"`
}

// RemoveHost removes a host if Incarnation is the registered one.
type RemoveHost struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// PutEndpoint adds an endpoint to the group of its service, or changes its
// address or failure domain.
type PutEndpoint struct {
	Endpoint Endpoint `cbor:"1,keyasint"`
}

// RemoveEndpoint removes an endpoint that is not the primary from its group.
type RemoveEndpoint struct {
	ID string `cbor:"1,keyasint"`
	// Term is the expected term of the group.
	Term uint64 `cbor:"2,keyasint"`
}

// SealGroup ends a term: the term is incremented and no host may act under it.
type SealGroup struct {
	Service string `cbor:"1,keyasint"`
	// Term is the expected current term.
	Term   uint64 `cbor:"2,keyasint"`
	Reason string `cbor:"3,keyasint,omitempty"`
}

// ChooseCandidate records the endpoint to promote in a sealed term.
type ChooseCandidate struct {
	Service   string `cbor:"1,keyasint"`
	Term      uint64 `cbor:"2,keyasint"`
	Candidate string `cbor:"3,keyasint"`
	// ChooserTerm and Attempt distinguish choices; see Group.
	ChooserTerm uint64 `cbor:"4,keyasint,omitempty"`
	Attempt     uint64 `cbor:"5,keyasint,omitempty"`
}

// ActivateGroup makes a member the primary of a sealed or forming group.
type ActivateGroup struct {
	Service  string `cbor:"1,keyasint"`
	Term     uint64 `cbor:"2,keyasint"`
	Primary  string `cbor:"3,keyasint"`
	Timeline uint32 `cbor:"4,keyasint"`
}

// NameFleet records the name of the fleet. It cannot be changed afterwards.
type NameFleet struct {
	Fleet string `cbor:"1,keyasint"`
}

// Outcome is the result of a command.
type Outcome struct {
	// Code is zero if the command succeeded or repeated one that did.
	Code   result.Code `cbor:"1,keyasint,omitempty"`
	Detail string      `cbor:"2,keyasint,omitempty"`
	// Revision is the revision of the state after the command.
	Revision uint64 `cbor:"3,keyasint"`
	// Stamp identifies the accepted note, or after a refusal the conflicting one or
	// the one in force.
	Stamp *note.Stamp `cbor:"4,keyasint,omitempty"`
	// Problems are the errors and warnings of a note.
	Problems []note.Problem `cbor:"5,keyasint,omitempty"`
	// Repeated is set if the note or a document at least as new was accepted before.
	Repeated bool `cbor:"6,keyasint,omitempty"`
	// Position is the position in the log of the newer order, if Code is result.OrderOvertaken.
	Position uint64 `cbor:"7,keyasint,omitempty"`
}

// Err returns the outcome as a result.Error, or nil when the command succeeded.
func (o Outcome) Err() error {
	if o.Code == 0 {
		return nil
	}
	return &result.Error{Code: o.Code, Detail: o.Detail}
}

// refuse returns the outcome of a command that must not change the state.
func refuse(code result.Code, format string, args ...any) Outcome {
	e := result.New(code, format, args...)
	return Outcome{Code: e.Code, Detail: e.Detail}
}

// maxElements limits the items of one decoded array or map.
const maxElements = 4 << 20

var (
	encMode = codec.Deterministic()
	decMode = codec.Strict(maxElements)
)

// maxCommandBytes bounds the size of a decompressed command.
const maxCommandBytes = 64 << 20

// ErrUnreadable is matched by the error of DecodeCommand for data that no version reads.
var ErrUnreadable = errors.New("the command cannot be decoded")

// ErrNewerVersion is matched by the error of DecodeCommand for a command that a newer version may
// read. A host must not skip it, since others may apply it.
var ErrNewerVersion = errors.New("the command is unknown to this version")

// EncodeReadable is Encode for a command that is put into the log. It fails if the result cannot be
// decoded: every host would have to skip it.
func (c Command) EncodeReadable() ([]byte, error) {
	if c.SealGroup != nil {
		seal := *c.SealGroup
		seal.Reason = cleanText(seal.Reason)
		c.SealGroup = &seal
	}
	data, err := c.Encode()
	if err != nil {
		return nil, err
	}
	if _, err := DecodeCommand(data); err != nil {
		return nil, result.New(result.MalformedMessage, "%v", err)
	}
	return data, nil
}

// Encode encodes a command for the log. A document of some hundred KB is compressed: each
// control host stores and sends it.
func (c Command) Encode() ([]byte, error) {
	data, err := encMode.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	return codec.Pack(data), nil
}

// DecodeCommand decodes a command encoded by Encode, or by builds that did not pack it. Its error
// matches ErrUnreadable or ErrNewerVersion. All hosts of one version agree on which.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if codec.IsPacked(data) {
		plain, err := codec.Unpack(data, maxCommandBytes)
		if err != nil {
			return c, errors.Wrap(ErrUnreadable, err.Error())
		}
		data = plain
	}
	if err := decMode.Unmarshal(data, &c); err != nil {
		return Command{}, errors.Wrap(decodeErrorKind(data), err.Error())
	}
	if c == (Command{}) {
		return c, ErrNewerVersion
	}
	return c, nil
}

// decodeErrorKind returns which kind of error the data has. Data that decodes as a map, whatever
// its values are, may be a command of a newer version.
func decodeErrorKind(data []byte) error {
	var fields map[uint64]any
	if err := decMode.Unmarshal(data, &fields); err != nil {
		return ErrUnreadable
	}
	return ErrNewerVersion
}
