package edge

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestLoadSettings(t *testing.T) {
	set, err := LoadSettings("../../../docs/examples/edge.ini")
	if err != nil {
		t.Fatal(err)
	}
	if set.Daemon.ID != "front-stgo-a-1" || set.Daemon.Grace != 6000 || set.configWatchTimeout() != 2000 || set.entriesWatchTimeout() != 1400 || set.Limits.Memory != 284 {
		t.Errorf("got %+v, want the values of the example file", set)
	}
	good, err := os.ReadFile("../../../docs/examples/edge.ini")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ name, from, to, want string }{
		{"unknown key", "drain =", "drains =", "unknown key"},
		{"missing key", "id = front-stgo-a-1\n", "", "is missing"},
		{"bad address", "127.0.0.1:8783", "here", "want address:port"},
		{"bad duration", "grace = 6s", "grace = 6", "number with a unit"},
		{"out of range", "memory-mb = 284", "memory-mb = 1", "want 32"},
	}
	for _, tt := range tests {
		file := filepath.Join(t.TempDir(), "edge.ini")
		if err := os.WriteFile(file, []byte(strings.Replace(string(good), tt.from, tt.to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadSettings(file); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: got %v, want %q", tt.name, err, tt.want)
		}
	}
}
