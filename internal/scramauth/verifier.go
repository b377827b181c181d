// Package scramauth authenticates callers by SCRAM-SHA-256 (RFC 5802, RFC 7677)
// against the verifiers of a workspace's keys. A workspace may have several
// keys in force; they share salt and iteration count, so that one exchange of
// messages serves all of them. The package performs no network I/O.
package scramauth

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
)

// Mechanism is the SASL name of the mechanism.
const Mechanism = "SCRAM-SHA-256"

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

// Verifier returns the verifier of a key in PostgreSQL's form
// SCRAM-SHA-256$ITERATIONS:SALT$STORED:SERVER. The salt depends only on the
// workspace, so that all keys of a workspace share it.
func Verifier(workspace, key string) string {
	client, err := scram.SHA256.NewClient("", key, "")
	if err != nil {
		// SASLprep refuses the key: clients then use its bytes as they are.
		client, _ = scram.SHA256.NewClientUnprepped("", key, "") // never fails
	}
	// Salt and iteration count are valid, so that this never fails.
	stored, _ := client.GetStoredCredentialsWithError(factors(workspace))
	return format(stored)
}

// ParseVerifier parses a verifier in PostgreSQL's form.
func ParseVerifier(text string) (scram.StoredCredentials, error) {
	var none scram.StoredCredentials
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != Mechanism {
		return none, errors.New("verifier: want SCRAM-SHA-256$ITERATIONS:SALT$STORED:SERVER")
	}
	count, saltText, ok1 := strings.Cut(parts[1], ":")
	storedText, serverText, ok2 := strings.Cut(parts[2], ":")
	if !ok1 || !ok2 {
		return none, errors.New("verifier: a colon is missing")
	}
	iters, err := strconv.Atoi(count)
	if err != nil || iters < iterations {
		return none, errors.Errorf("verifier: at least %d iterations are required", iterations)
	}
	salt, err := base64.StdEncoding.DecodeString(saltText)
	if err != nil || len(salt) == 0 {
		return none, errors.New("verifier: the salt is not base64")
	}
	stored, err := decodeDigest(storedText)
	if err != nil {
		return none, errors.Wrap(err, "verifier: stored key")
	}
	server, err := decodeDigest(serverText)
	if err != nil {
		return none, errors.Wrap(err, "verifier: server key")
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(salt), Iters: iters},
		StoredKey:  stored,
		ServerKey:  server,
	}, nil
}

func decodeDigest(text string) ([]byte, error) {
	digest, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, errors.New("not base64")
	}
	if len(digest) != sha256.Size {
		return nil, errors.Errorf("%d bytes instead of %d", len(digest), sha256.Size)
	}
	return digest, nil
}

func format(c scram.StoredCredentials) string {
	enc := base64.StdEncoding
	return fmt.Sprintf("%s$%d:%s$%s:%s", Mechanism, c.Iters,
		enc.EncodeToString([]byte(c.Salt)),
		enc.EncodeToString(c.StoredKey),
		enc.EncodeToString(c.ServerKey))
}

func factors(workspace string) scram.KeyFactors {
	sum := sha256.Sum256([]byte(saltPrefix + workspace))
	return scram.KeyFactors{Salt: string(sum[:saltBytes]), Iters: iterations}
}
