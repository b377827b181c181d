package note

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
)

// MaxNoteBytes is the maximum size of an encoded release note in bytes.
const MaxNoteBytes = 4 << 20

// Parse decodes a release note and validates each field without reference to a catalog.
// The problems are sorted by path; the note is valid only if there are none.
func Parse(data []byte) (Note, []Problem) {
	n, problems := Decode(data)
	if len(problems) > 0 {
		return n, problems
	}
	return n, n.Check()
}

// Decode decodes a release note without validating its fields. Unknown fields, trailing
// data and more than MaxNoteBytes are errors.
func Decode(data []byte) (Note, []Problem) {
	if len(data) > MaxNoteBytes {
		return Note{}, []Problem{{Path: "", Reason: "the note is larger than 4 MiB"}}
	}
	var n Note
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&n); err != nil {
		return Note{}, []Problem{decodeProblem(err)}
	}
	if _, err := dec.Token(); err != io.EOF {
		return Note{}, []Problem{{Path: "", Reason: "unexpected data after the note"}}
	}
	return n, nil
}

// Digest returns the lower-case hexadecimal SHA-256 of the note's canonical JSON, which
// does not depend on white space or on the order of fields in the file.
func Digest(n Note) string {
	data, err := json.Marshal(n)
	if err != nil {
		// Cannot happen: a Note has only strings, booleans, slices and numbers, and
		// JSON has no infinite or NaN numbers.
		panic(err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// shortDigestBytes is the length in bytes of the digests shown in place of secrets.
const shortDigestBytes = 6

func shortDigest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:shortDigestBytes])
}
