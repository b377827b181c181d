package entry

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/result"
)

// newCertificate writes a self-signed certificate and its key to temporary files.
func newCertificate(t *testing.T) *config.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := &config.TLS{Cert: filepath.Join(t.TempDir(), "cert.pem"), Key: filepath.Join(t.TempDir(), "key.pem")}
	for path, block := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: cert},
		files.Key:  {Type: "PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

func TestLoginWithoutTLSRefused(t *testing.T) {
	files := newCertificate(t)
	f := newFixture(t, fixtureConfig{options: func(o *Options) {
		o.Settings.Entry.TLS, o.Settings.Entry.RequireTLS = files, true
	}})
	_, err := pgx.Connect(testContext(t), f.url("crew", callerKey, ""))
	wantCode(t, err, result.TLSRequired)
	encrypted := strings.Replace(f.url("crew", callerKey, ""), "sslmode=disable", "sslmode=require", 1)
	conn, err := pgx.Connect(testContext(t), encrypted)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close(context.Background()) }()
	if n := queryInt(t, conn, "select 1"); n != 1 {
		t.Errorf("got %d, want 1", n)
	}
}
