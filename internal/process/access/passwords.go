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
	// verifierScheme is the only supported scheme of verifiers.
	verifierScheme = "SCRAM-SHA-256"
	// minIterations is the minimum iteration count of a verifier.
	minIterations = 4096
	// maxIterations is the maximum iteration count of a verifier.
	maxIterations = 10_000_000
	// saltBytes is the length of the salt for an unknown user.
	saltBytes = 16
)

// ErrMalformedVerifier means that a verifier does not have the form SCRAM-SHA-256$iterations:salt$stored-key:server-key.
var ErrMalformedVerifier = errors.New("want SCRAM-SHA-256$iterations:salt$stored-key:server-key")

// account is one user of a passwords file, with the services that the user may connect to.
type account struct {
	services    []service.Name
	credentials scram.StoredCredentials
}

// accounts is the content of a passwords file.
type accounts map[caller.User]account

// Passwords authenticates users and authorises their use of services by a passwords file.
type Passwords struct {
	users *reloader[accounts]
	// secret derives stable salts and keys for unknown users, so that callers cannot distinguish them from known users.
	secret []byte
}

// NewPasswords reads the file and reloads it when it changes; report receives the errors of reloads.
//
// Each line of the file holds a user, a comma-separated list of services and a verifier. Lines that start with # are comments.
func NewPasswords(file string, clk *clock.Clock, report func(error)) (*Passwords, error) {
	users, err := newReloader(clk, report, func() (accounts, error) { return readAccounts(file) }, file)
	if err != nil {
		return nil, err
	}
	secret := make([]byte, sha256.Size)
	if _, err := rand.Read(secret); err != nil {
		return nil, fmt.Errorf("generate secret: %w", err)
	}
	return &Passwords{users: users, secret: secret}, nil
}

// Allowed reports whether the user may connect to the service; an unknown user may not connect to any.
func (p *Passwords) Allowed(u caller.User, n service.Name) bool {
	return slices.Contains(p.users.get()[u].services, n)
}

// Credentials returns the stored SCRAM credentials of the user; those of an unknown user match no password. The error is always nil.
func (p *Passwords) Credentials(u caller.User) (scram.StoredCredentials, error) {
	if a, ok := p.users.get()[u]; ok {
		return a.credentials, nil
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(p.derive("salt", u)[:saltBytes]), Iters: minIterations},
		StoredKey:  p.derive("stored-key", u),
		ServerKey:  p.derive("server-key", u),
	}, nil
}

// derive returns bytes that are stable for a purpose and a user while the daemon runs.
func (p *Passwords) derive(purpose string, u caller.User) []byte {
	h := hmac.New(sha256.New, p.secret)
	h.Write([]byte(purpose + "\x00" + string(u)))
	return h.Sum(nil)
}

func readAccounts(file string) (accounts, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read passwords: %w", err)
	}
	all := make(accounts)
	n := 0
	for line := range bytes.Lines(text) {
		n++
		fields := strings.Fields(string(line))
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		// The error does not quote the line, which may contain a password by mistake.
		if len(fields) != 3 {
			return nil, fmt.Errorf("%s:%d: want user, services and verifier", file, n)
		}
		user := caller.User(fields[0])
		if _, ok := all[user]; ok {
			return nil, fmt.Errorf("%s:%d: duplicate user %s", file, n, user)
		}
		c, err := parseVerifier(fields[2])
		if err != nil {
			return nil, fmt.Errorf("%s:%d: verifier of %s: %w", file, n, user, err)
		}
		a := account{credentials: c}
		for name := range strings.SplitSeq(fields[1], ",") {
			a.services = append(a.services, service.Name(name))
		}
		all[user] = a
	}
	return all, nil
}

func parseVerifier(text string) (scram.StoredCredentials, error) {
	var c scram.StoredCredentials
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != verifierScheme {
		return c, ErrMalformedVerifier
	}
	iterations, salt, hasSalt := strings.Cut(parts[1], ":")
	stored, server, hasServerKey := strings.Cut(parts[2], ":")
	if !hasSalt || !hasServerKey {
		return c, ErrMalformedVerifier
	}
	var err error
	if c.Iters, err = strconv.Atoi(iterations); err != nil {
		return c, ErrMalformedVerifier
	}
	if c.Iters < minIterations || c.Iters > maxIterations {
		return c, fmt.Errorf("got %d iterations, want %d to %d", c.Iters, minIterations, maxIterations)
	}
	raw, err := base64.StdEncoding.DecodeString(salt)
	if err != nil || len(raw) == 0 {
		return c, ErrMalformedVerifier
	}
	c.Salt = string(raw)
	if c.StoredKey, err = decodeKey(stored); err != nil {
		return c, err
	}
	c.ServerKey, err = decodeKey(server)
	return c, err
}

func decodeKey(text string) ([]byte, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(raw) != sha256.Size {
		return nil, ErrMalformedVerifier
	}
	return raw, nil
}
