package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// write puts text into a file of a directory of the test's own.
func write(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// run executes a command line and returns its exit status and what it wrote.
func run(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	status := Run(context.Background(), append([]string{"cactusfork"}, args...), &stdout, &stderr)
	return status, stdout.String(), stderr.String()
}

const daemonSettings = `[daemon]
id = entry-1
data-centre = stgo-a
caller-address = 127.0.0.1:0
peer-address = 127.0.0.1:0
admin-address = 127.0.0.1:0
[platform]
url = http://127.0.0.1:1
`

func TestServeRefusesAdminOffLoopback(t *testing.T) {
	text := strings.Replace(daemonSettings, "admin-address = 127.0.0.1:0", "admin-address = 0.0.0.0:0", 1)
	status, _, stderr := run(t, "serve", "--settings", write(t, "entry.ini", text+"[callers]\nauthenticate = false\n"))
	if want := "[daemon] admin-address: 0.0.0.0:0 is not on loopback"; status != exitBadInput || !strings.Contains(stderr, want) {
		t.Errorf("got %d, %s, want %d and %q", status, stderr, exitBadInput, want)
	}
}

func TestServeRefuses(t *testing.T) {
	file := write(t, "any.pem", "x")
	tests := []struct{ name, more, want string }{
		{"unknown key", "[callers]\ncolour = red", "colour: unknown key"},
		{"no passwords", "[callers]\nauthenticate = true", "needs passwords-file"},
		{"passwords", "[callers]\npasswords-file = " + file, "[callers] passwords-file: " + file + ":1: want user, services and verifier"},
		{"passwords not asked for", "[callers]\nauthenticate = false\npasswords-file = " + file, "[callers] passwords-file: requires authenticate = true"},
		{"certificate", "[callers]\nauthenticate = false\ncertificate-file = " + file + "\nprivate-key-file = " + file, "[callers] certificate-file: load certificate"},
		{"tls without certificate", "[callers]\nauthenticate = false\nrequire-tls = true", "require-tls: needs certificate-file"},
		{"peer certificate", "[callers]\nauthenticate = false\n[peers]\ncertificate-file = " + file, "[peers] certificate-file: certificate-file, private-key-file and authority-file must be set together"},
		{"peer authority", "[callers]\nauthenticate = false\n[peers]\nauthority-file = " + file, "[peers] certificate-file: certificate-file, private-key-file and authority-file must be set together"},
		{"peer files", "[callers]\nauthenticate = false\n[peers]\nauthority-file = " + file + "\ncertificate-file = " + file + "\nprivate-key-file = " + file, "[peers] certificate-file: load certificate"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, _, stderr := run(t, "serve", "--settings", write(t, "entry.ini", daemonSettings+tt.more+"\n"))
			if want := exitBadInput; status != want {
				t.Errorf("got status %d, want %d", status, want)
			}
			if !strings.Contains(stderr, tt.want) {
				t.Errorf("got %q, want %q in it", stderr, tt.want)
			}
		})
	}
}
