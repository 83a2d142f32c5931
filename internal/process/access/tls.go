package access

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// TLSFiles names PEM files for mutual TLS: a certificate, its private key and the authority that verifies peers' certificates.
type TLSFiles struct {
	Certificate string
	PrivateKey  string
	Authority   string
}

// IsSet reports whether at least one file is named.
func (f TLSFiles) IsSet() bool { return f != TLSFiles{} }

func (f TLSFiles) complete() bool {
	return f.Certificate != "" && f.PrivateKey != "" && f.Authority != ""
}

// ErrIncompleteFiles means that only some of certificate, private key and authority are named.
var ErrIncompleteFiles = errors.New("certificate-file, private-key-file and authority-file must be set together")

// callerTLS returns the configuration for connections of callers, which need no certificate of their own.
func callerTLS(clk *clock.Clock, report func(error), certificate, key string) (*tls.Config, error) {
	pair, err := newPairReloader(clk, report, certificate, key)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.get(), nil },
	}, nil
}

// MutualTLS returns a configuration for clients and servers that both present a certificate issued by the authority.
//
// New connections use changed files, except that outgoing connections keep the authority that was loaded first.
// It fails with ErrIncompleteFiles or with the error of reading a file; report receives the errors of reloads.
func MutualTLS(f TLSFiles, clk *clock.Clock, report func(error)) (*tls.Config, error) {
	if !f.complete() {
		return nil, ErrIncompleteFiles
	}
	pair, err := newPairReloader(clk, report, f.Certificate, f.PrivateKey)
	if err != nil {
		return nil, err
	}
	roots, err := newReloader(clk, report, func() (*x509.CertPool, error) { return readPool(f.Authority) }, f.Authority)
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
	cfg := base.Clone()
	cfg.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c := base.Clone()
		c.ClientCAs = roots.get()
		return c, nil
	}
	return cfg, nil
}

func newPairReloader(clk *clock.Clock, report func(error), certificate, key string) (*reloader[*tls.Certificate], error) {
	load := func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(certificate, key)
		if err != nil {
			return nil, fmt.Errorf("load certificate %s with key %s: %w", certificate, key, err)
		}
		return &c, nil
	}
	return newReloader(clk, report, load, certificate, key)
}

func readPool(file string) (*x509.CertPool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read authority file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("authority file %s contains no PEM certificate", file)
	}
	return pool, nil
}
