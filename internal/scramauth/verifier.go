// Package scramauth authenticates callers by SCRAM-SHA-256 (RFC 5802, RFC 7677)
// against the verifiers of a workspace's keys. A workspace may have several
// active keys; they share salt and iteration count, so that one exchange of
// messages can authenticate with any of them. The package performs no network I/O.
package scramauth

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"fmt"

	"github.com/pkg/errors"
	"github.com/xdg-go/scram"

	"github.com/galenabridge/galenabridge/internal/note"
)

// Mechanism is the SASL name of the mechanism.
const Mechanism = "SCRAM-SHA-256"

// The salt and iteration count of verifiers must not change: a release note that adds a key
// whose values differ from those of another key of the workspace is invalid.
const (
	iterations = 4096
	keyBytes   = 32
	saltBytes  = 16
	saltPrefix = "galenabridge workspace salt:"
)

// NewKey returns a random key in unpadded base64url form.
func NewKey() string {
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw) // crypto/rand.Read never fails
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Verifier returns the verifier of a key in PostgreSQL's format
// SCRAM-SHA-256$ITERATIONS:SALT$STORED:SERVER. The salt depends only on the workspace, so
// that all keys of a workspace share it.
func Verifier(workspace, key string) string {
	client, err := scram.SHA256.NewClient("", key, "")
	if err != nil {
		// The key is not valid for SASLprep; clients then use its bytes unprepared.
		client, _ = scram.SHA256.NewClientUnprepped("", key, "") // never fails
	}
	// This cannot fail because the salt and the iteration count are valid.
	stored, _ := client.GetStoredCredentialsWithError(keyFactors(workspace))
	return format(stored)
}

// ParseVerifier parses a verifier in the format that Verifier returns.
func ParseVerifier(text string) (scram.StoredCredentials, error) {
	v, err := note.ParseVerifier(text)
	if err != nil {
		return scram.StoredCredentials{}, errors.Wrap(err, "verifier")
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(v.Salt), Iters: v.Iterations},
		StoredKey:  v.StoredKey,
		ServerKey:  v.ServerKey,
	}, nil
}

func format(c scram.StoredCredentials) string {
	enc := base64.StdEncoding
	return fmt.Sprintf("%s$%d:%s$%s:%s", Mechanism, c.Iters,
		enc.EncodeToString([]byte(c.Salt)),
		enc.EncodeToString(c.StoredKey),
		enc.EncodeToString(c.ServerKey))
}

// keyFactors returns the salt and iteration count of all keys of a workspace.
func keyFactors(workspace string) scram.KeyFactors {
	sum := sha256.Sum256([]byte(saltPrefix + workspace))
	return scram.KeyFactors{Salt: string(sum[:saltBytes]), Iters: iterations}
}
