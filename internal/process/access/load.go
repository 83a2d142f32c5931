package access

import (
	"crypto/tls"
	"fmt"
	"net"

	"github.com/cactusfork/cactusfork/internal/process/entry"
	"github.com/cactusfork/cactusfork/internal/process/settings"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Load reads all files that the settings name; its error is a *settings.Problem.
//
// Changes of the files take force within a second; report takes those that cannot be read.
func Load(file string, set *settings.Settings, clk *clock.Clock, report func(error)) (*entry.Access, error) {
	l := &loader{file: file, set: set, clk: clk, report: report}
	a := &entry.Access{RequireTLS: set.Callers.RequireTLS}
	for _, step := range []func(*entry.Access) error{l.passwords, l.callers, l.peers, l.admin} {
		if err := step(a); err != nil {
			return nil, err
		}
	}
	return a, nil
}

type loader struct {
	file   string
	set    *settings.Settings
	clk    *clock.Clock
	report func(error)
}

func (l *loader) problem(section, key, message string) error {
	return &settings.Problem{File: l.file, Section: section, Key: key, Message: message}
}

func (l *loader) passwords(a *entry.Access) error {
	name := l.set.Callers.Passwords
	if !l.set.Callers.Authenticated {
		if name != "" {
			return l.problem("callers", "passwords-file", "goes with authenticate = true")
		}
		return nil
	}
	p, err := NewPasswords(name, l.clk, l.report)
	if err != nil {
		return l.problem("callers", "passwords-file", err.Error())
	}
	a.Allowed = p.Allowed
	a.Credentials = p.Credentials
	return nil
}

func (l *loader) callers(a *entry.Access) error {
	if l.set.Callers.Certificate == "" {
		return nil
	}
	cfg, err := callerTLS(l.clk, l.report, l.set.Callers.Certificate, l.set.Callers.PrivateKey)
	if err != nil {
		return l.problem("callers", "certificate-file", err.Error())
	}
	a.CallerTLS = func() *tls.Config { return cfg }
	return nil
}

func (l *loader) peers(a *entry.Access) error {
	f := Files{
		Certificate: l.set.Peers.Certificate,
		PrivateKey:  l.set.Peers.PrivateKey,
		Authority:   l.set.Peers.Authority,
	}
	if !f.Given() {
		return nil
	}
	cfg, err := MutualTLS(f, l.clk, l.report)
	if err != nil {
		return l.problem("peers", "certificate-file", err.Error())
	}
	a.PeerTLS = cfg
	return nil
}

// admin lets operators in without a certificate on loopback only.
func (l *loader) admin(a *entry.Access) error {
	address := l.set.Daemon.AdminAddress
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return l.problem("daemon", "admin-address", err.Error())
	}
	if ip := net.ParseIP(host); ip != nil && ip.IsLoopback() {
		return nil
	}
	if a.PeerTLS == nil {
		return l.problem("daemon", "admin-address", fmt.Sprintf("%s is not on loopback: name certificate-file, private-key-file and authority-file in [peers], or use 127.0.0.1", address))
	}
	a.AdminTLS = a.PeerTLS
	return nil
}
