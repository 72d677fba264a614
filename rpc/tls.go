package rpc

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// CertificateReloader serves a certificate from two files and reads them again after they change.
type CertificateReloader struct {
	certFile, keyFile string

	mu      sync.Mutex // guards the fields below
	current *tls.Certificate
	modTime time.Time
	checked time.Time
}

// reloadInterval bounds how often the files are looked at.
const reloadInterval = time.Second

// NewCertificateReloader reads the files once.
func NewCertificateReloader(certFile, keyFile string) (*CertificateReloader, error) {
	r := &CertificateReloader{certFile: certFile, keyFile: keyFile}
	if err := r.reload(time.Now()); err != nil {
		return nil, err
	}
	return r, nil
}

// Certificate returns the current certificate. A pair that cannot be read leaves the former one in use.
func (r *CertificateReloader) Certificate() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.checked) >= reloadInterval {
		// The operator may be half-way through replacing the two files; the next check tries again.
		_ = r.reload(now)
	}
	return r.current
}

func (r *CertificateReloader) reload(now time.Time) error {
	r.checked = now
	changed, err := r.latestChange()
	if err != nil {
		return err
	}
	if r.current != nil && changed.Equal(r.modTime) {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return errors.Wrapf(err, "load %s and %s", r.certFile, r.keyFile)
	}
	r.current = &cert
	r.modTime = changed
	return nil
}

func (r *CertificateReloader) latestChange() (time.Time, error) {
	var latest time.Time
	for _, name := range []string{r.certFile, r.keyFile} {
		info, err := os.Stat(name)
		if err != nil {
			return latest, err
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

// ServerConfig returns a configuration for a listener that presents the reloader's certificate. With clientCAs it
// requires a client certificate signed by one of them.
func ServerConfig(r *CertificateReloader, clientCAs *x509.CertPool) *tls.Config {
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.Certificate(), nil
		},
	}
	if clientCAs != nil {
		cfg.ClientCAs = clientCAs
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return cfg
}

// ClientConfig returns a configuration for connections to peers.
func ClientConfig(r *CertificateReloader, rootCAs *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    rootCAs,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.Certificate(), nil
		},
	}
}

// LoadCAs reads certificates of authorities from a PEM file.
func LoadCAs(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("%s holds no PEM certificate", file)
	}
	return pool, nil
}
