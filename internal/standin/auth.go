package standin

import (
	"crypto/rand"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
)

const (
	scramMechanism  = "SCRAM-SHA-256"
	scramIterations = 4096
	scramSaltBytes  = 16
)

// newScramServer returns a SCRAM server with the stored credentials of the
// endpoint's only user. Each call uses a new random salt.
func newScramServer(user, password string) (*scram.Server, error) {
	client, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		return nil, errors.Wrap(err, "password")
	}
	salt := make([]byte, scramSaltBytes)
	if _, err := rand.Read(salt); err != nil {
		return nil, errors.Wrap(err, "salt")
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: scramIterations})
	if err != nil {
		return nil, errors.Wrap(err, "password")
	}
	return scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
}

// authenticate checks the user of a start-up message and, if the endpoint has a
// password, runs a SCRAM exchange.
func (s *session) authenticate(user string) error {
	if user != s.srv.opts.User {
		return fatalErrorf(sqlStateInvalidPassword, "password authentication failed for user %q", user)
	}
	if s.srv.opts.Password == "" {
		return nil
	}
	if err := s.authenticateSCRAM(); err != nil {
		var sqlErr *sqlError
		if errors.As(err, &sqlErr) {
			return sqlErr
		}
		return fatalErrorf(sqlStateInvalidPassword, "password authentication failed for user %q", user)
	}
	return nil
}

// authenticateSCRAM runs a SCRAM-SHA-256 exchange. The caller sends AuthenticationOk.
func (s *session) authenticateSCRAM() error {
	s.be.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	if err := s.flushAuth(pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	msg, err := s.be.Receive()
	if err != nil {
		return err
	}
	initial, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok || initial.AuthMechanism != scramMechanism {
		return fatalErrorf(sqlStateProtocolViolation, "expected a SASL initial response for %s", scramMechanism)
	}
	conv := s.srv.scram.NewConversation()
	challenge, err := conv.Step(string(initial.Data))
	if err != nil {
		return err
	}
	s.be.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	if err := s.flushAuth(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	if msg, err = s.be.Receive(); err != nil {
		return err
	}
	final, ok := msg.(*pgproto3.SASLResponse)
	if !ok {
		return fatalErrorf(sqlStateProtocolViolation, "expected a SASL response")
	}
	serverFinal, err := conv.Step(string(final.Data))
	if err != nil {
		return err
	}
	if !conv.Valid() {
		return errors.New("client proof is not valid")
	}
	s.be.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(serverFinal)})
	return nil
}

// flushAuth sends the buffered messages. authType selects how the next
// password message from the client is decoded.
func (s *session) flushAuth(authType uint32) error {
	if err := s.be.SetAuthType(authType); err != nil {
		return err
	}
	return s.be.Flush()
}
