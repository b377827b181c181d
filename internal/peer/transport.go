package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/tcpopt"
)

// Transport opens the byte streams between hosts. Tests replace it to simulate a network.
type Transport interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// tcp is the Transport used in production.
type tcp struct {
	dialer net.Dialer
}

func (t *tcp) Listen(addr string) (net.Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return tcpopt.Listener{TCPListener: listener.(*net.TCPListener), UnackedTimeout: unackedTimeout}, nil
}

func (t *tcp) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return t.dialer.DialContext(ctx, "tcp", addr)
}

// LoadTLS builds the mutual TLS configuration of a host. Each certificate must
// contain its host's name as a DNS name and be signed by the fleet's CA. It returns nil when
// files is nil.
func LoadTLS(files *config.TLS) (*tls.Config, error) {
	if files == nil {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, errors.Wrap(err, "peer certificate")
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, errors.Wrap(err, "peer CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New("peer CA: no certificate in the file")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		// checkCertificate verifies the client certificate during the handshake of this
		// package, so that a refusal carries a result code.
		ClientAuth: tls.RequireAnyClientCert,
	}, nil
}
