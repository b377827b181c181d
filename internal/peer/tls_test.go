package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/result"
)

// authority is the CA of a test fleet.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, key: newKey(t)}
	a.cert = certTemplate("ca")
	a.cert.IsCA, a.cert.BasicConstraintsValid = true, true
	a.cert.KeyUsage = x509.KeyUsageCertSign
	a.file = a.write("ca.pem", "CERTIFICATE", a.sign(a.cert, a.key))
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func certTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func (a *authority) sign(cert *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return der
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.t.TempDir(), name)
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, data, 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// options returns the options of host with a certificate issued to certName.
func (a *authority) options(host, certName string) Options {
	key := newKey(a.t)
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	files := &config.TLS{
		Cert: a.write("cert.pem", "CERTIFICATE", a.sign(certTemplate(certName), key)),
		Key:  a.write("key.pem", "EC PRIVATE KEY", der),
		CA:   a.file,
	}
	opts := options(host, 1)
	if opts.TLS, err = LoadTLS(files); err != nil {
		a.t.Fatal(err)
	}
	return opts
}

func TestCallOverMutualTLS(t *testing.T) {
	ca := newAuthority(t)
	a := startNode(t, ca.options("a", "a"), echo)
	b := startNode(t, ca.options("b", "b"), echo)
	for _, pair := range [][2]*Node{{a, b}, {b, a}} {
		if got, err := call(t, pair[0], pair[1], "hello"); err != nil || got != pair[0].Host()+":hello" {
			t.Fatalf("got %q, %v", got, err)
		}
	}
}

func TestTLSUntrustedPeersAreRefused(t *testing.T) {
	ca := newAuthority(t)
	b := startNode(t, ca.options("b", "b"), echo)
	untrusted := map[string]Options{
		"certificate of another host":      ca.options("a", "c"),
		"certificate of another authority": newAuthority(t).options("a", "a"),
		"no TLS":                           options("a", 1),
	}
	for name, opts := range untrusted {
		t.Run(name, func(t *testing.T) {
			a := startNode(t, opts, echo)
			if _, err := call(t, a, b, "hello"); !errors.Is(err, ErrUnreachable) {
				t.Errorf("call to the host with TLS: got %v, want ErrUnreachable", err)
			}
			if _, err := call(t, b, a, "hello"); !errors.Is(err, ErrUnreachable) {
				t.Errorf("call from the host with TLS: got %v, want ErrUnreachable", err)
			}
			refused := counterValue(t, b.metrics.refused.WithLabelValues(codeLabel(result.PeerAuth)))
			if opts.TLS != nil && refused == 0 {
				t.Error("no refusal with code PeerAuth was counted")
			}
		})
	}
}
