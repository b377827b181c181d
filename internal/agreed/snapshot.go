package agreed

import "github.com/pkg/errors"

// snapshotFormat is the version of the encoding of a state.
const snapshotFormat = 1

type snapshot struct {
	Format int    `cbor:"1,keyasint"`
	State  *State `cbor:"2,keyasint"`
}

// Encode encodes the state. Equal states have equal encodings.
func (s *State) Encode() ([]byte, error) {
	data, err := encMode.Marshal(snapshot{Format: snapshotFormat, State: s})
	return data, errors.Wrap(err, "encode state")
}

// Decode decodes a state encoded by Encode. Another format version is an error.
func Decode(data []byte) (*State, error) {
	snap := snapshot{State: New()}
	if err := decMode.Unmarshal(data, &snap); err != nil {
		return nil, errors.Wrap(err, "decode state")
	}
	if snap.Format != snapshotFormat {
		return nil, errors.Errorf("state has format %d; this version reads format %d", snap.Format, snapshotFormat)
	}
	if snap.State == nil {
		return nil, errors.New("decode state: no state")
	}
	return snap.State, nil
}
