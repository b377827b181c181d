package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/galenabridge/galenabridge/internal/codec"
	"github.com/galenabridge/galenabridge/internal/result"
)

// MaxMessage is the maximum size of a message between hosts, in bytes.
const MaxMessage = 64 << 20

// maxElements is the maximum number of elements of a decoded array or map.
const maxElements = 1 << 20

// envelope is the wire format of one message.
type envelope struct {
	Kind Kind `cbor:"1,keyasint"`
	// ID correlates a request with its reply; zero for one-way messages.
	ID uint64 `cbor:"2,keyasint,omitempty"`
	// Reply marks the response to the request with the same ID.
	Reply bool `cbor:"3,keyasint,omitempty"`
	// Code and Detail are set when a request failed.
	Code   result.Code     `cbor:"4,keyasint,omitempty"`
	Detail string          `cbor:"5,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"6,keyasint,omitempty"`
}

var (
	encMode = codec.Deterministic()
	decMode = codec.Strict(maxElements)
)

// Marshal encodes the body of a message.
func Marshal(msg any) ([]byte, error) {
	return encMode.Marshal(msg)
}

// Unmarshal decodes the body of a message into msg, which must be a pointer. It returns
// a result.Error with code PeerMalformed when the body does not decode into that type.
func Unmarshal(body []byte, msg any) error {
	if err := decMode.Unmarshal(body, msg); err != nil {
		return result.New(result.PeerMalformed, "%v", err)
	}
	return nil
}

// decodeEnvelope decodes an envelope and validates its kind and its request ID.
func decodeEnvelope(data []byte) (envelope, error) {
	var e envelope
	if err := Unmarshal(data, &e); err != nil {
		return envelope{}, err
	}
	if !e.Kind.isDefined() {
		return envelope{}, result.New(result.PeerMalformed, "unknown kind %d", e.Kind)
	}
	if e.Reply && e.ID == 0 {
		return envelope{}, result.New(result.PeerMalformed, "reply without a request ID")
	}
	return e, nil
}
