package caller

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/xdg-go/scram"

	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/position"
	"github.com/cactusfork/cactusfork/pkg/token"
)

func withPassword(user User, password string) option {
	return func(_ *Config, deps *Dependencies) {
		client, err := scram.SHA256.NewClient(string(user), password, "")
		if err != nil {
			panic(err)
		}
		stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "salt of sixteen.", Iters: 4096})
		if err != nil {
			panic(err)
		}
		deps.Credentials = func(u User) (scram.StoredCredentials, error) {
			if u != user {
				return scram.StoredCredentials{}, io.EOF
			}
			return stored, nil
		}
	}
}

func TestLogin(t *testing.T) {
	other, err := token.NewKeys([]byte("another key of 16"))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		url  func(h *harness) string
		code string
	}{
		{"right password", func(h *harness) string { return "shop:secret@" + h.address + "/shop" }, ""},
		{"wrong password", func(h *harness) string { return "shop:wrong@" + h.address + "/shop" }, "28P01"},
		{"unknown user", func(h *harness) string { return "nobody:secret@" + h.address + "/shop" }, "28P01"},
		{"other service", func(h *harness) string { return "shop:secret@" + h.address + "/bank" }, "28000"},
		{"own token", func(h *harness) string {
			text := h.keys.Encode(token.Token{Group: string(testGroup), Point: position.Point{Term: 1, Position: 70}})
			return "shop:secret@" + h.address + "/shop?cactusfork.token=" + text
		}, ""},
		{"token of another group", func(h *harness) string {
			return "shop:secret@" + h.address + "/shop?cactusfork.token=" + h.keys.Encode(token.Token{Group: "bank-db"})
		}, "28000"},
		{"forged token", func(h *harness) string {
			return "shop:secret@" + h.address + "/shop?cactusfork.token=" + other.Encode(token.Token{Group: string(testGroup)})
		}, "28000"},
		{"replication", func(h *harness) string { return "shop:secret@" + h.address + "/shop?replication=database" }, "0A000"},
		{"options", func(h *harness) string { return "shop:secret@" + h.address + "/shop?options=-cx%3Dy" }, "0A000"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, withPassword("shop", "secret"))
			c, err := pgx.Connect(context.Background(), "postgres://"+tt.url(h))
			if got := codeOf(err); got != tt.code {
				t.Fatalf("got %q, want %q", got, tt.code)
			}
			if err == nil {
				c.Close(context.Background())
			}
		})
	}
}

func TestUnknownService(t *testing.T) {
	h := newHarness(t, func(_ *Config, deps *Dependencies) {
		deps.Allowed = func(User, service.Name) bool { return true }
	})
	_, err := pgx.Connect(context.Background(), "postgres://shop@"+h.address+"/bank?sslmode=disable")
	if got := codeOf(err); got != "3D000" {
		t.Errorf("got %q, want 3D000", got)
	}
}

func certificate(t *testing.T) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Unix(1<<33, 0), DNSNames: []string{"localhost"}}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

func TestTLS(t *testing.T) {
	h := newHarness(t, func(_ *Config, deps *Dependencies) {
		cfg := &tls.Config{Certificates: []tls.Certificate{certificate(t)}, MinVersion: tls.VersionTLS12}
		deps.TLS = func() *tls.Config { return cfg }
		deps.RequireTLS = true
	})
	ctx := context.Background()
	c, err := pgx.Connect(ctx, "postgres://shop@"+h.address+"/shop?sslmode=require")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close(ctx)
	if _, err := c.Exec(ctx, writeSQL); err != nil {
		t.Error(err)
	}
	if _, err := pgx.Connect(ctx, h.url()); codeOf(err) != "28000" {
		t.Errorf("got %v without tls, want 28000", err)
	}
}

func TestConnectionLimit(t *testing.T) {
	h := newHarness(t, func(c *Config, _ *Dependencies) { c.MaxConnections = 1 })
	c := h.dial(pgx.QueryExecModeExec)
	_, err := pgx.Connect(context.Background(), h.url())
	if got := codeOf(err); got != "53300" {
		t.Errorf("got %q, want 53300", got)
	}
	if err := c.PgConn().CancelRequest(context.Background()); err != nil {
		t.Errorf("got %v on a cancel to a full server, want none", err)
	}
	c.Close(context.Background())
	for h.server.Active() > 0 {
		runtime.Gosched()
	}
	h.dial(pgx.QueryExecModeExec)
}

func TestMalformedStartup(t *testing.T) {
	tests := map[string]string{
		"too long":         "\x7f\x00\x00\x00",
		"too short":        "\x00\x00\x00\x05",
		"other protocol":   "\x00\x00\x00\x08\x00\x02\x00\x00",
		"no user":          "\x00\x00\x00\x09\x00\x03\x00\x00\x00",
		"only tls":         strings.Repeat("\x00\x00\x00\x08\x04\xd2\x16\x2f", maxStartupMessages),
		"no end of string": "\x00\x00\x00\x0c\x00\x03\x00\x00user",
	}
	for name, bytes := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			c, err := net.Dial("tcp", h.address)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.Write([]byte(bytes))
			got, _ := io.ReadAll(c)
			if !strings.Contains(string(got), "SFATAL") {
				t.Errorf("got %q, want a fatal error", got)
			}
		})
	}
}
