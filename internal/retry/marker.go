package retry

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/galenabridge/galenabridge/internal/result"
)

// MarkerTTL is how long the marker of a request ID is kept. A retry after that
// runs as a new request.
const MarkerTTL = 24 * time.Hour

// Digest is the SHA-256 digest of the parts of a request; see DigestOf.
type Digest [sha256.Size]byte

// DigestOf returns the digest of the parts of a request, such as its statement and
// its parameters. Each part is prefixed with its length as 8 bytes, so that
// different lists of parts with the same concatenation have different digests.
func DigestOf(parts ...[]byte) Digest {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return Digest(h.Sum(nil))
}

// Marker is the row that a request with an ID writes in its own transaction. Its
// presence proves that the request was committed.
type Marker struct {
	Workspace string
	RequestID string
	Digest    Digest
	// WrittenAt is the time of the write by the clock of the host that wrote the marker.
	WrittenAt time.Time
}

// Expired reports whether the marker may be deleted.
func (m Marker) Expired(now time.Time) bool {
	return now.Sub(m.WrittenAt) >= MarkerTTL
}

// CheckMarker decides whether a request with an ID may run, given the marker found
// for its workspace and ID, or nil. It returns nil when the request may run, and a
// result.Error with code RequestAlreadyDone or RequestIDReused when it must not.
// The marker must have been read on the primary, in the transaction that then runs
// the request.
func CheckMarker(found *Marker, digest Digest, now time.Time) error {
	switch {
	case found == nil || found.Expired(now):
		return nil
	case found.Digest == digest:
		return result.New(result.RequestAlreadyDone, "request %q has run at %s", found.RequestID, found.WrittenAt.UTC().Format(time.RFC3339))
	default:
		return result.New(result.RequestIDReused, "request %q has run with another statement", found.RequestID)
	}
}
