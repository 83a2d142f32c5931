package access

import (
	"crypto/tls"
	"fmt"
	"net"

	"github.com/cactusfork/cactusfork/internal/process/entry"
	"github.com/cactusfork/cactusfork/internal/process/settings"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Load reads all files that the settings name; its error is a *settings.Problem, in which file names the settings file.
//
// A changed file is in force within a second. Load calls report when a file cannot be reloaded.
func Load(file string, cfg *settings.Settings, clk *clock.Clock, report func(error)) (*entry.Access, error) {
	l := &loader{file: file, cfg: cfg, clk: clk, report: report}
	a := &entry.Access{RequireTLS: cfg.Callers.RequireTLS}
	for _, step := range []func(*entry.Access) error{l.passwords, l.callers, l.peers, l.admin} {
		if err := step(a); err != nil {
			return nil, err
		}
	}
	return a, nil
}

// loader fills an entry.Access from the files that cfg names.
type loader struct {
	file   string // settings file, for errors
	cfg    *settings.Settings
	clk    *clock.Clock
	report func(error)
}

func (l *loader) problem(section, key, message string) error {
	return &settings.Problem{File: l.file, Section: section, Key: key, Message: message}
}

func (l *loader) passwords(a *entry.Access) error {
	passwordsFile := l.cfg.Callers.PasswordsFile
	if !l.cfg.Callers.Authenticate {
		if passwordsFile != "" {
			return l.problem("callers", "passwords-file", "requires authenticate = true")
		}
		return nil
	}
	p, err := NewPasswords(passwordsFile, l.clk, l.report)
	if err != nil {
		return l.problem("callers", "passwords-file", err.Error())
	}
	a.Allowed = p.Allowed
	a.Credentials = p.Credentials
	return nil
}

func (l *loader) callers(a *entry.Access) error {
	if l.cfg.Callers.CertificateFile == "" {
		return nil
	}
	tlsConfig, err := callerTLS(l.clk, l.report, l.cfg.Callers.CertificateFile, l.cfg.Callers.PrivateKeyFile)
	if err != nil {
		return l.problem("callers", "certificate-file", err.Error())
	}
	a.CallerTLS = func() *tls.Config { return tlsConfig }
	return nil
}

func (l *loader) peers(a *entry.Access) error {
	f := TLSFiles{
		Certificate: l.cfg.Peers.CertificateFile,
		PrivateKey:  l.cfg.Peers.PrivateKeyFile,
		Authority:   l.cfg.Peers.AuthorityFile,
	}
	if !f.IsSet() {
		return nil
	}
	tlsConfig, err := MutualTLS(f, l.clk, l.report)
	if err != nil {
		return l.problem("peers", "certificate-file", err.Error())
	}
	a.PeerTLS = tlsConfig
	return nil
}

// admin requires certificates of operators unless the admin address is on loopback.
func (l *loader) admin(a *entry.Access) error {
	address := l.cfg.Daemon.AdminAddress
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return l.problem("daemon", "admin-address", err.Error())
	}
	if ip := net.ParseIP(host); ip != nil && ip.IsLoopback() {
		return nil
	}
	if a.PeerTLS == nil {
		return l.problem("daemon", "admin-address", fmt.Sprintf("%s is not on loopback: set certificate-file, private-key-file and authority-file in [peers], or use 127.0.0.1", address))
	}
	a.AdminTLS = a.PeerTLS
	return nil
}
