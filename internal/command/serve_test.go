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

func TestServeRefuses(t *testing.T) {
	file := write(t, "any.pem", "x")
	tests := []struct{ name, more, want string }{
		{"unknown key", "[callers]\ncolour = red", "colour: unknown key"},
		{"no passwords", "[callers]\nauthenticate = true", "needs passwords-file"},
		{"passwords", "[callers]\npasswords-file = " + file, "[callers] passwords-file: is not supported"},
		{"certificate", "[callers]\nauthenticate = false\ncertificate-file = " + file + "\nprivate-key-file = " + file, "[callers] certificate-file: is not supported"},
		{"peer certificate", "[callers]\nauthenticate = false\n[peers]\ncertificate-file = " + file, "[peers] certificate-file: is not supported"},
		{"peer key", "[callers]\nauthenticate = false\n[peers]\nprivate-key-file = " + file, "[peers] private-key-file: is not supported"},
		{"peer authority", "[callers]\nauthenticate = false\n[peers]\nauthority-file = " + file, "[peers] authority-file: is not supported"},
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
