package scramauth

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"

	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
)

// ErrNoKeyMatches reports that no candidate key matches the proof.
var ErrNoKeyMatches = errors.New("no key matches the proof")

// Candidate is a key that a caller may hold.
type Candidate struct {
	KeyID    string
	Verifier string
}

// Conversation is the server side of one SCRAM exchange against several keys.
type Conversation struct {
	runs []run
}

type run struct {
	keyID string
	conv  *scram.ServerConversation
}

// NewConversation starts an exchange against the candidates. Candidates whose
// verifier is malformed, or whose salt differs from that of the first, take no
// part. Without candidates the exchange runs against a random key, so that the
// messages do not tell whether the workspace exists.
func NewConversation(workspace string, candidates []Candidate) *Conversation {
	nonce := newNonce()
	c := &Conversation{}
	var shared scram.KeyFactors
	for _, cand := range candidates {
		stored, err := ParseVerifier(cand.Verifier)
		if err != nil {
			continue
		}
		if len(c.runs) == 0 {
			shared = stored.KeyFactors
		}
		if stored.KeyFactors != shared {
			continue
		}
		c.runs = append(c.runs, newRun(cand.KeyID, stored, nonce))
	}
	if len(c.runs) == 0 {
		c.runs = append(c.runs, newRun("", randomCredentials(workspace), nonce))
	}
	return c
}

// First answers the client's first message.
func (c *Conversation) First(message string) (string, error) {
	var reply string
	for _, r := range c.runs {
		text, err := r.conv.Step(message)
		if err != nil {
			return "", errors.Wrap(err, "first message")
		}
		reply = text
	}
	return reply, nil
}

// Final checks the client's proof. It returns the server's last message and
// the identity of the key that matched, or ErrNoKeyMatches.
func (c *Conversation) Final(message string) (reply, keyID string, err error) {
	for _, r := range c.runs {
		text, stepErr := r.conv.Step(message)
		if stepErr == nil && r.conv.Valid() && keyID == "" {
			reply, keyID = text, r.keyID
		}
	}
	if keyID == "" {
		return "", "", ErrNoKeyMatches
	}
	return reply, keyID, nil
}

func newRun(keyID string, stored scram.StoredCredentials, nonce string) run {
	lookup := func(string) (scram.StoredCredentials, error) { return stored, nil }
	server, _ := scram.SHA256.NewServer(lookup) // never fails
	server.WithNonceGenerator(func() string { return nonce })
	return run{keyID: keyID, conv: server.NewConversation()}
}

func newNonce() string {
	raw := make([]byte, 18)
	_, _ = rand.Read(raw) // crypto/rand.Read never fails
	return base64.StdEncoding.EncodeToString(raw)
}

func randomCredentials(workspace string) scram.StoredCredentials {
	digests := make([]byte, 2*sha256.Size)
	_, _ = rand.Read(digests) // crypto/rand.Read never fails
	return scram.StoredCredentials{
		KeyFactors: factors(workspace),
		StoredKey:  digests[:sha256.Size],
		ServerKey:  digests[sha256.Size:],
	}
}
