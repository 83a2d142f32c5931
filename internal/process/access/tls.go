package access

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Files name a certificate with its key, and the authority that others' certificates are checked against.
type Files struct {
	Certificate string
	PrivateKey  string
	Authority   string
}

// Given reports whether any file is named.
func (f Files) Given() bool { return f != Files{} }

func (f Files) whole() bool { return f.Certificate != "" && f.PrivateKey != "" && f.Authority != "" }

// ErrFilesApart means that a certificate, a key or an authority is named without the others.
var ErrFilesApart = errors.New("certificate-file, private-key-file and authority-file go together")

// callerTLS returns the configuration for callers, which show no certificate.
func callerTLS(clk *clock.Clock, report func(error), certificate, key string) (*tls.Config, error) {
	pair, err := watchPair(clk, report, certificate, key)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.get(), nil },
	}, nil
}

// MutualTLS returns a configuration for both ends of connections on which each end shows a certificate of the authority.
//
// Changed files count for new connections, but the authority only for those that come in.
func MutualTLS(f Files, clk *clock.Clock, report func(error)) (*tls.Config, error) {
	if !f.whole() {
		return nil, ErrFilesApart
	}
	pair, err := watchPair(clk, report, f.Certificate, f.PrivateKey)
	if err != nil {
		return nil, err
	}
	roots, err := watch(clk, report, func() (*x509.CertPool, error) { return readPool(f.Authority) }, f.Authority)
	if err != nil {
		return nil, err
	}
	base := &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              roots.get(),
		ClientAuth:           tls.RequireAndVerifyClientCert,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.get(), nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return pair.get(), nil },
	}
	whole := base.Clone()
	whole.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c := base.Clone()
		c.ClientCAs = roots.get()
		return c, nil
	}
	return whole, nil
}

func watchPair(clk *clock.Clock, report func(error), certificate, key string) (*watched[*tls.Certificate], error) {
	load := func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(certificate, key)
		if err != nil {
			return nil, fmt.Errorf("load certificate %s with key %s: %w", certificate, key, err)
		}
		return &c, nil
	}
	return watch(clk, report, load, certificate, key)
}

func readPool(file string) (*x509.CertPool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("authority %s holds no certificate in PEM", file)
	}
	return pool, nil
}
