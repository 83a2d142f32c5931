package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeFile writes text to a file in a new temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// runCommand runs a command and returns its exit status, standard output and standard error.
func runCommand(t *testing.T, args ...string) (int, string, string) {
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

func TestServeRejectsAdminOffLoopback(t *testing.T) {
	text := strings.Replace(daemonSettings, "admin-address = 127.0.0.1:0", "admin-address = 0.0.0.0:0", 1)
	status, _, stderr := runCommand(t, "serve", "--settings", writeFile(t, "entry.ini", text+"[callers]\nauthenticate = false\n"))
	if want := "[daemon] admin-address: 0.0.0.0:0 is not on loopback"; status != exitBadInput || !strings.Contains(stderr, want) {
		t.Errorf("got %d, %s, want %d and %q", status, stderr, exitBadInput, want)
	}
}

func TestServeRejects(t *testing.T) {
	file := writeFile(t, "any.pem", "x")
	tests := []struct{ name, extra, want string }{
		{"unknown key", "[callers]\ncolour = red", "colour: unknown key"},
		{"passwords-file missing", "[callers]\nauthenticate = true", "needs passwords-file"},
		{"malformed passwords-file", "[callers]\npasswords-file = " + file, "[callers] passwords-file: " + file + ":1: want user, services and verifier"},
		{"passwords-file without authenticate", "[callers]\nauthenticate = false\npasswords-file = " + file, "[callers] passwords-file: requires authenticate = true"},
		{"malformed certificate", "[callers]\nauthenticate = false\ncertificate-file = " + file + "\nprivate-key-file = " + file, "[callers] certificate-file: load certificate"},
		{"TLS without certificate", "[callers]\nauthenticate = false\nrequire-tls = true", "require-tls: needs certificate-file"},
		{"peer certificate only", "[callers]\nauthenticate = false\n[peers]\ncertificate-file = " + file, "[peers] certificate-file: certificate-file, private-key-file and authority-file must be set together"},
		{"peer authority only", "[callers]\nauthenticate = false\n[peers]\nauthority-file = " + file, "[peers] certificate-file: certificate-file, private-key-file and authority-file must be set together"},
		{"malformed peer certificate", "[callers]\nauthenticate = false\n[peers]\nauthority-file = " + file + "\ncertificate-file = " + file + "\nprivate-key-file = " + file, "[peers] certificate-file: load certificate"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, _, stderr := runCommand(t, "serve", "--settings", writeFile(t, "entry.ini", daemonSettings+tt.extra+"\n"))
			if want := exitBadInput; status != want {
				t.Errorf("got status %d, want %d", status, want)
			}
			if !strings.Contains(stderr, tt.want) {
				t.Errorf("got %q, want %q in it", stderr, tt.want)
			}
		})
	}
}
