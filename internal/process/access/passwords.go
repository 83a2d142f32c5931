package access

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"

	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// verifierScheme is the only scheme of verifiers.
	verifierScheme = "SCRAM-SHA-256"
	// leastIterations is the least cost of a verifier.
	leastIterations = 4096
	// mostIterations is the greatest cost of a verifier.
	mostIterations = 10_000_000
	saltBytes      = 16
)

// ErrVerifier means that a verifier has not the form SCRAM-SHA-256$iterations:salt$stored-key:server-key.
var ErrVerifier = errors.New("want SCRAM-SHA-256$iterations:salt$stored-key:server-key")

// account is what a passwords file says of one user.
type account struct {
	services    []service.Name
	credentials scram.StoredCredentials
}

// accounts are the users of a passwords file.
type accounts map[caller.User]account

// Passwords answers who may log in and use what.
type Passwords struct {
	users *watched[accounts]
	// secret makes up salts for unknown users, so that callers cannot tell them from known ones.
	secret []byte
}

// NewPasswords reads the file, and again when it changes.
func NewPasswords(file string, clk *clock.Clock, report func(error)) (*Passwords, error) {
	users, err := watch(clk, report, func() (accounts, error) { return readAccounts(file) }, file)
	if err != nil {
		return nil, err
	}
	secret := make([]byte, sha256.Size)
	if _, err := rand.Read(secret); err != nil {
		return nil, fmt.Errorf("draw secret: %w", err)
	}
	return &Passwords{users: users, secret: secret}, nil
}

// Allowed reports whether the user may use the service.
func (p *Passwords) Allowed(u caller.User, n service.Name) bool {
	return slices.Contains(p.users.get()[u].services, n)
}

// Credentials returns what a user's proof is checked against; those of an unknown user fit no password.
func (p *Passwords) Credentials(u caller.User) (scram.StoredCredentials, error) {
	if a, ok := p.users.get()[u]; ok {
		return a.credentials, nil
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(p.derive("salt", u)[:saltBytes]), Iters: leastIterations},
		StoredKey:  p.derive("stored-key", u),
		ServerKey:  p.derive("server-key", u),
	}, nil
}

func (p *Passwords) derive(what string, u caller.User) []byte {
	h := hmac.New(sha256.New, p.secret)
	h.Write([]byte(what + "\x00" + string(u)))
	return h.Sum(nil)
}

func readAccounts(file string) (accounts, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read passwords: %w", err)
	}
	out := make(accounts)
	n := 0
	for line := range bytes.Lines(text) {
		n++
		fields := strings.Fields(string(line))
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		// No part of the line is shown: it may be a password that was put there by mistake.
		if len(fields) != 3 {
			return nil, fmt.Errorf("%s:%d: want user, services and verifier", file, n)
		}
		user := caller.User(fields[0])
		if _, ok := out[user]; ok {
			return nil, fmt.Errorf("%s:%d: user %s is given twice", file, n, user)
		}
		c, err := parseVerifier(fields[2])
		if err != nil {
			return nil, fmt.Errorf("%s:%d: verifier of %s: %w", file, n, user, err)
		}
		a := account{credentials: c}
		for name := range strings.SplitSeq(fields[1], ",") {
			a.services = append(a.services, service.Name(name))
		}
		out[user] = a
	}
	return out, nil
}

func parseVerifier(text string) (scram.StoredCredentials, error) {
	var c scram.StoredCredentials
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != verifierScheme {
		return c, ErrVerifier
	}
	iterations, salt, found := strings.Cut(parts[1], ":")
	stored, server, both := strings.Cut(parts[2], ":")
	if !found || !both {
		return c, ErrVerifier
	}
	var err error
	if c.Iters, err = strconv.Atoi(iterations); err != nil {
		return c, ErrVerifier
	}
	if c.Iters < leastIterations || c.Iters > mostIterations {
		return c, fmt.Errorf("got %d iterations, want %d to %d", c.Iters, leastIterations, mostIterations)
	}
	raw, err := base64.StdEncoding.DecodeString(salt)
	if err != nil || len(raw) == 0 {
		return c, ErrVerifier
	}
	c.Salt = string(raw)
	if c.StoredKey, err = key(stored); err != nil {
		return c, err
	}
	c.ServerKey, err = key(server)
	return c, err
}

func key(text string) ([]byte, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(raw) != sha256.Size {
		return nil, ErrVerifier
	}
	return raw, nil
}
