package pgfront

import (
	"crypto/tls"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/result"
)

// maxNegotiations is the maximum number of messages up to and including the startup
// message. It limits the number of encryption requests of a caller.
const maxNegotiations = 3

// Startup is the content of a startup message or a cancel request. Exactly one of
// Parameters and Cancel is set.
type Startup struct {
	Workspace string // the user of the startup message
	Service   string // the database; defaults to Workspace
	// Parameters are the run-time parameters in the startup message.
	Parameters map[string]string
	Cancel     *CancelKey
}

// CancelKey identifies the connection whose request is to be cancelled.
type CancelKey struct {
	ProcessID uint32
	Secret    []byte
}

// Accept negotiates encryption and reads the startup message. The login timeout starts here
// and ends with Ready. On error, Accept closes the connection, after it has sent the error
// to the caller if it is a result.Error.
func Accept(nc net.Conn, cfg Config) (*Conn, *Startup, error) {
	c := newConn(nc, cfg)
	c.SetReadTimeout(cfg.LoginTimeout)
	startup, err := c.negotiate()
	if err != nil {
		if result.CodeOf(err) != 0 {
			c.Refuse(err)
		}
		_ = c.Close()
		return nil, nil, err
	}
	return c, startup, nil
}

func (c *Conn) negotiate() (*Startup, error) {
	for range maxNegotiations {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, asResult(err)
		}
		switch msg := msg.(type) {
		case *pgproto3.SSLRequest:
			if err := c.answerTLS(); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if err := c.answerByte('N'); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			return &Startup{Cancel: &CancelKey{ProcessID: msg.ProcessID, Secret: msg.SecretKey}}, nil
		case *pgproto3.StartupMessage:
			return c.readStartup(msg)
		}
	}
	return nil, result.New(result.MalformedMessage, "too many encryption requests")
}

func (c *Conn) answerByte(answer byte) error {
	c.out = append(c.out, answer)
	return c.Flush()
}

func (c *Conn) answerTLS() error {
	if c.cfg.TLS == nil {
		return c.answerByte('N')
	}
	if err := c.answerByte('S'); err != nil {
		return err
	}
	server := tls.Server(c.net, c.cfg.TLS)
	if err := server.Handshake(); err != nil {
		return errors.Wrap(err, "TLS handshake")
	}
	c.net = server
	c.backend = newConn(server, c.cfg).backend
	return nil
}

func (c *Conn) readStartup(msg *pgproto3.StartupMessage) (*Startup, error) {
	_, encrypted := c.net.(*tls.Conn)
	if c.cfg.RequireTLS && !encrypted {
		return nil, result.New(result.TLSRequired, "the connection is not encrypted")
	}
	if msg.ProtocolVersion > pgproto3.ProtocolVersion30 {
		if err := c.Queue(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 0}); err != nil {
			return nil, err
		}
	}
	parameters := make(map[string]string, len(msg.Parameters))
	for name, value := range msg.Parameters {
		switch name {
		case "user", "database", "options", "replication":
		default:
			parameters[name] = value
		}
	}
	if replication := msg.Parameters["replication"]; replication != "" && replication != "false" && replication != "off" {
		return nil, result.New(result.UnsupportedFeature, "replication connections are not supported")
	}
	if err := parseOptions(msg.Parameters["options"], parameters); err != nil {
		return nil, err
	}
	startup := &Startup{
		Workspace:  msg.Parameters["user"],
		Service:    msg.Parameters["database"],
		Parameters: parameters,
	}
	if startup.Service == "" {
		startup.Service = startup.Workspace
	}
	return startup, nil
}
