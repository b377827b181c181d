// Package codec provides the CBOR encoder and decoder settings shared by the
// messages between hosts and the replicated state.
package codec

import "github.com/fxamacker/cbor/v2"

// maxNesting bounds the nesting of decoded items, in levels.
const maxNesting = 16

// Deterministic returns an encoder with the core deterministic encoding of RFC 8949:
// equal values have equal encodings. Times are encoded as RFC 3339 text with
// nanoseconds.
func Deterministic() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Strict returns a decoder that rejects duplicate map keys, items of indefinite
// length, items nested more than maxNesting levels deep, and arrays and maps of more
// than maxElements elements.
func Strict(maxElements int) cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
