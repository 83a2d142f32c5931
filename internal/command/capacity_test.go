package command

import (
	"os"
	"path/filepath"
	"testing"
)

// TestCapacityRefusesAPageBeforeMeasuring leaves a page without markers as it is.
func TestCapacityRefusesAPageBeforeMeasuring(t *testing.T) {
	file := filepath.Join(t.TempDir(), "page.md")
	if err := os.WriteFile(file, []byte("# Prose\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{file, file + ".absent"} {
		if status, out, _ := run(t, "capacity", "--out", name); status != exitBadInput || out != "" {
			t.Errorf("got %d and %q, want %d and nothing measured", status, out, exitBadInput)
		}
	}
	if got, err := os.ReadFile(file); err != nil || string(got) != "# Prose\n" {
		t.Errorf("got %q and %v, want the page as it was", got, err)
	}
}
