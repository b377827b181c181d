package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"

	"github.com/galenabridge/galenabridge/internal/bounds"
	"github.com/galenabridge/galenabridge/internal/result"
)

// ProtocolVersion is the version of the protocol between hosts. A peer with another
// version is refused.
const ProtocolVersion = 1

const (
	nonceSize = 32 // bytes
	maxName   = 63 // bytes of a host name
)

// Roles are part of the proofs, so that neither side can authenticate by reflecting the
// proof of the other.
const (
	roleDialer   = "dialer"
	roleAcceptor = "acceptor"
)

// hello identifies the sender of a handshake. Each side sends one.
type hello struct {
	Version     int    `cbor:"1,keyasint"`
	Fleet       string `cbor:"2,keyasint"`
	Host        string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	// Addr is the address at which the sender accepts peers.
	Addr  string `cbor:"5,keyasint"`
	Nonce []byte `cbor:"6,keyasint"`
}

// handshakeFrame is a frame of the handshake. It carries a hello, a proof, both, or a
// refusal that ends the handshake; the empty frame confirms the dialer's proof.
type handshakeFrame struct {
	// Hello is the encoded hello. The proofs cover these exact bytes.
	Hello []byte `cbor:"1,keyasint,omitempty"`
	// Proof is the HMAC-SHA-256 of the sender's role and both hellos.
	Proof []byte `cbor:"2,keyasint,omitempty"`
	// Code and Detail are set when the sender refuses the peer.
	Code   result.Code `cbor:"3,keyasint,omitempty"`
	Detail string      `cbor:"4,keyasint,omitempty"`
}

func (n *Node) newHello() ([]byte, error) {
	nonce := make([]byte, nonceSize)
	if _, err := rand.Read(nonce); err != nil {
		return nil, err
	}
	return Marshal(hello{
		Version:     ProtocolVersion,
		Fleet:       n.opts.Fleet,
		Host:        n.opts.Host,
		Incarnation: n.opts.Incarnation,
		Addr:        n.advertised(),
		Nonce:       nonce,
	})
}

// proof returns the HMAC-SHA-256, keyed with the fleet secret, of the role and of the
// SHA-256 digests of the dialer's and the acceptor's hello.
func (n *Node) proof(role string, dialer, acceptor []byte) []byte {
	mac := hmac.New(sha256.New, []byte(n.opts.Secret))
	mac.Write([]byte(role))
	for _, part := range [][]byte{dialer, acceptor} {
		sum := sha256.Sum256(part)
		mac.Write(sum[:])
	}
	return mac.Sum(nil)
}

// checkHello decodes the hello of a peer and validates its protocol version, fleet, nonce
// and host name. It does not authenticate the peer.
func (n *Node) checkHello(data []byte) (hello, error) {
	var h hello
	if err := Unmarshal(data, &h); err != nil {
		return h, err
	}
	switch {
	case h.Version != ProtocolVersion:
		return h, result.New(result.PeerVersion, "protocol version %d, this host uses %d", h.Version, ProtocolVersion)
	case h.Fleet != n.opts.Fleet:
		return h, result.New(result.PeerFleet, "fleet %.63q, this host belongs to %q", h.Fleet, n.opts.Fleet)
	case len(h.Nonce) != nonceSize:
		return h, result.New(result.PeerMalformed, "invalid nonce length: %d bytes", len(h.Nonce))
	case len(h.Addr) > bounds.MaxNameBytes:
		return h, result.New(result.PeerMalformed, "invalid address length: %d bytes", len(h.Addr))
	case h.Host == "" || len(h.Host) > maxName:
		return h, result.New(result.PeerMalformed, "invalid host name length: %d bytes", len(h.Host))
	}
	return h, nil
}

// checkProof verifies the proof of a peer in the given role in constant time.
func (n *Node) checkProof(proof []byte, role string, dialer, acceptor []byte) error {
	if !hmac.Equal(proof, n.proof(role, dialer, acceptor)) {
		return result.New(result.PeerAuth, "invalid proof of the fleet secret")
	}
	return nil
}

// checkCertificate verifies that the peer's certificate is signed by the fleet's
// CA and names the host. It accepts every peer when TLS is not configured.
func (n *Node) checkCertificate(state *tls.ConnectionState, host string) error {
	if n.opts.TLS == nil {
		return nil
	}
	if state == nil || len(state.PeerCertificates) == 0 {
		return result.New(result.PeerAuth, "peer sent no certificate")
	}
	opts := x509.VerifyOptions{
		DNSName:       host,
		Roots:         n.opts.TLS.ClientCAs,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, cert := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	if _, err := state.PeerCertificates[0].Verify(opts); err != nil {
		return result.New(result.PeerAuth, "certificate of host %q: %v", host, err)
	}
	return nil
}

// admit records the incarnation of an authenticated peer. It refuses a peer whose
// incarnation is older than the newest one recorded for its host.
func (n *Node) admit(h hello) error {
	if h.Host == n.opts.Host && h.Incarnation != n.opts.Incarnation {
		return n.admitSameHost(h)
	}
	if !n.ObserveIncarnation(h.Host, h.Incarnation) {
		return result.New(result.PeerIncarnation, "host %q has a newer process", h.Host)
	}
	return nil
}

// admitSameHost refuses another process of this host. When the other process is newer,
// this one reports that it has been replaced.
func (n *Node) admitSameHost(h hello) error {
	if h.Incarnation < n.opts.Incarnation {
		return result.New(result.PeerIncarnation, "host %q has a newer process", h.Host)
	}
	n.reportReplaced()
	return result.New(result.PeerAuth, "this process of host %q is being replaced", h.Host)
}
