package rpc

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// authority is a certificate authority that issues certificates for 127.0.0.1.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{cert, key}
}

func (a *authority) pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// issue writes a certificate with the given serial number, and its key, to files in dir.
func (a *authority) issue(t *testing.T, dir string, serial int64) (certFile, keyFile string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	writePEM(t, certFile, "CERTIFICATE", der)
	writePEM(t, keyFile, "EC PRIVATE KEY", keyDER)
	return certFile, keyFile
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func newReloader(t *testing.T, a *authority, serial int64) *CertificateReloader {
	r, err := NewCertificateReloader(a.issue(t, t.TempDir(), serial))
	assert.NilError(t, err)
	return r
}

// Guards against a server or a client that accepts a peer without a certificate of the fleet's certificate authority.
func TestMutualTLS(t *testing.T) {
	own, foreign := newAuthority(t), newAuthority(t)
	s := NewServer()
	Register(s, "echo", func(_ context.Context, _ string, r echo) (echo, error) { return r, nil })
	h := httptest.NewUnstartedServer(s)
	h.Config.ErrorLog = log.New(io.Discard, "", 0)
	h.Listener = tls.NewListener(h.Listener, ServerConfig(newReloader(t, own, 1), own.pool()))
	h.Start()
	defer func() { s.Close(); h.Close() }()
	tests := []struct {
		desc   string
		config *tls.Config
		ok     bool
	}{
		{"certificate of the fleet", ClientConfig(newReloader(t, own, 2), own.pool()), true},
		{"certificate of another authority", ClientConfig(newReloader(t, foreign, 2), own.pool()), false},
		{"no certificate", &tls.Config{RootCAs: own.pool()}, false},
		{"server that the client does not trust", ClientConfig(newReloader(t, own, 2), foreign.pool()), false},
		{"no TLS", nil, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := NewClient(test.config)
			defer c.Close()
			_, err := callEcho(c, h.Listener.Addr().String(), "x")
			assert.Equal(t, err == nil, test.ok, "%v", err)
		})
	}
}

// Guards against a renewed certificate that is not loaded, for example because the new files have an older modification time
// or because only one file was replaced at first. Also guards against an invalid or missing file that makes the working
// certificate unusable.
func TestCertificateReload(t *testing.T) {
	a, dir := newAuthority(t), t.TempDir()
	certFile, keyFile := a.issue(t, dir, 1)
	r, err := NewCertificateReloader(certFile, keyFile)
	assert.NilError(t, err)
	serial := func() int64 {
		r.lastCheck = time.Time{}
		leaf, err := x509.ParseCertificate(r.Certificate().Certificate[0])
		assert.NilError(t, err)
		return leaf.SerialNumber.Int64()
	}
	setTime := func(file string, ago time.Duration) {
		at := time.Now().Add(-ago)
		assert.NilError(t, os.Chtimes(file, at, at))
	}
	oldKey, err := os.ReadFile(keyFile)
	assert.NilError(t, err)
	a.issue(t, dir, 2)
	newKey, err := os.ReadFile(keyFile)
	assert.NilError(t, err)
	setTime(certFile, time.Hour)
	assert.NilError(t, os.WriteFile(keyFile, oldKey, 0o600))
	setTime(keyFile, time.Hour)
	assert.Equal(t, serial(), int64(1)) // the certificate does not match the key
	assert.NilError(t, os.WriteFile(keyFile, newKey, 0o600))
	setTime(keyFile, 2*time.Hour)
	assert.Equal(t, serial(), int64(2))
	assert.NilError(t, os.WriteFile(certFile, []byte("broken"), 0o600))
	assert.Equal(t, serial(), int64(2))
	assert.NilError(t, os.Remove(keyFile))
	assert.Equal(t, serial(), int64(2))
	_, err = NewCertificateReloader(certFile, keyFile)
	assert.Assert(t, err != nil)
	_, err = LoadCAs(certFile)
	assert.ErrorContains(t, err, "no PEM certificate")
}
