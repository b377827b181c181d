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

// bodyKey is the key of the body in an envelope. Keys are sorted, so that it is the last one.
const bodyKey = 6

// decodeHead decodes what is before the body of an envelope, of which data is the beginning. It returns
// false if data holds no such head, as for an envelope without a body.
func decodeHead(data []byte) (head envelope, ok bool) {
	const mapType, maxEntries = 0xa0, 0x17
	if len(data) == 0 || data[0]&0xe0 != mapType || data[0]&0x1f > maxEntries {
		return envelope{}, false
	}
	entries, rest := int(data[0]&0x1f), data[1:]
	fields := map[uint64]any{1: &head.Kind, 2: &head.ID, 3: &head.Reply, 4: &head.Code, 5: &head.Detail}
	for range entries {
		var key uint64
		var err error
		if rest, err = decMode.UnmarshalFirst(rest, &key); err != nil {
			return envelope{}, false
		}
		if key == bodyKey {
			return head, head.Kind.isDefined()
		}
		field := fields[key]
		if field == nil {
			return envelope{}, false
		}
		if rest, err = decMode.UnmarshalFirst(rest, field); err != nil {
			return envelope{}, false
		}
	}
	return envelope{}, false
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
