package rpc

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// CertificateReloader provides a certificate from a certificate file and a key file in PEM format. It reloads them after
// they change.
type CertificateReloader struct {
	certFile, keyFile string

	mu        sync.Mutex // guards the fields below
	current   *tls.Certificate
	modTime   time.Time // of the files that current was loaded from, the later one
	lastCheck time.Time
}

// reloadInterval is the shortest time between two checks of the files for a change.
const reloadInterval = time.Second

// NewCertificateReloader loads the files and returns an error if that fails.
func NewCertificateReloader(certFile, keyFile string) (*CertificateReloader, error) {
	r := &CertificateReloader{certFile: certFile, keyFile: keyFile}
	if err := r.reload(time.Now()); err != nil {
		return nil, err
	}
	return r, nil
}

// Certificate returns the current certificate. If the changed files cannot be loaded, the previous certificate stays in use.
func (r *CertificateReloader) Certificate() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.lastCheck) >= reloadInterval {
		// The operator may have replaced only one of the two files so far. The next check tries again.
		_ = r.reload(now)
	}
	return r.current
}

func (r *CertificateReloader) reload(now time.Time) error {
	r.lastCheck = now
	modTime, err := r.latestModTime()
	if err != nil {
		return err
	}
	if r.current != nil && modTime.Equal(r.modTime) {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return errors.Wrapf(err, "load %s and %s", r.certFile, r.keyFile)
	}
	r.current = &cert
	r.modTime = modTime
	return nil
}

// latestModTime returns the later modification time of the two files.
func (r *CertificateReloader) latestModTime() (time.Time, error) {
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

// ServerConfig returns the TLS configuration of a listener that presents the certificate of r. If clientCAs is not nil, it
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

// ClientConfig returns the TLS configuration of connections to peers. The client presents the certificate of r and verifies
// the peer against rootCAs.
func ClientConfig(r *CertificateReloader, rootCAs *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    rootCAs,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.Certificate(), nil
		},
	}
}

// LoadCAs reads the certificates of certificate authorities from a PEM file.
func LoadCAs(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("%s contains no PEM certificate", file)
	}
	return pool, nil
}
