// Package codec holds the CBOR settings that messages between hosts and the
// replicated state share.
package codec

import "github.com/fxamacker/cbor/v2"

// maxNesting bounds the nesting of decoded items, in levels.
const maxNesting = 16

// Deterministic returns an encoder whose output depends on the value alone.
func Deterministic() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Strict returns a decoder that refuses duplicate keys, indefinite lengths, and
// arrays and maps of more than maxElements items.
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
