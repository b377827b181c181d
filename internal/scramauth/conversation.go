package scramauth

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"

	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
)

// ErrNoKeyMatches is returned when no candidate key matches the client's proof.
var ErrNoKeyMatches = errors.New("no key matches the proof")

// Candidate is a key that the caller may authenticate with.
type Candidate struct {
	KeyID    string
	Verifier string
}

// Conversation is the server side of one SCRAM exchange that accepts any of several keys.
// All keys share nonce, salt and iteration count, so that the same messages fit each of
// them.
type Conversation struct {
	exchanges []exchange
}

// exchange is the state of the conversation for one key.
type exchange struct {
	keyID string
	conv  *scram.ServerConversation
}

// NewConversation starts an exchange with the given candidates. Candidates whose
// verifier is malformed, or whose salt or iteration count differs from that of the first
// valid one, are ignored. If none is left, the exchange uses random credentials, so that the
// messages do not reveal whether the workspace exists.
func NewConversation(workspace string, candidates []Candidate) *Conversation {
	nonce := newNonce()
	c := &Conversation{}
	var shared scram.KeyFactors
	for _, cand := range candidates {
		stored, err := ParseVerifier(cand.Verifier)
		if err != nil {
			continue
		}
		if len(c.exchanges) == 0 {
			shared = stored.KeyFactors
		}
		if stored.KeyFactors != shared {
			continue
		}
		c.exchanges = append(c.exchanges, newExchange(cand.KeyID, stored, nonce))
	}
	if len(c.exchanges) == 0 {
		c.exchanges = append(c.exchanges, newExchange("", randomCredentials(workspace), nonce))
	}
	return c
}

// First returns the response to the client's first message.
func (c *Conversation) First(message string) (string, error) {
	var reply string
	for _, ex := range c.exchanges {
		text, err := ex.conv.Step(message)
		if err != nil {
			return "", errors.Wrap(err, "first message")
		}
		reply = text
	}
	return reply, nil
}

// Final verifies the client's proof against every key, also after a match. It returns the
// server's final message and the ID of the first key that matches, or ErrNoKeyMatches.
func (c *Conversation) Final(message string) (reply, keyID string, err error) {
	for _, ex := range c.exchanges {
		text, stepErr := ex.conv.Step(message)
		if stepErr == nil && ex.conv.Valid() && keyID == "" {
			reply, keyID = text, ex.keyID
		}
	}
	if keyID == "" {
		return "", "", ErrNoKeyMatches
	}
	return reply, keyID, nil
}

func newExchange(keyID string, stored scram.StoredCredentials, nonce string) exchange {
	lookup := func(string) (scram.StoredCredentials, error) { return stored, nil }
	server, _ := scram.SHA256.NewServer(lookup) // never fails
	server.WithNonceGenerator(func() string { return nonce })
	return exchange{keyID: keyID, conv: server.NewConversation()}
}

func newNonce() string {
	raw := make([]byte, 18) // 24 base64 characters without padding
	_, _ = rand.Read(raw)   // crypto/rand.Read never fails
	return base64.StdEncoding.EncodeToString(raw)
}

// randomCredentials returns credentials that no client can match, with the salt and iteration
// count that the keys of the workspace would have.
func randomCredentials(workspace string) scram.StoredCredentials {
	digests := make([]byte, 2*sha256.Size)
	_, _ = rand.Read(digests) // crypto/rand.Read never fails
	return scram.StoredCredentials{
		KeyFactors: keyFactors(workspace),
		StoredKey:  digests[:sha256.Size],
		ServerKey:  digests[sha256.Size:],
	}
}
