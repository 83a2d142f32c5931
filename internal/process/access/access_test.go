package access

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/xdg-go/scram"

	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/internal/process/entry"
	"github.com/cactusfork/cactusfork/internal/process/fleet"
	"github.com/cactusfork/cactusfork/internal/process/settings"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/token"
)

// authority is a certificate authority whose files are in dir.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir(), key: newKey(t)}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Unix(0, 0), NotAfter: farFuture, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, a.key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(raw); err != nil {
		t.Fatal(err)
	}
	writePEM(t, a.dir+"/authority", "CERTIFICATE", raw)
	return a
}

// farFuture is the expiry of certificates that are valid in a test.
var farFuture = time.Date(9000, 1, 1, 0, 0, 0, 0, time.UTC)

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func writePEM(t *testing.T, file, kind string, raw []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// issue writes a certificate for 127.0.0.1, with name as its common name, and its private key.
func (a *authority) issue(t *testing.T, name string, notAfter time.Time) TLSFiles {
	t.Helper()
	k := newKey(t)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Unix(0, 0), NotAfter: notAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, k.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	f := TLSFiles{Certificate: filepath.Join(a.dir, name+".crt"), PrivateKey: filepath.Join(a.dir, name+".key"), Authority: a.dir + "/authority"}
	writePEM(t, f.Certificate, "CERTIFICATE", raw)
	writePEM(t, f.PrivateKey, "PRIVATE KEY", der)
	return f
}

func ignoreError(error) {}

func mutualTLS(t *testing.T, f TLSFiles) *tls.Config {
	t.Helper()
	c, err := MutualTLS(f, clock.System(), ignoreError)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// handshake connects client to server over loopback and returns the common name of the server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (string, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			defer c.Close()
			err = tls.Server(c, server).HandshakeContext(t.Context())
		}
		done <- err
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		<-done
		return "", err
	}
	defer c.Close()
	return c.ConnectionState().PeerCertificates[0].Subject.CommonName, <-done
}

func TestMutualTLS(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	server := mutualTLS(t, a.issue(t, "server", farFuture))
	validClient := mutualTLS(t, a.issue(t, "client", farFuture))
	noCertificate := &tls.Config{RootCAs: validClient.RootCAs}
	tls12 := validClient.Clone()
	tls12.MaxVersion = tls.VersionTLS12
	foreign := mutualTLS(t, other.issue(t, "client", farFuture))
	foreign.RootCAs = validClient.RootCAs
	tests := []struct {
		name           string
		server, client *tls.Config
		ok             bool
	}{
		{"certificates of the authority", server, validClient, true},
		{"client without certificate", server, noCertificate, false},
		{"client of another authority", server, foreign, false},
		{"server of another authority", mutualTLS(t, other.issue(t, "server", farFuture)), validClient, false},
		{"client expired", server, mutualTLS(t, a.issue(t, "old", time.Unix(1, 0))), false},
		{"server expired", mutualTLS(t, a.issue(t, "old-server", time.Unix(1, 0))), validClient, false},
		{"TLS 1.2", server, tls12, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := handshake(t, tt.server, tt.client); (err == nil) != tt.ok {
				t.Errorf("got %v, want success %t", err, tt.ok)
			}
		})
	}
}

func TestAdminRequiresOperatorCertificate(t *testing.T) {
	a := newAuthority(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{
		TLSConfig: mutualTLS(t, a.issue(t, "entry", farFuture)),
		ErrorLog:  log.New(io.Discard, "", 0),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"daemon":"entry-1"}`))
		}),
	}
	defer s.Close()
	go func() { _ = s.ServeTLS(l, "", "") }()
	address := []string{l.Addr().String()}
	if got := fleet.NewAdminClient(mutualTLS(t, a.issue(t, "operator", farFuture))).Statuses(t.Context(), address)[0]; got.Err != nil || got.Status.Daemon != "entry-1" {
		t.Errorf("got %+v, want the response of entry-1", got)
	}
	for _, c := range []*tls.Config{nil, mutualTLS(t, newAuthority(t).issue(t, "operator", farFuture))} {
		if got := fleet.NewAdminClient(c).Statuses(t.Context(), address)[0]; got.Err == nil {
			t.Errorf("got %+v, want no response without a certificate of the authority", got.Status)
		}
	}
}

func TestMutualTLSRejectsMismatchedFiles(t *testing.T) {
	a := newAuthority(t)
	f := a.issue(t, "one", farFuture)
	f.PrivateKey = a.issue(t, "two", farFuture).PrivateKey
	if _, err := MutualTLS(f, clock.System(), ignoreError); err == nil {
		t.Error("got no error for a key of another certificate")
	}
	if _, err := MutualTLS(TLSFiles{Certificate: f.Certificate}, clock.System(), ignoreError); !errors.Is(err, ErrIncompleteFiles) {
		t.Errorf("got %v, want %v", err, ErrIncompleteFiles)
	}
}

func TestReload(t *testing.T) {
	a := newAuthority(t)
	m := clock.NewManual(0)
	var reports []error
	f := a.issue(t, "first", farFuture)
	server, err := MutualTLS(f, &m.Clock, func(err error) { reports = append(reports, err) })
	if err != nil {
		t.Fatal(err)
	}
	client := mutualTLS(t, a.issue(t, "client", farFuture))
	replace := func(from TLSFiles) {
		for to, from := range map[string]string{f.Certificate: from.Certificate, f.PrivateKey: from.PrivateKey} {
			text, err := os.ReadFile(from)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(to, append(text, '\n'), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	steps := []struct {
		name    string
		change  func()
		want    string
		reports int
	}{
		{"unchanged", func() {}, "first", 0},
		{"changed", func() { replace(a.issue(t, "second", farFuture)) }, "second", 0},
		{"damaged", func() { _ = os.WriteFile(f.Certificate, []byte("x"), 0o600) }, "second", 1},
		{"removed", func() { _ = os.Remove(f.Certificate) }, "second", 2},
		{"repaired", func() { replace(a.issue(t, "third", farFuture)) }, "third", 2},
	}
	for _, s := range steps {
		s.change()
		m.Advance(checkInterval)
		got, err := handshake(t, server, client)
		if err != nil || got != s.want || len(reports) != s.reports {
			t.Errorf("%s: got server %s, error %v, reports %v, want %s and %d reports", s.name, got, err, reports, s.want, s.reports)
		}
	}
}

// verifier returns the verifier of a password, as in a passwords file.
func verifier(t *testing.T, password string) string {
	t.Helper()
	c, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		t.Fatal(err)
	}
	s, err := c.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "0123456789abcdef", Iters: minIterations})
	if err != nil {
		t.Fatal(err)
	}
	enc := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", s.Iters, enc([]byte(s.Salt)), enc(s.StoredKey), enc(s.ServerKey))
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestNewPasswordsRejectsFile(t *testing.T) {
	valid := verifier(t, "secret")
	tests := []struct{ name, text, want string }{
		{"two fields", "# users\nprecios secret\n", ":2: want user, services and verifier"},
		{"password instead of verifier", "precios precios secret\n", "verifier of precios"},
		{"duplicate user", "u s " + valid + "\nu s " + valid + "\n", ":2: duplicate user u"},
		{"too few iterations", "u s " + strings.Replace(valid, "$4096:", "$1:", 1) + "\n", "want 4096 to"},
		{"short server key", "u s " + valid[:len(valid)-8] + "\n", "verifier of u"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := NewPasswords(writeFile(t, tt.text), clock.System(), ignoreError)
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("got %v, want %q in it", err, tt.want)
			}
			if strings.Contains(err.Error(), "secret") {
				t.Errorf("error contains the password: %v", err)
			}
		})
	}
}

// serveCallers starts a caller server with the given access rules and returns its address.
func serveCallers(t *testing.T, a *entry.Access) string {
	t.Helper()
	keys, err := token.NewKeys(bytes.Repeat([]byte{1}, token.MinKeyBytes))
	if err != nil {
		t.Fatal(err)
	}
	s := caller.New(caller.Config{}, caller.Dependencies{
		Service: func(n service.Name) (*service.Service, bool) {
			return &service.Service{Name: n, Group: "g"}, true
		},
		Allowed: a.Allowed, Credentials: a.Credentials, TLS: a.CallerTLS, RequireTLS: a.RequireTLS,
		Tokens: func() *token.Keys { return keys },
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, l)
	}()
	t.Cleanup(func() { stop(); <-done })
	return l.Addr().String()
}

func TestCallerAuthentication(t *testing.T) {
	auth := newAuthority(t)
	f := auth.issue(t, "entry", farFuture)
	set := &settings.Settings{
		Daemon: settings.Daemon{AdminAddress: "127.0.0.1:0"},
		Callers: settings.Callers{
			Authenticate: true, PasswordsFile: writeFile(t, "precios precios,ferias "+verifier(t, "secret")+"\notro otro "+verifier(t, "other")+"\n"),
			RequireTLS: true, CertificateFile: f.Certificate, PrivateKeyFile: f.PrivateKey,
		},
	}
	a, err := Load("entry.ini", set, clock.System(), ignoreError)
	if err != nil {
		t.Fatal(err)
	}
	address := serveCallers(t, a)
	tests := []struct {
		name, user, password, service, sslmode string
		maxVersion                             uint16
		code                                   string
	}{
		{"valid password", "precios", "secret", "precios", "verify-full", 0, ""},
		{"second service", "precios", "secret", "ferias", "verify-full", 0, ""},
		{"wrong password", "precios", "other", "precios", "verify-full", 0, "28P01"},
		{"unknown user", "nadie", "secret", "precios", "verify-full", 0, "28P01"},
		{"service of another user", "precios", "secret", "otro", "verify-full", 0, "28000"},
		{"cleartext", "precios", "secret", "precios", "disable", 0, "28000"},
		{"TLS 1.1", "precios", "secret", "precios", "verify-full", tls.VersionTLS11, "tls"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=%s&sslrootcert=%s", tt.user, tt.password, address, tt.service, tt.sslmode, f.Authority))
			if err != nil {
				t.Fatal(err)
			}
			if tt.maxVersion != 0 {
				cfg.TLSConfig.MinVersion, cfg.TLSConfig.MaxVersion = tls.VersionTLS10, tt.maxVersion
			}
			c, err := pgconn.ConnectConfig(t.Context(), cfg)
			if err == nil {
				_ = c.Close(t.Context())
			}
			var pgErr *pgconn.PgError
			got := ""
			if errors.As(err, &pgErr) {
				got = pgErr.Code
			} else if err != nil {
				got = "tls"
			}
			if got != tt.code {
				t.Errorf("got %q (%v), want %q", got, err, tt.code)
			}
		})
	}
}

func TestAdminOffLoopbackRequiresPeerTLS(t *testing.T) {
	f := newAuthority(t).issue(t, "entry", farFuture)
	peers := settings.Peers{CertificateFile: f.Certificate, PrivateKeyFile: f.PrivateKey, AuthorityFile: f.Authority}
	tests := []struct {
		address string
		peers   settings.Peers
		ok, tls bool
	}{
		{"127.0.0.1:8432", settings.Peers{}, true, false},
		{"[::1]:8432", peers, true, false},
		{"0.0.0.0:8432", settings.Peers{}, false, false},
		{"192.0.2.1:8432", settings.Peers{}, false, false},
		{"192.0.2.1:8432", peers, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.address, func(t *testing.T) {
			set := &settings.Settings{Daemon: settings.Daemon{AdminAddress: tt.address}, Peers: tt.peers}
			a, err := Load("entry.ini", set, clock.System(), ignoreError)
			var p *settings.Problem
			if tt.ok != (err == nil) || (!tt.ok && !errors.As(err, &p)) {
				t.Fatalf("got %v, want success %t", err, tt.ok)
			}
			if tt.ok && tt.tls != (a.AdminTLS != nil) {
				t.Errorf("got admin TLS %t, want %t", a.AdminTLS != nil, tt.tls)
			}
		})
	}
}
