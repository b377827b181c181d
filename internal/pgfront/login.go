package pgfront

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/scramauth"
)

// Authenticate runs the SCRAM exchange and returns the ID of the key that the caller
// authenticated with. It returns a result.Error with code BadKey when no key matches. The
// final message is only queued; Ready sends it.
func (c *Conn) Authenticate(conv *scramauth.Conversation) (keyID string, err error) {
	offer := &pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramauth.Mechanism}}
	if err := c.send(offer, pgproto3.AuthTypeSASL); err != nil {
		return "", err
	}
	first, err := c.receiveFirst()
	if err != nil {
		return "", err
	}
	challenge, err := conv.First(first)
	if err != nil {
		return "", result.New(result.MalformedMessage, "SCRAM: %v", err)
	}
	next := &pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}
	if err := c.send(next, pgproto3.AuthTypeSASLContinue); err != nil {
		return "", err
	}
	msg, err := c.Receive()
	if err != nil {
		return "", err
	}
	proof, ok := msg.(*pgproto3.SASLResponse)
	if !ok {
		return "", result.New(result.MalformedMessage, "expected a SASL response")
	}
	reply, keyID, err := conv.Final(string(proof.Data))
	if errors.Is(err, scramauth.ErrNoKeyMatches) {
		return "", result.New(result.BadKey, "authentication failed")
	}
	if err != nil {
		return "", err
	}
	return keyID, c.Queue(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
}

// receiveFirst reads the SASLInitialResponse and returns the client's first SCRAM message.
func (c *Conn) receiveFirst() (string, error) {
	msg, err := c.Receive()
	if err != nil {
		return "", err
	}
	first, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok {
		return "", result.New(result.MalformedMessage, "expected a SASL initial response")
	}
	if first.AuthMechanism != scramauth.Mechanism {
		return "", result.New(result.MalformedMessage, "mechanism %q was not offered", first.AuthMechanism)
	}
	return string(first.Data), nil
}

func (c *Conn) send(msg pgproto3.BackendMessage, authType uint32) error {
	if err := c.Queue(msg); err != nil {
		return err
	}
	if err := c.backend.SetAuthType(authType); err != nil {
		return err
	}
	return c.Flush()
}

// Parameter is a run-time parameter that is reported to the caller.
type Parameter struct {
	Name  string
	Value string
}

// Ready completes the login. It sends the parameters, the key for cancel
// requests and ReadyForQuery, and removes the login timeout.
func (c *Conn) Ready(parameters []Parameter, key CancelKey) error {
	messages := []pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}}
	for _, p := range parameters {
		messages = append(messages, &pgproto3.ParameterStatus{Name: p.Name, Value: p.Value})
	}
	messages = append(messages,
		&pgproto3.BackendKeyData{ProcessID: key.ProcessID, SecretKey: key.Secret},
		&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for _, msg := range messages {
		if err := c.Queue(msg); err != nil {
			return err
		}
	}
	if err := c.Flush(); err != nil {
		return err
	}
	c.ClearReadDeadline()
	return nil
}
