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

// authority signs certificates of tests.
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
		NotBefore: time.Unix(0, 0), NotAfter: forever, KeyUsage: x509.KeyUsageCertSign,
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

var forever = time.Date(9000, 1, 1, 0, 0, 0, 0, time.UTC)

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

// issue writes a certificate for 127.0.0.1 and its key under the name.
func (a *authority) issue(t *testing.T, name string, until time.Time) Files {
	t.Helper()
	k := newKey(t)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Unix(0, 0), NotAfter: until,
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
	f := Files{Certificate: filepath.Join(a.dir, name+".crt"), PrivateKey: filepath.Join(a.dir, name+".key"), Authority: a.dir + "/authority"}
	writePEM(t, f.Certificate, "CERTIFICATE", raw)
	writePEM(t, f.PrivateKey, "PRIVATE KEY", der)
	return f
}

func quiet(error) {}

func mutual(t *testing.T, f Files) *tls.Config {
	t.Helper()
	c, err := MutualTLS(f, clock.System(), quiet)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// shake joins two ends over loopback and returns the name that the client saw.
func shake(t *testing.T, server, client *tls.Config) (string, error) {
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
	server := mutual(t, a.issue(t, "server", forever))
	good := mutual(t, a.issue(t, "client", forever))
	bare := &tls.Config{RootCAs: good.RootCAs}
	old := good.Clone()
	old.MaxVersion = tls.VersionTLS12
	foreign := mutual(t, other.issue(t, "client", forever))
	foreign.RootCAs = good.RootCAs
	tests := []struct {
		name           string
		server, client *tls.Config
		ok             bool
	}{
		{"both of the authority", server, good, true},
		{"no certificate", server, bare, false},
		{"client of another authority", server, foreign, false},
		{"server of another authority", mutual(t, other.issue(t, "server", forever)), good, false},
		{"client expired", server, mutual(t, a.issue(t, "old", time.Unix(1, 0))), false},
		{"server expired", mutual(t, a.issue(t, "old-server", time.Unix(1, 0))), good, false},
		{"older protocol", server, old, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := shake(t, tt.server, tt.client); (err == nil) != tt.ok {
				t.Errorf("got %v, want success %t", err, tt.ok)
			}
		})
	}
}

func TestOperatorsCertificate(t *testing.T) {
	a := newAuthority(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{
		TLSConfig: mutual(t, a.issue(t, "entry", forever)),
		ErrorLog:  log.New(io.Discard, "", 0),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"daemon":"entry-1"}`))
		}),
	}
	defer s.Close()
	go func() { _ = s.ServeTLS(l, "", "") }()
	address := []string{l.Addr().String()}
	if got := fleet.NewAsker(mutual(t, a.issue(t, "operator", forever))).Statuses(t.Context(), address)[0]; got.Err != nil || got.Status.Daemon != "entry-1" {
		t.Errorf("got %+v, want the answer of entry-1", got)
	}
	for _, c := range []*tls.Config{nil, mutual(t, newAuthority(t).issue(t, "operator", forever))} {
		if got := fleet.NewAsker(c).Statuses(t.Context(), address)[0]; got.Err == nil {
			t.Errorf("got %+v, want no answer without a certificate of the authority", got.Status)
		}
	}
}

func TestWrongKey(t *testing.T) {
	a := newAuthority(t)
	f := a.issue(t, "one", forever)
	f.PrivateKey = a.issue(t, "two", forever).PrivateKey
	if _, err := MutualTLS(f, clock.System(), quiet); err == nil {
		t.Error("got no error for a key of another certificate")
	}
	if _, err := MutualTLS(Files{Certificate: f.Certificate}, clock.System(), quiet); !errors.Is(err, ErrFilesApart) {
		t.Errorf("got %v, want %v", err, ErrFilesApart)
	}
}

func TestReload(t *testing.T) {
	a := newAuthority(t)
	m := clock.NewManual(0)
	var told []error
	f := a.issue(t, "first", forever)
	server, err := MutualTLS(f, &m.Clock, func(err error) { told = append(told, err) })
	if err != nil {
		t.Fatal(err)
	}
	client := mutual(t, a.issue(t, "client", forever))
	replace := func(from Files) {
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
		name   string
		change func()
		want   string
		told   int
	}{
		{"before", func() {}, "first", 0},
		{"changed", func() { replace(a.issue(t, "second", forever)) }, "second", 0},
		{"damaged", func() { _ = os.WriteFile(f.Certificate, []byte("x"), 0o600) }, "second", 1},
		{"gone", func() { _ = os.Remove(f.Certificate) }, "second", 2},
		{"mended", func() { replace(a.issue(t, "third", forever)) }, "third", 2},
	}
	for _, s := range steps {
		s.change()
		m.Advance(recheck)
		got, err := shake(t, server, client)
		if err != nil || got != s.want || len(told) != s.told {
			t.Errorf("%s: got %s, %v, reports %v, want %s and %d reports", s.name, got, err, told, s.want, s.told)
		}
	}
}

// verifier is what a passwords file has of a password.
func verifier(t *testing.T, password string) string {
	t.Helper()
	c, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		t.Fatal(err)
	}
	s, err := c.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "0123456789abcdef", Iters: leastIterations})
	if err != nil {
		t.Fatal(err)
	}
	enc := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", s.Iters, enc([]byte(s.Salt)), enc(s.StoredKey), enc(s.ServerKey))
}

func save(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestPasswordsFileRefused(t *testing.T) {
	good := verifier(t, "secret")
	tests := []struct{ name, text, want string }{
		{"two fields", "# users\nprecios secret\n", ":2: want user, services and verifier"},
		{"password", "precios precios secret\n", "verifier of precios"},
		{"twice", "u s " + good + "\nu s " + good + "\n", ":2: user u is given twice"},
		{"cheap", "u s " + strings.Replace(good, "$4096:", "$1:", 1) + "\n", "want 4096 to"},
		{"short key", "u s " + good[:len(good)-8] + "\n", "verifier of u"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := NewPasswords(save(t, tt.text), clock.System(), quiet)
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("got %v, want %q in it", err, tt.want)
			}
			if strings.Contains(err.Error(), "secret") {
				t.Errorf("got the password in %v", err)
			}
		})
	}
}

// serve runs a server for callers with the access that the settings ask for.
func serve(t *testing.T, a *entry.Access) string {
	t.Helper()
	keys, err := token.NewKeys(bytes.Repeat([]byte{1}, token.MinKeyBytes))
	if err != nil {
		t.Fatal(err)
	}
	s := caller.New(caller.Config{}, caller.Seams{
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

func TestCallers(t *testing.T) {
	auth := newAuthority(t)
	f := auth.issue(t, "entry", forever)
	set := &settings.Settings{
		Daemon: settings.Daemon{AdminAddress: "127.0.0.1:0"},
		Callers: settings.Callers{
			Authenticated: true, Passwords: save(t, "precios precios,ferias "+verifier(t, "secret")+"\notro otro "+verifier(t, "other")+"\n"),
			RequireTLS: true, Certificate: f.Certificate, PrivateKey: f.PrivateKey,
		},
	}
	a, err := Load("entry.ini", set, clock.System(), quiet)
	if err != nil {
		t.Fatal(err)
	}
	address := serve(t, a)
	tests := []struct {
		name, user, password, service, mode string
		most                                uint16
		code                                string
	}{
		{"good", "precios", "secret", "precios", "verify-full", 0, ""},
		{"second service", "precios", "secret", "ferias", "verify-full", 0, ""},
		{"wrong password", "precios", "other", "precios", "verify-full", 0, "28P01"},
		{"unknown user", "nadie", "secret", "precios", "verify-full", 0, "28P01"},
		{"another's service", "precios", "secret", "otro", "verify-full", 0, "28000"},
		{"cleartext", "precios", "secret", "precios", "disable", 0, "28000"},
		{"older protocol", "precios", "secret", "precios", "verify-full", tls.VersionTLS11, "tls"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=%s&sslrootcert=%s", tt.user, tt.password, address, tt.service, tt.mode, f.Authority))
			if err != nil {
				t.Fatal(err)
			}
			if tt.most != 0 {
				cfg.TLSConfig.MinVersion, cfg.TLSConfig.MaxVersion = tls.VersionTLS10, tt.most
			}
			c, err := pgconn.ConnectConfig(t.Context(), cfg)
			if err == nil {
				_ = c.Close(t.Context())
			}
			var said *pgconn.PgError
			got := ""
			if errors.As(err, &said) {
				got = said.Code
			} else if err != nil {
				got = "tls"
			}
			if got != tt.code {
				t.Errorf("got %q (%v), want %q", got, err, tt.code)
			}
		})
	}
}

func TestAdminOffLoopback(t *testing.T) {
	f := newAuthority(t).issue(t, "entry", forever)
	peers := settings.Peers{Certificate: f.Certificate, PrivateKey: f.PrivateKey, Authority: f.Authority}
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
			a, err := Load("entry.ini", set, clock.System(), quiet)
			var p *settings.Problem
			if tt.ok != (err == nil) || (!tt.ok && !errors.As(err, &p)) {
				t.Fatalf("got %v, want success %t", err, tt.ok)
			}
			if tt.ok && tt.tls != (a.AdminTLS != nil) {
				t.Errorf("got TLS %t, want %t", a.AdminTLS != nil, tt.tls)
			}
		})
	}
}
